"""Spreads halts to peers, and keeps them in the key-value service."""

import asyncio

import structlog

from ..decisions.evidence import Arm
from ..decisions.facts import Topic
from ..decisions.halts import decode_halt, encode_halt
from .loop import JITTER

log = structlog.get_logger(__name__)

HALTS_PREFIX = "tanagerwalk/halts/"
HALT_LIFETIME_S = 86400.0


class HaltController:
    """Makes halts last, everywhere.

    Parameters
    ----------
    tracker : RolloutTracker
        Takes halts.
    store : KeyValueClient
        Keeps the halts.
    facts : FactTable
        Carries halts between instances.
    settings : RolloutSettings
        Intervals.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, tracker, store, facts, settings, metrics, clock, random):
        self._tracker = tracker
        self._store = store
        self._facts = facts
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._polled_sections = set()
        self._poll_requested = asyncio.Event()
        # Whether the store was asked for halts, so that a fresh instance does not
        # serve before; while the store is out, peers are all there is to ask.
        self.has_polled = False
        facts.subscribe(Topic.HALT, self._add_fact)

    def request_poll(self):
        """Ask for the halts of sections that are new, without a wait."""
        self._poll_requested.set()

    def halt(self, arm, halt):
        """Stop a version that this instance found to be bad.

        It is stopped here at once, whatever peers and store do.
        """
        if not self._add_halt(arm, halt):
            return
        self._metrics.halts.labels(halt.cause.value).inc()
        log.warning(
            "version halted",
            work_class=arm.work_class,
            version=arm.version,
            cause=halt.cause.value,
            mean=round(halt.mean, 3),
        )
        self._facts.publish(
            Topic.HALT, arm.to_key(), encode_halt(halt), self._clock(), HALT_LIFETIME_S
        )
        self._polled_sections.discard(arm.section)
        self._poll_requested.set()

    def _add_halt(self, arm, halt):
        is_new = self._tracker.add_halt(arm, halt)
        self._metrics.halted.set(len(self._tracker.halts))
        return is_new

    def _add_fact(self, fact):
        self._add_encoded_halt(fact.key, fact.value)

    def _add_encoded_halt(self, key, value):
        halt = decode_halt(value)
        try:
            arm = Arm.from_key(key)
        except ValueError:
            halt = None
        if halt is None:
            log.error("halt is malformed", key=key)
            return
        self._add_halt(arm, halt)

    async def run(self):
        """Read and write the store's halts until cancelled."""
        while True:
            await self._poll_requested.wait()
            self._poll_requested.clear()
            await self.poll(self._tracker.list_section_hashes() - self._polled_sections)
            jitter = 1.0 + JITTER * (2.0 * self._random.random() - 1.0)
            await self._wait_for_next_poll(self._settings.halts_interval * jitter)

    async def _wait_for_next_poll(self, timeout):
        """Wait for the time of the next poll, or for a new declaration."""
        try:
            async with asyncio.timeout(timeout):
                await self._poll_requested.wait()
        except TimeoutError:
            # Time to ask for all of them again.
            self._polled_sections.clear()
            self._poll_requested.set()

    async def poll(self, sections):
        """Read the halts of some sections, and write those that the store lacks.

        Halts learned from peers are written too: the instance that found them may
        have died before it could. Sections no longer in force are not read, so a
        long history costs nothing.

        Parameters
        ----------
        sections : set of SectionHash
            The sections.
        """
        for section in sorted(sections):
            if await self._poll_section(section):
                self._polled_sections.add(section)
        self.has_polled = True

    async def _poll_section(self, section):
        result = await self._store.list(f"{HALTS_PREFIX}{section}/")
        if result.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
            return False
        stored = {entry.key.removeprefix(HALTS_PREFIX): entry for entry in result.ok}
        for key, entry in stored.items():
            self._add_encoded_halt(key, entry.value)
        for arm, halt in list(self._tracker.halts.items()):
            if arm.section == section and arm.to_key() not in stored:
                await self._write_halt(arm, halt)
        return True

    async def _write_halt(self, arm, halt):
        written = await self._store.create(
            HALTS_PREFIX + arm.to_key(), encode_halt(halt)
        )
        # The next poll sees whether a write with a lost answer took effect.
        if written.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
