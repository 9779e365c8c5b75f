"""OrderTracker with lagging reports, lost responses and engine restarts."""

from collections import Counter, deque

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tanagerwalk.decisions.allotments import VersionNeed
from tanagerwalk.decisions.orders import MAX_PAUSE_S, OrderOutcome, OrderTracker
from tanagerwalk.decisions.placement import Move, MoveKind, plan_moves
from tanagerwalk.decisions.servers import (
    BackendServer,
    LoadReport,
    ServerRecord,
    ServerRole,
)
from tanagerwalk.outcomes import VersionState

REPORT_LAG_S = 10.0
STEP_S = 1.0
LAG_STEPS = 9
SLOTS = 2
ENGINES = 3
NEEDS = {
    "a": VersionNeed(VersionState.RELEASED, 2),
    "b": VersionNeed(VersionState.RELEASED, 2),
    "c": VersionNeed(VersionState.RELEASED, 2),
    "w": VersionNeed(VersionState.WITHDRAWN, 0),
}
FAULTS = ("none", "lost", "dropped", "not_sent", "busy")


def make_server(number, versions, slots=SLOTS, incarnation="1"):
    record = ServerRecord(
        f"e{number}", "", ServerRole.ENGINE, "r", "d", f"{number}.{incarnation}"
    )
    server = BackendServer(record, 8.0)
    server.versions = frozenset(versions)
    server.load = LoadReport(slots=slots)
    return server


class OrderMachine(RuleBasedStateMachine):
    """A lease holder with delayed engine reports and faulty orders."""

    @initialize(
        loaded=st.lists(
            st.frozensets(st.sampled_from("abcw"), max_size=SLOTS),
            min_size=ENGINES,
            max_size=ENGINES,
        ),
        lag=st.integers(0, LAG_STEPS),
    )
    def begin(self, loaded, lag):
        self.now = 0.0
        self.tracker = OrderTracker(REPORT_LAG_S)
        self.loaded = [set(versions) for versions in loaded]
        self.reports = deque(maxlen=lag + 1)
        self.refused = 0
        self.dropped = 0

    @rule(faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4))
    def step(self, faults):
        """Make one decision and apply a fault to each order."""
        self.now += STEP_S
        self.reports.append([frozenset(versions) for versions in self.loaded])
        servers = [make_server(n, seen) for n, seen in enumerate(self.reports[0])]
        engines = self.tracker.observe(servers, self.now)
        for number, move in enumerate(plan_moves(NEEDS, engines, 2)):
            self.tracker.record_start(move)
            outcome = self.carry_out(move, faults[number % len(faults)])
            self.tracker.record_outcome(move, outcome, self.now)

    def carry_out(self, move, fault):
        if fault == "not_sent":
            return OrderOutcome.NOT_SENT
        if fault == "busy":
            return OrderOutcome.BUSY
        if fault == "dropped":
            return OrderOutcome.IN_DOUBT
        versions = self.loaded[int(move.server[1:])]
        before = self.count_copies()
        if move.kind is MoveKind.UNLOAD:
            versions.discard(move.version)
            after = self.count_copies()
            assert (
                after[move.version] or not before[move.version] or (move.version == "w")
            )
        elif len(versions | {move.version}) > SLOTS:
            self.refused += 1
            return OrderOutcome.NO_MEMORY
        else:
            versions.add(move.version)
        return OrderOutcome.IN_DOUBT if fault == "lost" else OrderOutcome.APPLIED

    @invariant()
    def no_load_exceeds_the_memory(self):
        if hasattr(self, "refused"):
            assert self.refused == 0

    def teardown(self):
        """Without further faults, the wanted copies are loaded in bounded time."""
        if not hasattr(self, "loaded"):
            return
        for _ in range(int(MAX_PAUSE_S * 2 + 20 * REPORT_LAG_S)):
            if self.count_copies() == {"a": 2, "b": 2, "c": 2}:
                return
            self.step(["none"])
        raise AssertionError(f"copies are {self.count_copies()}")

    def count_copies(self):
        return Counter(v for engine in self.loaded for v in engine)


TestOrderMachine = OrderMachine.TestCase
TestOrderMachine.settings = settings(max_examples=60, stateful_step_count=30)


def observe_after(outcome, seconds, slots=SLOTS, incarnation="1"):
    """Order `b` loaded on an engine with `a`; return its state `seconds` later."""
    tracker = OrderTracker(REPORT_LAG_S)
    tracker.observe([make_server(0, "a", slots)], 0.0)
    move = Move(MoveKind.LOAD, "e0", "b")
    tracker.record_start(move)
    if outcome is not None:
        tracker.record_outcome(move, outcome, 0.0)
    later = [make_server(0, "a", slots, incarnation)]
    return tracker.observe(later, seconds)[0]


@pytest.mark.parametrize(
    ("outcome", "seconds", "loading", "blocked", "slots"),
    [
        (None, 100.0, {"b"}, set(), 2),
        (OrderOutcome.APPLIED, 9.0, {"b"}, set(), 2),
        (OrderOutcome.APPLIED, 10.0, set(), {"b"}, 2),
        (OrderOutcome.IN_DOUBT, 9.0, {"b"}, set(), 2),
        (OrderOutcome.IN_DOUBT, 10.0, set(), {"b"}, 2),
        (OrderOutcome.NOT_SENT, 1.0, set(), {"b"}, 2),
        (OrderOutcome.NOT_SENT, 6.0, set(), set(), 2),
        (OrderOutcome.BUSY, 0.9, set(), {"b"}, 2),
        (OrderOutcome.BUSY, 1.1, set(), set(), 2),
        (OrderOutcome.LEASE_LAPSED, 1.0, set(), set(), 2),
        (OrderOutcome.NO_MEMORY, 1.0, set(), {"b"}, 1),
        (OrderOutcome.UNSUPPORTED, 1.0, set(), {"a"}, 1),
    ],
)
def test_engine_state_after_an_order(outcome, seconds, loading, blocked, slots):
    engine = observe_after(outcome, seconds)
    assert engine.loading == loading
    assert engine.blocked == blocked
    assert engine.slots == slots


def test_restarted_engine_has_no_history():
    engine = observe_after(OrderOutcome.NO_MEMORY, 1.0, incarnation="2")
    assert (engine.slots, engine.blocked, engine.loading) == (SLOTS, set(), set())


def test_engine_without_reported_slots_gets_a_default():
    assert observe_after(OrderOutcome.NOT_SENT, 1.0, slots=0).slots > 1
    assert observe_after(OrderOutcome.NO_MEMORY, 1.0, slots=0).slots == 1
