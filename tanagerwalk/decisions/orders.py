"""Orders to engines: what was sent, what is in doubt, and what to believe."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import FencingToken, Incarnation, VersionName
from .placement import Engine, Move, MoveKind

UNKNOWN_SLOTS = 8
FIRST_PAUSE_S = 5.0
MAX_PAUSE_S = 300.0


class OrderOutcome(Enum):
    """What became of an order."""

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


WITHHELD = frozenset({OrderOutcome.LEASE_LAPSED, OrderOutcome.OUTDATED})


@dataclass(frozen=True, slots=True)
class Order:
    """One move, addressed to one engine.

    Parameters
    ----------
    move : Move
        The version, and whether the engine is to have it from now on.
    address : str
        `IP:port` of the engine.
    token : FencingToken
        Of the holder that gives the order.
    """

    move: Move
    address: str
    token: FencingToken


@dataclass(slots=True)
class _Trace:
    """What is known of the last order about one version at one engine."""

    kind: MoveKind
    running: bool = True
    believed_until: float = float("inf")
    paused_until: float = float("-inf")
    is_unconfirmed: bool = False
    failures: int = 0

    def pause(self, now, retry_after=None):
        """Leave the version alone at the engine, longer after each failure."""
        self.failures += 1
        seconds = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (self.failures - 1))
        self.paused_until = now + max(seconds, retry_after or 0.0)


@dataclass(slots=True)
class _Memory:
    """What the orders to one incarnation of an engine have shown."""

    incarnation: Incarnation
    reported: int = 0
    slots: int = 0
    slots_until: float = float("-inf")
    fixed_until: float = float("-inf")
    traces: dict[VersionName, _Trace] = field(default_factory=dict)


class OrderBook:
    """Joins what engines report with what they were told.

    A report lags, so an applied order is believed for a while although the report
    does not show it yet. An order in doubt counts against the engine: its load takes
    memory, its unload takes a copy away.

    Parameters
    ----------
    report_lag : float
        Seconds for which an order is believed over the reports.
    """

    def __init__(self, report_lag):
        self._report_lag = report_lag
        self._memories = {}

    def observe(self, servers, now):
        """Return the engines that take orders.

        Parameters
        ----------
        servers : iterable of BackendServer
            Engines of the failure domain with a fresh report.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Engine
        """
        servers = list(servers)
        listed = {server.record.id for server in servers}
        for gone in self._memories.keys() - listed:
            del self._memories[gone]
        return [self._observe(server, now) for server in servers]

    def _observe(self, server, now):
        record = server.record
        memory = self._memories.get(record.id)
        if memory is None or memory.incarnation != record.incarnation:
            memory = self._memories[record.id] = _Memory(record.incarnation)
        versions = server.versions
        memory.reported = len(versions)
        self._compare(memory, versions, now)
        believed = [(n, t) for n, t in memory.traces.items() if t.believed_until > now]
        loading = {n for n, trace in believed if trace.kind is MoveKind.LOAD}
        unloading = {n for n, trace in believed if trace.kind is MoveKind.UNLOAD}
        blocked = {n for n, t in memory.traces.items() if t.paused_until > now}
        is_fixed = memory.fixed_until > now
        return Engine(
            id=record.id,
            slots=_choose_slots(server.load.slots, memory, now),
            loaded=versions - unloading,
            loading=frozenset(loading - versions),
            unloading=frozenset(unloading & versions),
            blocked=versions if is_fixed else frozenset(blocked),
            busy=server.load.running + server.load.waiting,
        )

    def _compare(self, memory, versions, now):
        """Compare a report with the orders that have ended."""
        for name, trace in list(memory.traces.items()):
            if trace.running:
                continue
            if (name in versions) is (trace.kind is MoveKind.LOAD):
                del memory.traces[name]
            elif trace.is_unconfirmed and trace.believed_until <= now:
                trace.is_unconfirmed = False
                trace.pause(now)

    def start(self, move):
        """Note that an order is about to be sent."""
        traces = self._memories[move.server].traces
        failures = traces[move.version].failures if move.version in traces else 0
        traces[move.version] = _Trace(move.kind, failures=failures)

    def finish(self, move, outcome, now, retry_after=None):
        """Note what became of an order.

        Parameters
        ----------
        move : Move
            What was ordered.
        outcome : OrderOutcome
            What became of it.
        now : float
            Monotonic time in seconds.
        retry_after : float or None
            Seconds that the engine asked to wait.
        """
        memory = self._memories.get(move.server)
        trace = memory.traces.get(move.version) if memory else None
        if trace is None:
            return
        if outcome in WITHHELD:
            del memory.traces[move.version]
            return
        trace.running = False
        trace.believed_until = now
        if outcome in (OrderOutcome.APPLIED, OrderOutcome.IN_DOUBT):
            # A report that never shows it makes this a failure, too.
            trace.believed_until = now + self._report_lag
            trace.is_unconfirmed = True
            return
        trace.pause(now, retry_after)
        if outcome is OrderOutcome.NO_MEMORY:
            memory.slots = max(1, memory.reported)
            memory.slots_until = now + MAX_PAUSE_S
        if outcome is OrderOutcome.UNSUPPORTED:
            memory.fixed_until = now + MAX_PAUSE_S


def _choose_slots(reported, memory, now):
    if memory.fixed_until > now:
        return memory.reported
    slots = reported or UNKNOWN_SLOTS
    return min(slots, memory.slots) if memory.slots_until > now else slots
