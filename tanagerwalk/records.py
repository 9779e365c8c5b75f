"""Durable records of an entry instance: claims, sessions and bills."""

import asyncio
from dataclasses import dataclass

import structlog

from .clients.batches import BatchingStore
from .clients.keyvalue import KeyValueClient
from .clients.pins import SessionPins
from .clients.retention import RetentionLease
from .controllers.billing import BillingController
from .controllers.held_bills import HeldBillsController
from .controllers.membership import MembershipController
from .controllers.replication import BillReplicator
from .decisions.bills import CopyHolderChooser, HeldBatches
from .decisions.servers import Home
from .decisions.sessions import SessionTokens
from .filters.claim import ClaimFilter
from .ids import Incarnation
from .metrics import Metrics
from .peers.rpc import PeerClient
from .peers.server import PeerServer
from .settings import Settings

log = structlog.get_logger(__name__)

PIN_RETENTION_LIFETIMES = 2.0


@dataclass(frozen=True, slots=True)
class RecordDependencies:
    """Dependencies that `Records` takes from the rest of the instance."""

    settings: Settings
    store: KeyValueClient
    peer_client: PeerClient
    peer_server: PeerServer
    membership: MembershipController
    home: Home
    incarnation: Incarnation
    metrics: Metrics
    clock: object
    wall_clock: object
    random: object


class Records:
    """Builds and connects the components for claims, sessions and bills.

    Parameters
    ----------
    dependencies : RecordDependencies
        Dependencies from the rest of the instance.

    Attributes
    ----------
    claims : ClaimFilter
    tokens : SessionTokens
    pins : SessionPins
    billing : BillingController
    held : HeldBatches
    holding : HeldBillsController
    """

    def __init__(self, dependencies):
        self._batches = BatchingStore(dependencies.store)
        self._wire_claims(dependencies)
        self._wire_sessions(dependencies)
        self._wire_bills(dependencies)
        self._wire_metrics(dependencies.metrics)

    def _wire_claims(self, dependencies):
        retention = RetentionLease(
            dependencies.store,
            dependencies.settings.claims.retention,
            dependencies.clock,
        )
        self.claims = ClaimFilter(
            self._batches,
            retention,
            dependencies.incarnation,
            dependencies.membership.list_live,
            dependencies.wall_clock,
            dependencies.clock,
        )

    def _wire_sessions(self, dependencies):
        sessions = dependencies.settings.sessions
        self.tokens = SessionTokens(sessions.secret, sessions.lifetime)
        # A pin is kept longer than its session, so that a reused old id is refused
        # instead of starting a new session.
        retention = RetentionLease(
            dependencies.store,
            PIN_RETENTION_LIFETIMES * sessions.lifetime,
            dependencies.clock,
        )
        self.pins = SessionPins(dependencies.store, self._batches, retention)

    def _wire_bills(self, dependencies):
        bills = dependencies.settings.bills
        # Bills have a batching store of their own, so that a backlog after an outage
        # does not delay claims.
        store = BatchingStore(dependencies.store, max_concurrent_calls=1)
        copies = BillReplicator(
            dependencies.peer_client,
            CopyHolderChooser(dependencies.incarnation, dependencies.home),
            dependencies.membership.list_peers,
            dependencies.clock,
        )
        self.billing = BillingController(
            store,
            copies,
            dependencies.incarnation,
            bills.flush_interval,
            dependencies.metrics,
            dependencies.random,
        )
        self.held = HeldBatches(bills.adopt_after)
        self.holding = HeldBillsController(
            store,
            self.held,
            copies,
            dependencies.membership.list_live,
            dependencies.clock,
            dependencies.random,
        )
        self.holding.register_handlers(dependencies.peer_server)

    def _wire_metrics(self, metrics):
        metrics.claims_open.set_function(lambda: self.claims.open_count)
        metrics.store_calls.set_function(lambda: self._batches.calls)
        metrics.store_writes.set_function(lambda: self._batches.writes)
        metrics.bills_unwritten.set_function(self.billing.count_unwritten)
        metrics.bill_batches_held.set_function(lambda: len(self.held))

    async def drain(self, limit):
        """Write all records to the store or hand them to peers before shutdown.

        Parameters
        ----------
        limit : float
            Time limit in seconds for settling claims and flushing bills.
        """
        unsettled, _ = await asyncio.gather(
            self.claims.drain(limit), self.billing.flush_all(limit)
        )
        if unsettled:
            log.error("claims not settled", count=unsettled)
        await self.holding.hand_off()
