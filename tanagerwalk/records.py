"""The parts of an entry instance that keep what must last."""

import asyncio
from dataclasses import dataclass

import structlog

from .clients.batches import BatchingStore
from .clients.keyvalue import KeyValueClient
from .clients.pins import SessionPins
from .clients.retention import RetentionLease
from .controllers.billing import BillingController
from .controllers.copies import BillCopies
from .controllers.holding import HoldingController
from .controllers.membership import MembershipController
from .decisions.bills import CopyHolderChooser, HeldBatches
from .decisions.servers import Home
from .decisions.sessions import SessionTokens
from .filters.claim import ClaimFilter
from .ids import Incarnation
from .metrics import Metrics
from .peers.link import PeerClient, PeerServer
from .settings import Settings

log = structlog.get_logger(__name__)

PIN_LIVES = 2.0


@dataclass(frozen=True, slots=True)
class RecordInputs:
    """What the records need of the rest of the instance."""

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
    """Wires claims, sessions and bills.

    Parameters
    ----------
    inputs : RecordInputs
        The rest of the instance.

    Attributes
    ----------
    claims : ClaimFilter
    tokens : SessionTokens
    pins : SessionPins
    billing : BillingController
    held : HeldBatches
    holding : HoldingController
    """

    def __init__(self, inputs):
        self._batches = BatchingStore(inputs.store)
        self._wire_claims(inputs)
        self._wire_sessions(inputs)
        self._wire_bills(inputs)
        self._wire_metrics(inputs.metrics)

    def _wire_claims(self, inputs):
        retention = RetentionLease(
            inputs.store, inputs.settings.claims.retention, inputs.clock
        )
        self.claims = ClaimFilter(
            self._batches,
            retention,
            inputs.incarnation,
            inputs.membership.list_live,
            inputs.wall_clock,
        )

    def _wire_sessions(self, inputs):
        sessions = inputs.settings.sessions
        self.tokens = SessionTokens(sessions.secret, sessions.lifetime)
        # A pin outlives its session, so that an old id is refused, not begun anew.
        retention = RetentionLease(
            inputs.store, PIN_LIVES * sessions.lifetime, inputs.clock
        )
        self.pins = SessionPins(inputs.store, self._batches, retention)

    def _wire_bills(self, inputs):
        bills = inputs.settings.bills
        # Bills that an outage held back must not delay claims.
        store = BatchingStore(inputs.store, max_concurrent_calls=1)
        copies = BillCopies(
            inputs.peer_client,
            CopyHolderChooser(inputs.incarnation, inputs.home),
            inputs.membership.list_peers,
            inputs.clock,
        )
        self.billing = BillingController(
            store,
            copies,
            inputs.incarnation,
            bills.flush_interval,
            inputs.metrics,
            inputs.random,
        )
        self.held = HeldBatches(bills.adopt_after)
        self.holding = HoldingController(
            store,
            self.held,
            copies,
            inputs.membership.list_live,
            inputs.clock,
            inputs.random,
        )
        self.holding.answer_on(inputs.peer_server)

    def _wire_metrics(self, metrics):
        metrics.claims_open.set_function(lambda: self.claims.open_count)
        metrics.store_calls.set_function(lambda: self._batches.calls)
        metrics.store_writes.set_function(lambda: self._batches.writes)
        metrics.bills_unwritten.set_function(self.billing.count_unwritten)
        metrics.bill_batches_held.set_function(lambda: len(self.held))

    async def drain(self, limit):
        """Bring everything to the store or to peers before a planned stop.

        Parameters
        ----------
        limit : float
            Longest time in seconds.
        """
        unsettled, _ = await asyncio.gather(
            self.claims.drain(limit), self.billing.flush_all(limit)
        )
        if unsettled:
            log.error("claims not settled", count=unsettled)
        await self.holding.hand_on()
