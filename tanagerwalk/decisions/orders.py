"""Tracks load and unload orders, and corrects delayed engine reports by them."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import FencingToken, Incarnation, VersionName
from .placement import Engine, Move, MoveKind

DEFAULT_SLOTS = 8
BUSY_PAUSE_S = 1.0
FIRST_PAUSE_S = 5.0
MAX_PAUSE_S = 300.0


class OrderOutcome(Enum):
    """Result of an order."""

    APPLIED = "applied"
    FENCED = "fenced"
    NO_MEMORY = "no_memory"
    BUSY = "busy"
    VERSION_MISSING = "version_missing"
    UNSUPPORTED = "unsupported"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    IN_DOUBT = "in_doubt"
    LEASE_LAPSED = "lease_lapsed"
    OUTDATED = "outdated"


WITHHELD_OUTCOMES = frozenset({OrderOutcome.LEASE_LAPSED, OrderOutcome.OUTDATED})


@dataclass(frozen=True, slots=True)
class Order:
    """One move with the engine's address and the fencing token.

    Parameters
    ----------
    move : Move
        The version to load or unload, and the engine.
    address : str
        `IP:port` of the engine.
    token : FencingToken
        Fencing token of the lease holder that sends the order.
    """

    move: Move
    address: str
    token: FencingToken


@dataclass(slots=True)
class _OrderState:
    """State of the latest order for one version on one engine.

    Parameters
    ----------
    kind : MoveKind
        Whether the version was ordered to be loaded or unloaded.
    running : bool
        Whether the order has no result yet.
    assumed_until : float
        Monotonic time until which the order is assumed to have taken effect.
    paused_until : float
        Monotonic time until which no other order for the version is sent.
    is_unconfirmed : bool
        Whether the order is assumed to have taken effect and no report shows it yet.
    failures : int
        Number of failed orders in a row.
    """

    kind: MoveKind
    running: bool = True
    assumed_until: float = float("inf")
    paused_until: float = float("-inf")
    is_unconfirmed: bool = False
    failures: int = 0

    def pause(self, now, retry_after=None):
        """Block further orders for the version, doubling the pause per failure."""
        self.failures += 1
        seconds = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (self.failures - 1))
        self.paused_until = now + max(seconds, retry_after or 0.0)


@dataclass(slots=True)
class _EngineHistory:
    """State learned from the orders to one incarnation of an engine.

    Parameters
    ----------
    incarnation : Incarnation
        The incarnation of the engine.
    reported : int
        Number of versions in the last report.
    slots : int
        Upper bound of the slots after an order failed for lack of memory; valid until
        the monotonic time `slots_until`.
    unsupported_until : float
        Monotonic time until which the engine counts as not supporting orders.
    order_states : dict of VersionName to _OrderState
        State of the latest order for each version.
    """

    incarnation: Incarnation
    reported: int = 0
    slots: int = 0
    slots_until: float = float("-inf")
    unsupported_until: float = float("-inf")
    order_states: dict[VersionName, _OrderState] = field(default_factory=dict)


class OrderTracker:
    """Combines the reports of engines with the orders sent to them.

    Reports are delayed, so an applied order takes precedence over the report for
    `report_lag` seconds. An order without a response is in doubt and counted
    pessimistically: a load occupies memory and an unload removes a copy.

    Parameters
    ----------
    report_lag : float
        Seconds for which an order takes precedence over reports.
    """

    def __init__(self, report_lag):
        self._report_lag = report_lag
        self._histories = {}

    def observe(self, servers, now):
        """Return the current state of the engines that accept orders.

        Parameters
        ----------
        servers : iterable of BackendServer
            Engines of the failure domain whose report is current.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Engine
        """
        servers = list(servers)
        listed = {server.record.id for server in servers}
        for removed in self._histories.keys() - listed:
            del self._histories[removed]
        return [self._observe(server, now) for server in servers]

    def _observe(self, server, now):
        record = server.record
        history = self._histories.get(record.id)
        if history is None or history.incarnation != record.incarnation:
            history = self._histories[record.id] = _EngineHistory(record.incarnation)
        versions = server.versions
        history.reported = len(versions)
        self._reconcile(history, versions, now)
        assumed = [
            (n, t) for n, t in history.order_states.items() if t.assumed_until > now
        ]
        loading = {n for n, order_state in assumed if order_state.kind is MoveKind.LOAD}
        unloading = {
            n for n, order_state in assumed if order_state.kind is MoveKind.UNLOAD
        }
        blocked = {n for n, t in history.order_states.items() if t.paused_until > now}
        is_unsupported = history.unsupported_until > now
        return Engine(
            id=record.id,
            slots=_choose_slots(server.load.slots, history, now),
            loaded=versions - unloading,
            loading=frozenset(loading - versions),
            unloading=frozenset(unloading & versions),
            blocked=versions if is_unsupported else frozenset(blocked),
            outstanding_requests=server.load.running + server.load.waiting,
        )

    def _reconcile(self, history, versions, now):
        """Drop orders that a report confirms, and pause those it never confirmed."""
        for name, order_state in list(history.order_states.items()):
            if order_state.running:
                continue
            if (name in versions) is (order_state.kind is MoveKind.LOAD):
                del history.order_states[name]
            elif order_state.is_unconfirmed and order_state.assumed_until <= now:
                order_state.is_unconfirmed = False
                order_state.pause(now)

    def record_start(self, move):
        """Record that an order is about to be sent."""
        order_states = self._histories[move.server].order_states
        failures = (
            order_states[move.version].failures if move.version in order_states else 0
        )
        order_states[move.version] = _OrderState(move.kind, failures=failures)

    def record_outcome(self, move, outcome, now, retry_after=None):
        """Record the result of an order.

        Parameters
        ----------
        move : Move
            The ordered move.
        outcome : OrderOutcome
            The result.
        now : float
            Monotonic time in seconds.
        retry_after : float or None
            Delay that the engine requested, in seconds.
        """
        history = self._histories.get(move.server)
        order_state = history.order_states.get(move.version) if history else None
        if order_state is None:
            return
        if outcome in WITHHELD_OUTCOMES:
            del history.order_states[move.version]
            return
        order_state.running = False
        order_state.assumed_until = now
        if outcome in (OrderOutcome.APPLIED, OrderOutcome.IN_DOUBT):
            # If no report confirms the order in time, it counts as a failure.
            order_state.assumed_until = now + self._report_lag
            order_state.is_unconfirmed = True
            return
        if outcome is OrderOutcome.BUSY:
            # The weight store is at its limit; the version itself is fine.
            order_state.paused_until = now + max(BUSY_PAUSE_S, retry_after or 0.0)
            return
        order_state.pause(now, retry_after)
        if outcome is OrderOutcome.NO_MEMORY:
            history.slots = max(1, history.reported)
            history.slots_until = now + MAX_PAUSE_S
        if outcome is OrderOutcome.UNSUPPORTED:
            history.unsupported_until = now + MAX_PAUSE_S


def _choose_slots(reported, history, now):
    if history.unsupported_until > now:
        return history.reported
    slots = reported or DEFAULT_SLOTS
    return min(slots, history.slots) if history.slots_until > now else slots
