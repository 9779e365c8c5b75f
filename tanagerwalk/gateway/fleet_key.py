"""The key with which instances authenticate what they tell each other."""

import asyncio
import secrets

import structlog

from ..writes import ABSENT, Write

log = structlog.get_logger(__name__)

KEY_BYTES = 32
POLL_INTERVAL_S = 0.1
# After a start, the other instances may not be known yet.
MAX_OFFER_DELAY_S = 0.4
RETRY_INTERVAL_S = 2.0


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

    async def find(self):
        """Wait until the key is known, and create it if nobody else does.

        Returns
        -------
        str
        """
        offer_at = MAX_OFFER_DELAY_S * self._random.random()
        waited = 0.0
        while True:
            entry = self._mirror.entries.get(self._key_name)
            if entry is not None:
                log.info("fleet key known", revision=entry.revision)
                return entry.value.hex()
            if waited >= offer_at and self._mirror.is_loaded and self._is_first():
                await self._create()
                offer_at = waited + RETRY_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            waited += POLL_INTERVAL_S

    def _is_first(self):
        return self._find_rank(self._key_name) == 0

    async def _create(self):
        value = secrets.token_bytes(KEY_BYTES)
        result = await self._store.write(Write(self._key_name, value, ABSENT))
        applied = result.is_ok() and result.ok.applied
        log.info("fleet key offered", applied=applied)
