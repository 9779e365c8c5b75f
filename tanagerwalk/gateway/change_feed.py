"""Reads changes of the store, from other instances where possible."""

from functools import singledispatch

import structlog
from expression import Error, Ok

from ..changes import ConfirmedChanges
from ..decisions.freshness import (
    find_confirmed_time,
    find_direct_read_pause,
    find_retry_pause,
    find_watch_pause,
    list_watch_delays,
)
from ..entry_reduction import WHOLE_ENTRIES, ReducedChanges
from ..ids import Revision
from ..peers.codec import decode, encode
from ..peers.gen.changes.ttypes import (
    ChangesRequest,
    ChangesResponse,
    DeletedEntry,
    WrittenEntry,
)
from ..peers.rpc import MessageKind, PeerClient, RequestFault
from ..writes import Entry
from .clocks import read_boot_clock
from .hedged_calls import call_hedged

log = structlog.get_logger(__name__)

MS_PER_S = 1000.0
WATCH_TIMEOUT_S = 0.8
PEER_TIMEOUT_S = 0.5
PEER_POLL_INTERVAL_S = 0.6
# Interval while all peers that answer have old copies: short, so that the return of the
# store is noticed soon.
OUTAGE_POLL_INTERVAL_S = 0.15
# A watcher gets about this many of these polls a second at most; in large fleets
# PEER_POLL_INTERVAL_S is the longest interval, and it may get more.
OUTAGE_POLLS_PER_S = 100.0
# Older changes of a peer show that it has lost the store.
MAX_PEER_AGE_S = 2.2


class StoreFeed:
    """Reads changes by watching the store.

    Parameters
    ----------
    store : MetadataStore
        The store.
    prefix : str
        Key prefix to watch.
    wait : float
        Longest time in seconds that one watch waits for changes.
    """

    def __init__(self, store, prefix, wait=WATCH_TIMEOUT_S):
        self._store = store
        self._prefix = prefix
        self._wait = wait

    async def read(self, revision, may_wait=True):
        """Return the changes since a revision.

        Parameters
        ----------
        revision : Revision
            Revision up to which the changes are known.
        may_wait : bool
            Whether to wait for a change if there is none yet.

        Returns
        -------
        Result of ConfirmedChanges, or of StoreFault
        """
        wait = self._wait if may_wait else 0.0

        def watch(calls_before):
            # Changes that there are come at once.
            return self._watch(revision, 0.0 if calls_before else wait)

        return await call_hedged(
            watch, list_watch_delays(wait), self._suspect_connections
        )

    def _suspect_connections(self):
        log.info("store did not answer in time", prefix=self._prefix)
        self._store.drop_idle()

    async def _watch(self, revision, wait):
        started_at = read_boot_clock()
        result = await self._store.wait_for_changes(self._prefix, revision, wait)
        if result.is_error():
            return result
        confirmed_at = find_confirmed_time(
            started_at, read_boot_clock(), wait, result.ok.is_empty
        )
        return Ok(ConfirmedChanges(result.ok, confirmed_at))


