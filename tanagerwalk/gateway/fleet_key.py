"""The key with which instances authenticate what they tell each other."""

import asyncio
import math
import secrets

import structlog

from ..writes import ABSENT, Write

log = structlog.get_logger(__name__)

KEY_BYTES = 32
# Lengths in bytes that a key of any build may have; others were left by other writers.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 1024
POLL_INTERVAL_S = 0.1
# After a start, the other instances may not be known yet.
MAX_OFFER_DELAY_S = 0.4
RETRY_INTERVAL_S = 2.0
# In a store that may have lost the key, for instances that know it to write it again.
RESTORED_OFFER_DELAY_S = 4.0
# Between the instances that may write a key again that the store has lost.
RANK_DELAY_S = 0.5
FOLLOW_INTERVAL_S = 0.5


class FleetKey:
    """Reads the key from the store, or creates it if the store has none.

    Until it is known, an instance tells the others nothing and believes nothing. The
    key is made once, by a conditional write, and never logged.

    Parameters
    ----------
    store : MetadataStore
        The store.
    mirror : Mirror
        Local copy of the store.
    key_name : str
        Store key that holds the secret.
    find_rank : callable
        Takes a name and returns how many instances come before this one for it.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, mirror, key_name, find_rank, random):
        self._store = store
        self._mirror = mirror
        self._key_name = key_name
        self._find_rank = find_rank
        self._random = random
        self._value = None

    async def run(self, handle_key):
        """Follow the key until cancelled, and keep it in the store.

        Parameters
        ----------
        handle_key : callable
            Takes the key (str) once it is known, and each that replaces it.
        """
        # A run after a failed one keeps the key, which the store may have lost.
        handle_key(await self.find() if self._value is None else self._value.hex())
        lost_at = math.inf
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            entry = self._read_entry()
            if entry is None:
                lost_at = min(lost_at, loop.time())
                if loop.time() - lost_at >= self._find_write_delay():
                    await self._write(self._value)
                    lost_at = loop.time() + RETRY_INTERVAL_S
                continue
            lost_at = math.inf
            if entry.value != self._value:
                self._value = entry.value
                log.info("fleet key replaced", revision=entry.revision)
                handle_key(entry.value.hex())

    def _read_entry(self):
        """Return the Entry of the key, or None if the store has no usable one."""
        entry = self._mirror.entries.get(self._key_name)
        return entry if entry is not None and is_usable(entry.value) else None

    def _find_write_delay(self):
        return RANK_DELAY_S * self._find_rank(self._key_name)

    async def find(self):
        """Wait until the key is known, and create it if nobody else does.

        Returns
        -------
        str
        """
        offer_at = MAX_OFFER_DELAY_S * self._random.random()
        waited = 0.0
        while True:
            entry = self._read_entry()
            if entry is not None:
                log.info("fleet key known", revision=entry.revision)
                self._value = entry.value
                return entry.value.hex()
            if (
                waited >= offer_at + self._find_offer_delay()
                and self._mirror.is_loaded
                and self._is_first()
            ):
                await self._write(secrets.token_bytes(KEY_BYTES))
                offer_at = waited + RETRY_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            waited += POLL_INTERVAL_S

    def _find_offer_delay(self):
        return RESTORED_OFFER_DELAY_S if self._mirror.era else 0.0

    def _is_first(self):
        return self._find_rank(self._key_name) == 0

    async def _write(self, value):
        """Write a key if the store has none that is usable."""
        result = await self._store.write(Write(self._key_name, value, ABSENT))
        existing = result.ok.existing if result.is_ok() else None
        if existing is not None and not is_usable(existing.value):
            log.warning("unusable fleet key replaced", size=len(existing.value))
            write = Write(self._key_name, value, existing.revision)
            result = await self._store.write(write)
        applied = result.is_ok() and result.ok.applied
        log.info("fleet key offered", applied=applied)


def is_usable(value):
    """Return whether a value can be the key of the fleet.

    Parameters
    ----------
    value : bytes
        The value.
    """
    return MIN_KEY_BYTES <= len(value) <= MAX_KEY_BYTES
