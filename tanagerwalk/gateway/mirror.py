"""Maintains a local copy of the metadata store."""

import asyncio
import time

import structlog

from ..decisions.freshness import find_confirmed_time
from ..ids import Revision

log = structlog.get_logger(__name__)

RECONNECT_GRACE_S = 2.0


def read_boot_clock():
    """Return the seconds since boot, including the time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Mirror:
    """Lists a prefix once, then watches it by long polling.

    Every call to the store has a cost, so all components of an instance share one
    copy.

    Parameters
    ----------
    store : MetadataStore
        The store.
    prefix : str
        Key prefix to copy.
    wait : float
        Longest time in seconds that one watch waits for changes.
    get_watch_pause : callable
        Returns the seconds between two watches; the next one returns all changes
        made in the meantime.
    get_retry_pause : callable
        Returns the mean seconds before a retry after a failed call.
    random : random.Random
        Source of jitter.
    grace_prefix : str
        Prefix of the keys that stay for a grace period if they were deleted during
        an outage of the store. Their leases may have expired only because they
        could not be renewed.

    Attributes
    ----------
    entries : dict of str to Entry
        All entries under the prefix, by key.
    is_loaded : bool
        Whether the prefix was listed at least once.
    """

    def __init__(
        self,
        store,
        prefix,
        wait,
        get_watch_pause,
        get_retry_pause,
        random,
        grace_prefix,
    ):
        self._store = store
        self._prefix = prefix
        self._wait = wait
        self._get_watch_pause = get_watch_pause
        self._get_retry_pause = get_retry_pause
        self._random = random
        self._grace_prefix = grace_prefix
        self._revision = None
        self._is_disconnected = False
        self._reconnected_at = float("-inf")
        self._grace_deadlines = {}
        self._subscribers = []
        self._confirmation_subscribers = []
        self.entries = {}
        self.is_loaded = False

    def subscribe(self, subscriber):
        """Call `subscriber` without arguments after each change."""
        self._subscribers.append(subscriber)

    def list_entries(self, prefix):
        """Return the entries under a prefix."""
        return [e for key, e in self.entries.items() if key.startswith(prefix)]

    def is_in_grace_period(self, key):
        """Return whether an entry was deleted in an outage and is still kept."""
        return key in self._grace_deadlines

    def subscribe_to_confirmations(self, subscriber):
        """Call `subscriber` with each time at which the copy was known to be current.

        The times are those of `read_boot_clock`.
        """
        self._confirmation_subscribers.append(subscriber)

    async def run(self):
        """Keep the copy up to date until cancelled."""
        while True:
            if self._revision is None:
                result = await self._read_snapshot()
            else:
                result = await self._read_changes()
            if result.is_error():
                self._record_fault(result.error)
                pause = self._get_retry_pause()
                await asyncio.sleep(pause * (0.5 + self._random.random()))
            elif self._revision is not None:
                await asyncio.sleep(self._get_watch_pause())

    async def _read_snapshot(self):
        started_at = read_boot_clock()
        result = await self._store.list(self._prefix)
        if result.is_ok():
            self._record_answer()
            self._apply_snapshot(result.ok)
            self._confirm(started_at)
        return result

    async def _read_changes(self):
        started_at = read_boot_clock()
        result = await self._store.wait_for_changes(
            self._prefix, self._revision, self._wait
        )
        if result.is_error():
            return result
        responded_at = read_boot_clock()
        self._record_answer()
        changes = result.ok
        if changes.compacted:
            log.info("store history lost", prefix=self._prefix)
            self._revision = None
            return result
        self._apply_changes(changes)
        confirmed_at = find_confirmed_time(
            started_at, responded_at, self._wait, changes.is_empty
        )
        self._confirm(confirmed_at)
        return result

    def _confirm(self, time):
        for subscriber in self._confirmation_subscribers:
            subscriber(time)

    def _record_fault(self, fault):
        if not self._is_disconnected:
            log.warning("store lost", prefix=self._prefix, fault=fault.value)
        self._is_disconnected = True

    def _record_answer(self):
        if not self._is_disconnected:
            return
        self._is_disconnected = False
        self._reconnected_at = read_boot_clock()
        log.info("store regained", prefix=self._prefix)

    def _apply_snapshot(self, snapshot):
        current = {entry.key: entry for entry in snapshot.entries}
        missing = [key for key in self.entries if key not in current]
        for entry in snapshot.entries:
            self._write(entry)
        for key in missing:
            self._delete(key, snapshot.revision)
        self._revision = snapshot.revision
        self.is_loaded = True
        self._notify_subscribers()

    def _apply_changes(self, changes):
        for entry in changes.written:
            self._write(entry)
        for key, revision in changes.deleted:
            self._delete(key, revision)
        self._revision = Revision(max(self._revision, changes.revision))
        expired = self._pop_expired()
        if changes.written or changes.deleted or expired:
            self._notify_subscribers()

    def _write(self, entry):
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        self._grace_deadlines.pop(entry.key, None)

    def _delete(self, key, revision):
        known = self.entries.get(key)
        if known is None or known.revision > revision:
            return
        since_reconnect = read_boot_clock() - self._reconnected_at
        has_grace_period = key.startswith(self._grace_prefix)
        if has_grace_period and since_reconnect < RECONNECT_GRACE_S:
            self._grace_deadlines[key] = self._reconnected_at + RECONNECT_GRACE_S
            # A timer, because the next response of the store may take longer than
            # the grace period.
            remaining = RECONNECT_GRACE_S - since_reconnect
            asyncio.get_running_loop().call_later(remaining, self._remove_expired)
            return
        del self.entries[key]
        self._grace_deadlines.pop(key, None)

    def _remove_expired(self):
        if self._pop_expired():
            self._notify_subscribers()

    def _pop_expired(self):
        now = read_boot_clock()
        expired = [
            key for key, deadline in self._grace_deadlines.items() if deadline <= now
        ]
        for key in expired:
            del self._grace_deadlines[key]
            self.entries.pop(key, None)
        return expired

    def _notify_subscribers(self):
        for subscriber in self._subscribers:
            subscriber()
