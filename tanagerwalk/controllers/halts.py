"""Publishes halts to peers and stores them in the key-value service."""

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
    """Distributes halts to all instances and persists them.

    Parameters
    ----------
    tracker : RolloutTracker
        Holds the halts in force.
    store : KeyValueClient
        Stores the halts.
    facts : FactTable
        Distributes halts between instances.
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
        self._has_begun = False
        # Whether the first poll has finished: a new instance serves no requests
        # before. A failed poll counts too, since during a store outage halts come
        # from peers only.
        self.has_polled = False
        facts.subscribe(Topic.HALT, self._add_fact)

    def request_poll(self):
        """Poll the halts of new sections without waiting for the interval."""
        self._poll_requested.set()

    def halt(self, arm, halt):
        """Halt a version that this instance found to be bad.

        The halt applies here immediately, even if peers and store are unreachable.
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
        """Sync the halts with the store until cancelled."""
        if self._has_begun:
            # An earlier run may have failed in the middle of a poll.
            self._poll_requested.set()
        while True:
            await self._poll_requested.wait()
            # Before, no declaration names the sections to poll.
            self._has_begun = True
            self._poll_requested.clear()
            await self.poll(self._tracker.list_section_hashes() - self._polled_sections)
            jitter = 1.0 + JITTER * (2.0 * self._random.random() - 1.0)
            await self._wait_for_next_poll(self._settings.halts_interval * jitter)

    async def _wait_for_next_poll(self, timeout):
        """Wait until the next poll is due or requested."""
        try:
            async with asyncio.timeout(timeout):
                await self._poll_requested.wait()
        except TimeoutError:
            # The interval has passed: poll all sections again.
            self._polled_sections.clear()
            self._poll_requested.set()

    async def poll(self, sections):
        """Read the halts of sections and write those missing from the store.

        Halts learned from peers are written too, because the instance that found them
        may have died before writing them. The caller passes only sections in force,
        so the cost does not grow with the history.

        Parameters
        ----------
        sections : set of SectionHash
            Hashes of the sections to poll.
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
        # If the response was lost, the next poll shows whether the write took effect.
        if written.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
