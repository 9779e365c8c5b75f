"""Keeps the declaration in sync with the key-value service."""

import asyncio

import structlog

from ..decisions.configuration import NO_REVISION
from ..decisions.patches import Patch, apply_patch
from ..documents import decode_json, decode_text
from .loop import run_periodically

log = structlog.get_logger(__name__)

DECLARATION_KEY = "tanagerwalk/declaration"
# Every declaration except the first is written in one transaction with its patch.
PATCH_KEY = "tanagerwalk/patch"
WATCH_RETRY_INTERVAL_S = 1.0
FRESH_FRACTION = 0.5


class ConfigurationController:
    """Watches the declaration, and also polls it in case the watch misses a change.

    Parameters
    ----------
    store : KeyValueClient
        Stores the declaration.
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
        self._listeners = []
        self._must_tell = False
        self._watched_revision = NO_REVISION

    def add_listener(self, callback):
        """Register a callback that runs after each change of the declaration."""
        self._listeners.append(callback)

    async def run(self):
        """Watch and poll the declaration until cancelled."""
        # A listener may have failed in an earlier run.
        self._tell_listeners()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            interval = self._settings.poll_interval
            tasks.create_task(run_periodically(self.poll, interval, self._random))

    async def poll(self):
        """Read the declaration once, unless it was confirmed recently."""
        age = self._state.age(self._clock())
        if age >= self._settings.poll_interval * FRESH_FRACTION:
            await self._read()

    async def _read(self):
        """Read the declaration from the store if it changed, else confirm it."""
        sent_at = self._clock()
        known = self._state.revision
        result = await self._store.get_newer(DECLARATION_KEY, known)
        if result.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
            return
        if result.ok.entry is not None:
            self._accept_entry(result.ok.entry, sent_at)
        elif result.ok.revision >= known > NO_REVISION:
            self._state.confirm(known, sent_at)

    def _accept_entry(self, entry, confirmed_at):
        text = decode_text(entry.value)
        if text.is_ok():
            self.accept(entry.revision, text.ok, confirmed_at)
            return
        self._state.refuse(entry.revision)
        log.error(
            "declaration refused", revision=entry.revision, problems=(text.error,)
        )

    async def _watch(self):
        """Apply patches as they arrive; read the full text if one does not apply."""
        while True:
            started_at = self._clock()
            known = max(self._state.revision, self._watched_revision)
            result = await self._store.wait_for_change(
                PATCH_KEY, known, self._settings.watch_limit
            )
            if result.is_error():
                self._metrics.platform_faults.labels("keyvalue").inc()
                await asyncio.sleep(WATCH_RETRY_INTERVAL_S)
                continue
            for entry in result.ok:
                # Skip a patch that does not apply, or the watch would return it again.
                self._watched_revision = max(self._watched_revision, entry.revision)
                if not self._apply_patch(entry, started_at):
                    self._metrics.patch_misfits.inc()
                    await self._read()

    def _apply_patch(self, entry, started_at):
        """Apply a patch to the current text; return whether it applies."""
        patch = decode_json(entry.value, Patch)
        if patch.is_error():
            return False
        patched = apply_patch(self._state.text, patch.ok)
        if patched.is_error():
            return False
        self.accept(entry.revision, patched.ok, started_at)
        return True

    def accept(self, revision, text, confirmed_at):
        """Put a declaration from the store or a peer in force if it is newer.

        Parameters
        ----------
        revision : Revision
            Revision of the declaration in the store.
        text : str
            Text of the declaration.
        confirmed_at : float
            Monotonic time in seconds at which it was known to be the latest.
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
        self._must_tell = True
        self._tell_listeners()

    def _tell_listeners(self):
        if not self._must_tell:
            return
        for callback in self._listeners:
            callback()
        self._must_tell = False
