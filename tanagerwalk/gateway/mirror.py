"""Keeps a copy of what lies in the store."""

import asyncio
import time

import structlog

from ..decisions.freshness import find_confirmed_time
from ..ids import Revision

log = structlog.get_logger(__name__)

RETURN_GRACE_S = 2.0


def read_boot_clock():
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Mirror:
    """Lists a prefix once, then follows its changes.

    Each call has its price, so that one copy serves all parts of an instance.

    Parameters
    ----------
    store : MetadataStore
        The store.
    prefix : str
        What to follow.
    wait : float
        Seconds that one call may wait for changes.
    find_pause : callable
        Returns the seconds between two calls; changes of that time come together.
    find_retry_pause : callable
        Returns the mean seconds until the store is asked again after a fault.
    random : random.Random
        Source of jitter.
    lapsing : str
        Prefix of the keys that get time to come back if they vanish in an outage
        of the store.

    Attributes
    ----------
    entries : dict of str to Entry
        Everything under the prefix.
    listed : bool
        Whether the prefix was read at all.
    """

    def __init__(
        self, store, prefix, wait, find_pause, find_retry_pause, random, lapsing
    ):
        self._store = store
        self._prefix = prefix
        self._wait = wait
        self._find_pause = find_pause
        self._find_retry_pause = find_retry_pause
        self._random = random
        self._lapsing = lapsing
        self._revision = None
        self._lost = False
        self._returned_at = float("-inf")
        self._lapsed = {}
        self._subscribers = []
        self._confirmers = []
        self.entries = {}
        self.listed = False

    def notify(self, subscriber):
        """Call `subscriber` without arguments after each change."""
        self._subscribers.append(subscriber)

    def list_entries(self, prefix):
        """Return the entries under a prefix."""
        return [e for key, e in self.entries.items() if key.startswith(prefix)]

    def is_lapsed(self, key):
        """Return whether an entry vanished in an outage and may yet come back."""
        return key in self._lapsed

    def confirm_to(self, confirmer):
        """Call `confirmer` with the time from which the copy is known to be new."""
        self._confirmers.append(confirmer)

    async def run(self):
        """Follow the prefix until cancelled."""
        while True:
            if self._revision is None:
                result = await self._read_all()
            else:
                result = await self._read_changes()
            if result.is_error():
                self._note_fault(result.error)
                pause = self._find_retry_pause()
                await asyncio.sleep(pause * (0.5 + self._random.random()))
            elif self._revision is not None:
                await asyncio.sleep(self._find_pause())

    async def _read_all(self):
        asked_at = read_boot_clock()
        result = await self._store.list(self._prefix)
        if result.is_ok():
            self._note_answer()
            self._take_snapshot(result.ok)
            self._confirm(asked_at)
        return result

    async def _read_changes(self):
        asked_at = read_boot_clock()
        result = await self._store.wait_for_changes(
            self._prefix, self._revision, self._wait
        )
        if result.is_error():
            return result
        answered_at = read_boot_clock()
        self._note_answer()
        changes = result.ok
        if changes.lost:
            log.info("store history lost", prefix=self._prefix)
            self._revision = None
            return result
        self._take_changes(changes)
        confirmed_at = find_confirmed_time(
            asked_at, answered_at, self._wait, changes.is_empty
        )
        self._confirm(confirmed_at)
        return result

    def _confirm(self, time):
        for confirmer in self._confirmers:
            confirmer(time)

    def _note_fault(self, fault):
        if not self._lost:
            log.warning("store lost", prefix=self._prefix, fault=fault.value)
        self._lost = True

    def _note_answer(self):
        if not self._lost:
            return
        self._lost = False
        self._returned_at = read_boot_clock()
        log.info("store regained", prefix=self._prefix)

    def _take_snapshot(self, snapshot):
        found = {entry.key: entry for entry in snapshot.entries}
        missing = [key for key in self.entries if key not in found]
        for entry in snapshot.entries:
            self._write(entry)
        for key in missing:
            self._delete(key, snapshot.revision)
        self._revision = snapshot.revision
        self.listed = True
        self._tell()

    def _take_changes(self, changes):
        for entry in changes.written:
            self._write(entry)
        for key, revision in changes.deleted:
            self._delete(key, revision)
        self._revision = Revision(max(self._revision, changes.revision))
        expired = self._expire_lapsed()
        if changes.written or changes.deleted or expired:
            self._tell()

    def _write(self, entry):
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        self._lapsed.pop(entry.key, None)

    def _delete(self, key, revision):
        known = self.entries.get(key)
        if known is None or known.revision > revision:
            return
        since_return = read_boot_clock() - self._returned_at
        is_lapsing = key.startswith(self._lapsing)
        if is_lapsing and since_return < RETURN_GRACE_S:
            self._lapsed[key] = self._returned_at + RETURN_GRACE_S
            # Not left to the next answer of the store, which may take a while.
            left = RETURN_GRACE_S - since_return
            asyncio.get_running_loop().call_later(left, self._drop_lapsed)
            return
        del self.entries[key]
        self._lapsed.pop(key, None)

    def _drop_lapsed(self):
        if self._expire_lapsed():
            self._tell()

    def _expire_lapsed(self):
        now = read_boot_clock()
        expired = [key for key, until in self._lapsed.items() if until <= now]
        for key in expired:
            del self._lapsed[key]
            self.entries.pop(key, None)
        return expired

    def _tell(self):
        for subscriber in self._subscribers:
            subscriber()