class SharedFeed:
    """Reads changes from the watchers of the failure domain, or from the store.

    An answer of a watcher proves that the copy was current when the request was sent,
    less the age that the watcher states; a delayed answer can't look recent.

    Parameters
    ----------
    store_feed : StoreFeed
        Watches the store.
    selection : WatcherSelection
        Tells who watches.
    get_address : callable
        Takes an incarnation and returns the `IP:PORT` at which the instance serves
        changes, or None.
    own_id : str
        Incarnation of this instance.
    get_change_delay : callable
        Returns the seconds within which changes have to take effect.
    count_instances : callable
        Returns the number of instances of the fleet.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Spreads the calls of the fleet over time.
    reduction : WholeEntries or EntryReduction
        Tells what is read of the entries that other instances pass on.
    """

    def __init__(
        self,
        store_feed,
        selection,
        get_address,
        own_id,
        get_change_delay,
        count_instances,
        clock,
        random,
        reduction=WHOLE_ENTRIES,
    ):
        self._store_feed = store_feed
        self._selection = selection
        self._get_address = get_address
        self._own_id = own_id
        self._get_change_delay = get_change_delay
        self._count_instances = count_instances
        self._clock = clock
        self._random = random
        self._reduction = reduction
        self._client = None
        self._was_watcher = None
        self._next_direct_read = None
        self._are_peers_outdated = False

    def authenticate(self, secret):
        """Start to ask other instances, with the key of the fleet."""
        self._client = PeerClient(secret, self._own_id, PEER_TIMEOUT_S)

    async def read(self, revision, may_wait=True):
        """Return the changes since a revision.

        Parameters
        ----------
        revision : Revision
            Revision up to which the changes are known.
        may_wait : bool
            Whether to wait for a change if there is none yet.

        Returns
        -------
        Result of ConfirmedChanges, or of StoreFault
        """
        sources = self._list_sources()
        if not sources:
            return await self._store_feed.read(revision, may_wait)
        newest = None
        for peer_id in sources:
            answer = await self._ask(peer_id, revision)
            if answer is None:
                continue
            if read_boot_clock() - answer.confirmed_at <= MAX_PEER_AGE_S:
                self._next_direct_read = None
                self._are_peers_outdated = False
                return Ok(answer)
            if newest is None or answer.confirmed_at > newest.confirmed_at:
                newest = answer
        self._are_peers_outdated = newest is not None
        if newest is not None and not self._may_read_directly():
            return Ok(newest)
        result = await self._store_feed.read(revision, may_wait=False)
        return Ok(newest) if result.is_error() and newest is not None else result

    def _list_sources(self):
        is_watcher = self.is_watcher
        if is_watcher != self._was_watcher:
            self._was_watcher = is_watcher
            log.info("watching the store", watcher=is_watcher)
        if is_watcher:
            return []
        return self._selection.list_sources(self._clock(), self._random)

    @property
    def is_watcher(self):
        """Whether this instance watches the store itself."""
        return self._client is None or self._selection.is_watcher(self._clock())

    async def _ask(self, peer_id, revision):
        """Return the ConfirmedChanges of a peer, or None if it has no answer."""
        address = self._get_address(peer_id)
        if address is None:
            return None
        asked_at = read_boot_clock()
        result = await self._client.request(
            address, MessageKind.FETCH_CHANGES, encode(ChangesRequest(revision))
        )
        if result.is_error():
            self._record_fault(peer_id, result.error)
            return None
        response = decode(ChangesResponse, result.ok)
        if response.is_error():
            log.warning("ignored changes", peer=peer_id, problem=response.error)
            return None
        if response.ok.compacted:
            return None
        changes = read_changes(response.ok, asked_at, self._reduction)
        if changes.is_error():
            log.warning("ignored changes", peer=peer_id, problem=changes.error)
            return None
        return changes.ok

    def _record_fault(self, peer_id, fault):
        log.info("watcher did not answer", peer=peer_id, fault=fault.value)
        if fault is not RequestFault.FAILED:
            self._selection.suspect(peer_id, self._clock())

    def _may_read_directly(self):
        """Return whether it is this instance's turn to ask the store itself.

        If the store is out for every watcher, it should not be called by the whole
        fleet at once.
        """
        now = self._clock()
        pause = find_direct_read_pause(self._count_instances())
        if self._next_direct_read is None:
            self._next_direct_read = now + 0.5 * pause * self._random.random()
        if now < self._next_direct_read:
            return False
        self._next_direct_read = now + pause * (0.5 + self._random.random())
        return True

    @property
    def _is_shared(self):
        return self._client is not None and self._selection.is_shared

    @property
    def has_long_pauses(self):
        """Whether this instance watches the store, and for itself alone."""
        return self.is_watcher and not self._is_shared

    @property
    def pause(self):
        """Seconds until the next read."""
        if self.is_watcher:
            return find_watch_pause(self._get_change_delay(), self._is_shared)
        return self._outage_pause if self._are_peers_outdated else PEER_POLL_INTERVAL_S

    @property
    def _outage_pause(self):
        watchers = max(1, self._selection.count_watchers())
        instances_per_watcher = self._count_instances() / watchers
        pause = max(OUTAGE_POLL_INTERVAL_S, instances_per_watcher / OUTAGE_POLLS_PER_S)
        return min(PEER_POLL_INTERVAL_S, pause)

    @property
    def retry_pause(self):
        """Mean seconds until the next read after a failed one."""
        return find_retry_pause(self._selection.count_watchers())

    async def close(self):
        """Close the connections to other instances."""
        if self._client is not None:
            await self._client.close()


def read_changes(response, asked_at, reduction=WHOLE_ENTRIES):
    """Return the Result of `decode_changes`, or of str if a field is missing."""
    if response.age_ms is None or response.revision is None:
        return Error("changes without age or revision")
    entries = [*(response.written or ()), *(response.deleted or ())]
    if not all(map(is_complete, entries)):
        return Error("changes with an incomplete entry")
    return Ok(decode_changes(response, asked_at, reduction))


@singledispatch
def is_complete(entry):
    """Return whether a WrittenEntry or a DeletedEntry has all of its fields.

    Parameters
    ----------
    entry : WrittenEntry or DeletedEntry
        The entry.
    """
    raise TypeError(f"no entry: {entry!r}")


@is_complete.register
def _(entry: WrittenEntry):
    return None not in (entry.key, entry.value, entry.revision)


@is_complete.register
def _(entry: DeletedEntry):
    return None not in (entry.key, entry.revision)


def decode_changes(response, asked_at, reduction=WHOLE_ENTRIES):
    """Convert a ChangesResponse to ConfirmedChanges.

    Parameters
    ----------
    response : ChangesResponse
        Response of a peer.
    asked_at : float
        Boot time at which the request was sent, in seconds.
    reduction : WholeEntries or EntryReduction
        Tells what is read of the entries; an older build may pass on whole ones.
    """
    changes = ReducedChanges(reduction)
    for entry in response.written or ():
        if changes.is_read(entry.key):
            changes.add_written(Entry(entry.key, entry.value, Revision(entry.revision)))
    for entry in response.deleted or ():
        if changes.is_read(entry.key):
            changes.add_deleted(entry.key, Revision(entry.revision))
    reconnected_at = float("-inf")
    if response.reconnected_ago_ms is not None:
        reconnected_at = asked_at - max(0, response.reconnected_ago_ms) / MS_PER_S
    confirmed_at = asked_at - max(0, response.age_ms) / MS_PER_S
    built = changes.build(Revision(response.revision))
    return ConfirmedChanges(built, confirmed_at, reconnected_at)
