"""Keeps the declaration up to date from the key-value service."""

import asyncio

import structlog

from ..decisions.configuration import NO_REVISION
from .loop import run_periodically

log = structlog.get_logger(__name__)

DECLARATION_KEY = "tanagerwalk/declaration"
WATCH_RETRY_S = 1.0
FRESH_SHARE = 0.5


class ConfigurationController:
    """Watches the declaration, and polls it in case the watch is deaf.

    Parameters
    ----------
    store : KeyValueClient
        Holds the declaration.
    state : ConfigurationState
        The declaration in force.
    settings : ConfigurationSettings
        Intervals.
    metrics : Metrics
        Gauges and counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, state, settings, metrics, clock, random):
        self._store = store
        self._state = state
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._on_change = []

    def notify(self, callback):
        """Call `callback` whenever a newer declaration comes into force."""
        self._on_change.append(callback)

    async def run(self):
        """Watch and poll until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            interval = self._settings.poll_interval
            tasks.create_task(run_periodically(self.poll, interval, self._random))

    async def poll(self):
        """Read the declaration once, unless a peer confirmed it just now."""
        asked_at = self._clock()
        if self._state.age(asked_at) < self._settings.poll_interval * FRESH_SHARE:
            return
        known = self._state.revision
        result = await self._store.get_newer(DECLARATION_KEY, known)
        if result.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
            return
        if result.ok.entry is not None:
            self.take(
                result.ok.entry.revision, result.ok.entry.value.decode(), asked_at
            )
        elif result.ok.revision >= known > NO_REVISION:
            self._state.confirm(known, asked_at)

    async def _watch(self):
        while True:
            started_at = self._clock()
            result = await self._store.wait_for_change(
                DECLARATION_KEY, self._state.revision, self._settings.watch_limit
            )
            if result.is_error():
                self._metrics.platform_faults.labels("keyvalue").inc()
                await asyncio.sleep(WATCH_RETRY_S)
                continue
            for entry in result.ok:
                self.take(entry.revision, entry.value.decode(), started_at)

    def take(self, revision, text, confirmed_at):
        """Take a declaration from the store or a peer, if it is newer.

        Parameters
        ----------
        revision : Revision
            The store's revision of the declaration.
        text : str
            The declaration.
        confirmed_at : float
            Monotonic time in seconds at which it was known to be the newest.
        """
        before = self._state.revision
        problems = self._state.offer(revision, text, confirmed_at)
        if problems:
            log.error("declaration refused", revision=revision, problems=problems)
            return
        if self._state.revision == before:
            return
        self._metrics.revision.set(self._state.revision)
        log.info("declaration in force", revision=self._state.revision)
        for callback in self._on_change:
            callback()
