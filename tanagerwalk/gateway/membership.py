"""Discovers the other gateway instances through leased entries in the store."""

import asyncio
import math

import msgspec
import structlog

from ..addresses import is_connectable
from ..controllers.loop import poll_until
from ..decisions.peers import Peer
from ..defects import DefectLog, Subscribers
from ..documents import decode_json
from ..ids import FailureDomain
from ..writes import StoreFault
from .clocks import read_boot_clock

log = structlog.get_logger(__name__)

LEASE_TTL_S = 12.0
RENEW_INTERVAL_S = 4.0
RETRY_INTERVAL_S = 0.6
LOAD_POLL_INTERVAL_S = 0.05
# Longest time until an instance has renewed its lease in vain, and registered again.
RESTORE_GRACE_S = 1.25 * (RENEW_INTERVAL_S + 2.0 * RETRY_INTERVAL_S)


class _PeerRecord(msgspec.Struct, frozen=True):
    address: str
    port: int
    failure_domain: str = ""
    changes_port: int = 0
    owns_sessions: bool = False
    grants_permits: bool = False
    grants_slots: bool = False
    link_rate: float = 0.0

    @property
    def is_reachable(self):
        """Whether messages can be sent to the addresses that it names."""
        ports = [self.port] + ([self.changes_port] if self.changes_port else [])
        return all(is_connectable((self.address, port)) for port in ports)


class MembershipController:
    """Maintains this instance's entry and reads the entries of its peers.

    Parameters
    ----------
    store : MetadataStore
        The store.
    mirror : Mirror
        Local copy of the store.
    prefix : str
        Key prefix of the entries.
    incarnation : str
        Id of this instance, new at every start.
    get_own_peer : callable
        Returns the Peer as which the others know this instance.
    random : random.Random
        Source of jitter.
    defects : DefectLog or None
        Records the exceptions of subscribers; a log of its own if None.

    Attributes
    ----------
    peers : dict of str to Peer
        The other instances, by incarnation.
    registered_before : tuple of str or None
        Incarnations of those that registered before this one, the first one first; all
        of them, as the store gives out its entries in order. None while the entry of
        this instance has not been read.
    """

    def __init__(
        self, store, mirror, prefix, incarnation, get_own_peer, random, defects=None
    ):
        self._store = store
        self._mirror = mirror
        self._prefix = prefix
        self._key = prefix + incarnation
        self._get_own_peer = get_own_peer
        self._random = random
        self._lease = None
        self._subscribers = Subscribers(defects or DefectLog("subscriber failed"))
        self.peers = {}
        self.registered_before = None
        mirror.subscribe(self._read_peers)

    def subscribe(self, subscriber):
        """Call `subscriber` without arguments whenever the peers have changed."""
        self._subscribers.add(subscriber)

    def _read_peers(self):
        peers = {}
        for key, entry in self._mirror.entries.items():
            if not key.startswith(self._prefix) or key == self._key:
                continue
            decoded = decode_json(entry.value, _PeerRecord)
            if decoded.is_error():
                log.warning("cannot decode peer entry", key=key, problem=decoded.error)
                continue
            record = decoded.ok
            if not record.is_reachable:
                log.warning("peer entry without an address", key=key)
                continue
            peers[key.removeprefix(self._prefix)] = Peer(
                (record.address, record.port),
                FailureDomain(record.failure_domain),
                record.changes_port,
                record.owns_sessions,
                record.grants_permits,
                record.grants_slots,
                record.link_rate,
            )
        peers = self._keep_lost_peers(peers)
        registered_before = self._list_registered_before()
        if (peers, registered_before) != (self.peers, self.registered_before):
            self.peers = peers
            self.registered_before = registered_before
            self._subscribers.call()
            return
        self._subscribers.retry()

    def _list_registered_before(self):
        own = self._mirror.entries.get(self._key)
        if own is None:
            return None
        earlier = [
            (entry.revision, key)
            for key, entry in self._mirror.entries.items()
            if key.startswith(self._prefix) and entry.revision < own.revision
        ]
        return tuple(key.removeprefix(self._prefix) for _, key in sorted(earlier))

    def _keep_lost_peers(self, peers):
        """Return the peers with those that a restored store has lost.

        They write their entries again once they find that their leases are gone.
        """
        grace_left = self._mirror.restored_at + RESTORE_GRACE_S - read_boot_clock()
        if grace_left <= 0.0 or self.peers.keys() <= peers.keys():
            return peers
        asyncio.get_running_loop().call_later(grace_left, self._read_peers)
        return self.peers | peers

    async def run(self):
        """Register this instance and renew its lease until cancelled.

        Registering waits for the first copy of the store: a fleet that restarts while
        the store is out should not call it twice.
        """
        await poll_until(lambda: self._mirror.is_loaded, LOAD_POLL_INTERVAL_S, math.inf)
        while True:
            if self._lease is None:
                succeeded = await self._register()
            else:
                succeeded = await self._renew()
            pause = RENEW_INTERVAL_S if succeeded else RETRY_INTERVAL_S
            await asyncio.sleep(pause * (0.75 + 0.5 * self._random.random()))

    async def _register(self):
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if granted.is_error():
            return False
        own = self._get_own_peer()
        record = _PeerRecord(
            *own.address,
            own.failure_domain,
            own.changes_port,
            own.owns_sessions,
            own.grants_permits,
            own.grants_slots,
            own.link_rate,
        )
        value = msgspec.json.encode(record)
        result = await self._store.put(self._key, value, granted.ok)
        if result.is_error():
            return False
        self._lease = granted.ok
        log.info("membership entry written", key=self._key)
        return True

    async def _renew(self):
        result = await self._store.renew_lease(self._lease)
        if result.is_ok():
            return True
        if result.error is StoreFault.REJECTED:
            log.info("membership lease ended", key=self._key)
            self._lease = None
        return False

    async def deregister(self):
        """Remove this instance's entry on a planned stop."""
        if self._lease is not None:
            await self._store.revoke_lease(self._lease)
