"""Maintains a local copy of the metadata store."""

import asyncio
import contextlib

import structlog

from ..changes import Changes, split_revision
from ..decisions.change_log import ChangeLog
from ..decisions.freshness import list_snapshot_delays
from ..defects import DefectLog, Subscribers
from ..ids import Revision
from ..registry import ENTRY_LIFETIME_S
from ..writes import StoreFault
from .clocks import read_boot_clock
from .entry_table import EntryMemory, EntryTable
from .hedged_calls import call_hedged

log = structlog.get_logger(__name__)

RECONNECT_GRACE_S = 2.0
# Older changes, as other instances may have, count as an outage of the store.
MAX_CHANGES_AGE_S = 3.0


class Mirror:
    """Lists a prefix once, then reads its changes from a feed.

    Every call to the store has a cost, so all components of an instance share one
    copy.

    Parameters
    ----------
    store : MetadataStore
        The store.
    prefix : str
        Key prefix to copy.
    feed : SharedFeed
        Reads the changes since a revision, and tells how long to pause before the
        next read; that one returns all changes made in the meantime.
    random : random.Random
        Source of jitter.
    grace_prefix : str
        Prefix of the keys that stay for a grace period if they were deleted during
        an outage of the store. Their leases may have expired only because they
        could not be renewed.
    defects : DefectLog or None
        Records the exceptions of subscribers; a log of its own if None.

    Attributes
    ----------
    entries : EntryTable
        The entries under the prefix, by key.
    memory : EntryMemory
        Counts the memory of the copy.
    is_loaded : bool
        Whether the copy has been current at least once.
    change_log : ChangeLog
        Recent changes, for other instances.
    confirmed_at : float
        Boot time in seconds up to which no change is missing.
    reconnected_at : float
        Boot time in seconds at which the store was last regained after an outage.
    restored_at : float
        Boot time in seconds at which it was found to be restored from an older copy.
    """

    def __init__(
        self,
        store,
        prefix,
        feed,
        random,
        grace_prefix,
        defects=None,
    ):
        self._store = store
        self._prefix = prefix
        self._feed = feed
        self._random = random
        self._grace_prefix = grace_prefix
        self._revision = None
        self._last_revision = Revision(0)
        self._is_disconnected = False
        self._grace_deadlines = {}
        self.memory = EntryMemory(grace_prefix)
        self._unconfirmed = EntryTable(self.memory)
        self._last_era = 0
        self._is_awake = asyncio.Event()
        defects = defects or DefectLog("subscriber failed")
        self._subscribers = Subscribers(defects)
        self._confirmation_subscribers = Subscribers(defects)
        self.entries = EntryTable(self.memory)
        self.is_loaded = False
        self.change_log = ChangeLog()
        self.confirmed_at = float("-inf")
        self.reconnected_at = float("-inf")
        self.restored_at = float("-inf")

    def subscribe(self, subscriber, is_needed=False):
        """Call `subscriber` without arguments after each change.

        One that raises is called again after the next read. Meanwhile, if it is
        needed, the copy is not confirmed: what is served from it would be stale.
        """
        self._subscribers.add(subscriber, is_needed)

    @property
    def revision(self):
        """Revision up to which changes were read, or None while the copy is listed."""
        return self._revision

    def wake(self):
        """Read the changes now instead of after a pause."""
        self._is_awake.set()

    @property
    def era(self):
        """Era of the store that the copy was read in, or None before the first read."""
        return None if self._revision is None else split_revision(self._revision)[0]

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
        self._confirmation_subscribers.add(subscriber)

    async def run(self):
        """Keep the copy up to date until cancelled.

        Lists the store again if an earlier run failed: it may have lost changes.
        """
        self._revision = None
        while True:
            if self._revision is None:
                result = await self._read_snapshot()
            else:
                result = await self._read_changes()
            if result.is_error():
                self._record_fault(result.error)
                pause = self._feed.retry_pause
                await asyncio.sleep(pause * (0.5 + self._random.random()))
            elif self.is_loaded and self._revision is not None:
                await self._pause(self._feed.pause)

    async def _pause(self, seconds):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._is_awake.wait()
        self._is_awake.clear()

    async def _read_snapshot(self):
        """List the prefix.

        The first list may be old, as the changes since then are read at once. A later
        one follows a gap in the history and has to be current.
        """
        started_at = read_boot_clock()
        may_be_old = not self.change_log.is_started
        result = await self._list(may_be_old)
        if may_be_old and result.is_ok() and split_revision(result.ok.revision)[0] > 0:
            # It may be of the era before, whose revisions mean other changes.
            result = await self._list(may_be_old=False)
        if result.is_ok():
            self._record_answer()
            self._apply_snapshot(result.ok)
            if self.is_loaded:
                self._confirm(started_at)
        return result

    async def _list(self, may_be_old):
        return await call_hedged(
            lambda calls_before: self._store.list(self._prefix, may_be_old),
            list_snapshot_delays(),
            self._store.drop_idle,
        )

    async def _read_changes(self):
        result = await self._feed.read(self._revision, may_wait=self.is_loaded)
        if result.is_error():
            return result
        confirmed = result.ok
        self._record_age(read_boot_clock() - confirmed.confirmed_at)
        self.reconnected_at = max(self.reconnected_at, confirmed.reconnected_at)
        if confirmed.changes.compacted:
            log.info("store history lost", prefix=self._prefix)
            self._revision = None
            return result
        self._apply_changes(confirmed.changes)
        self._confirm(confirmed.confirmed_at)
        if self.memory.may_list_again:
            log.info("store listed again for entries that were left out")
            self._revision = None
        return result

    def _record_age(self, age):
        if age > MAX_CHANGES_AGE_S:
            self._record_fault(StoreFault.STALE)
        else:
            self._record_answer()

    def _confirm(self, time):
        self.confirmed_at = max(self.confirmed_at, time)
        self.is_loaded = True
        self._subscribers.retry()
        if self._subscribers.has_needed:
            self._confirmation_subscribers.call(time)

    def _record_fault(self, fault):
        if not self._is_disconnected:
            log.warning("store lost", prefix=self._prefix, fault=fault.value)
        self._is_disconnected = True

    def _record_answer(self):
        if not self._is_disconnected:
            return
        self._is_disconnected = False
        self.reconnected_at = read_boot_clock()
        log.info("store regained", prefix=self._prefix)

    def _apply_snapshot(self, snapshot):
        if self._is_restored(snapshot.revision):
            # What the copy lacks is written again, as after an outage.
            self.reconnected_at = read_boot_clock()
            self.restored_at = self.reconnected_at
        missing = self._list_missing(snapshot)
        self.memory.has_left_out = not snapshot.is_whole
        if not self.change_log.is_started:
            self.change_log.start(snapshot.revision)
        changes = Changes(
            written=tuple(e for e in snapshot.entries if self._is_newer(e)),
            deleted=tuple((key, snapshot.revision) for key in missing),
            revision=snapshot.revision,
        )
        self._revision = snapshot.revision
        self._record_changes(changes)
        self._notify_subscribers()

    def _list_missing(self, snapshot):
        """Return the keys that a list proves to be deleted."""
        if not snapshot.is_whole:
            return []
        current = {entry.key for entry in snapshot.entries}
        known = [*self.entries, *self._unconfirmed]
        return [key for key in known if key not in current]

    def _is_restored(self, revision):
        """Return whether a revision is the first of a later era of the store."""
        era, _ = split_revision(revision)
        is_later = era > split_revision(self._last_revision)[0]
        was_read = self._last_revision > 0
        self._last_revision = max(self._last_revision, revision)
        return is_later and was_read

    def _apply_changes(self, changes):
        self._revision = Revision(max(self._revision, changes.revision))
        self._record_changes(changes)
        expired = self._pop_expired()
        if changes.has_effect or expired:
            self._notify_subscribers()

    def _record_changes(self, changes):
        self.change_log.record(changes)
        era, _ = split_revision(changes.revision)
        if era > self._last_era and self.is_loaded:
            self._last_era = era
            self._doubt_new_servers(changes.written)
        self._last_era = max(self._last_era, era)
        for entry in changes.written:
            self._write(entry)
        for key, revision in changes.deleted:
            self._delete(key, revision)

    def _doubt_new_servers(self, entries):
        """Leave out servers that only a restored copy lists, until they write again.

        They may have left before the restore. Those that are still listed after a
        grace period are used, as they may have written before the copy was read.
        """
        self._take_unconfirmed()
        for entry in entries:
            is_server = entry.key.startswith(self._grace_prefix)
            if is_server and entry.key not in self.entries:
                self._unconfirmed.put(entry)
        if self._unconfirmed:
            self._schedule_confirmation(self._last_era)

    def _take_unconfirmed(self):
        """Return the entries that are doubted, and doubt them no longer."""
        return [self._unconfirmed.discard(key) for key in list(self._unconfirmed)]

    def _schedule_confirmation(self, era):
        asyncio.get_running_loop().call_later(
            ENTRY_LIFETIME_S, self._confirm_listed, era
        )

    def _confirm_listed(self, era):
        if era != self._last_era or not self._unconfirmed:
            return
        if self._is_disconnected:
            # Their entries may have been removed meanwhile.
            self._schedule_confirmation(era)
            return
        listed = self._take_unconfirmed()
        log.info("servers of a restored store used", keys=[e.key for e in listed])
        for entry in listed:
            self._write(entry)
        self._notify_subscribers()

    def _is_newer(self, entry):
        known = self.entries.get(entry.key)
        return known is None or known.revision < entry.revision

    def _write(self, entry):
        if not self._is_newer(entry):
            return
        doubted = self._unconfirmed.get(entry.key)
        if doubted is not None and doubted.revision == entry.revision:
            return
        self._unconfirmed.discard(entry.key)
        if self.entries.put(entry):
            self._grace_deadlines.pop(entry.key, None)

    def _delete(self, key, revision):
        doubted = self._unconfirmed.get(key)
        if doubted is not None and doubted.revision <= revision:
            self._unconfirmed.discard(key)
        known = self.entries.get(key)
        if known is None or known.revision > revision:
            return
        since_reconnect = read_boot_clock() - self.reconnected_at
        has_grace_period = key.startswith(self._grace_prefix)
        if has_grace_period and since_reconnect < RECONNECT_GRACE_S:
            self._grace_deadlines[key] = self.reconnected_at + RECONNECT_GRACE_S
            # A timer, because the next response of the store may take longer than
            # the grace period.
            remaining = RECONNECT_GRACE_S - since_reconnect
            asyncio.get_running_loop().call_later(remaining, self._remove_expired)
            return
        self.entries.discard(key)
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
            self.entries.discard(key)
        return expired

    def _notify_subscribers(self):
        self._subscribers.call()
