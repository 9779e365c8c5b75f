"""Placement: memory limits, last copies, convergence from any state, and stability."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerwalk.decisions.allotments import (
    VersionNeed,
    allot_copies,
    list_version_needs,
)
from tanagerwalk.decisions.placement import Engine, MoveKind, plan_moves
from tanagerwalk.declarations import parse_declaration
from tanagerwalk.outcomes import VersionState

MAX_LOADS = 2
VERSIONS = "abcdef"
FLOORS = {
    VersionState.RELEASED: 2,
    VersionState.CANDIDATE: 1,
    VersionState.DRAINING: 1,
    VersionState.WITHDRAWN: 0,
}

needs_strategy = st.dictionaries(
    st.sampled_from(VERSIONS),
    st.builds(
        lambda state, demand: VersionNeed(state, FLOORS[state], demand),
        st.sampled_from(VersionState),
        st.sampled_from((0.0, 0.3, 1.0, 2.5, 6.0)),
    ),
)


@st.composite
def engine_lists(draw, same_slots=False):
    slots = draw(st.integers(1, 4))
    engines = []
    for number in range(draw(st.integers(1, 6))):
        own = slots if same_slots else draw(st.integers(1, 4))
        loaded = draw(st.frozensets(st.sampled_from(VERSIONS + "x"), max_size=own))
        engines.append(
            Engine(
                f"e{number}", own, loaded, outstanding_requests=draw(st.integers(0, 3))
            )
        )
    return engines


def apply_moves(engines, moves):
    """Return the engines after applying all moves."""
    after = {engine.id: engine for engine in engines}
    for move in moves:
        engine = after[move.server]
        changed = frozenset({move.version})
        if move.kind is MoveKind.LOAD:
            assert move.version not in engine.loaded
            loaded = engine.loaded | changed
        else:
            assert move.version in engine.loaded
            loaded = engine.loaded - changed
        assert len(loaded) <= engine.slots
        after[move.server] = replace(engine, loaded=loaded)
    return list(after.values())


def settle(needs, engines, limit):
    """Apply decisions until one has no moves; return the engines and all moves."""
    made = []
    for _ in range(limit):
        moves = plan_moves(needs, engines, MAX_LOADS)
        if not moves:
            return engines, made
        made += moves
        engines = apply_moves(engines, moves)
    raise AssertionError(f"no fixed point after {limit} decisions")


def count_copies(engines):
    return Counter(name for engine in engines for name in engine.loaded)


def compute_step_limit(engines):
    return 4 * sum(engine.slots for engine in engines) + 8


@settings(max_examples=300)
@given(needs=needs_strategy, engines=engine_lists())
def test_every_state_converges_without_losing_a_released_version(needs, engines):
    """The states include those that a late order of an earlier holder can cause."""
    for _ in range(compute_step_limit(engines)):
        before = count_copies(engines)
        moves = plan_moves(needs, engines, MAX_LOADS)
        assert moves == plan_moves(needs, engines[::-1], MAX_LOADS)
        if not moves:
            break
        assert sum(move.kind is MoveKind.LOAD for move in moves) <= MAX_LOADS
        engines = apply_moves(engines, moves)
        after = count_copies(engines)
        for name, need in needs.items():
            if need.state is VersionState.RELEASED and before[name]:
                assert after[name] >= 1
                assert after[name] >= before[name] - 1
    assert plan_moves(needs, engines, MAX_LOADS) == []
    for name, need in needs.items():
        if need.state is VersionState.WITHDRAWN:
            assert count_copies(engines)[name] == 0


@settings(max_examples=300)
@given(needs=needs_strategy, engines=engine_lists(same_slots=True))
def test_each_wanted_version_gets_its_copies(needs, engines):
    """A version gets two copies if memory allows, one if it is scarce."""
    wanted = {name: need for name, need in needs.items() if need.floor > 0}
    settled, _ = settle(needs, engines, compute_step_limit(engines))
    copies = count_copies(settled)
    room = sum(min(engine.slots, len(wanted)) for engine in engines)
    floors = {name: min(need.floor, len(engines)) for name, need in wanted.items()}
    for name in wanted:
        if room >= len(wanted):
            assert copies[name] >= 1
        if room >= sum(floors.values()) and not count_copies(engines)["x"]:
            assert copies[name] >= floors[name]


@settings(max_examples=200)
@given(needs=needs_strategy, engines=engine_lists(), data=st.data())
def test_orders_in_progress_are_not_repeated(needs, engines, data):
    """Before any order takes effect, the sum of all orders fits into memory."""
    moves = plan_moves(needs, engines, MAX_LOADS)
    pending = []
    for engine in engines:
        own = [move for move in moves if move.server == engine.id]
        loading = {move.version for move in own if move.kind is MoveKind.LOAD}
        leaving = {move.version for move in own if move.kind is MoveKind.UNLOAD}
        pending.append(
            replace(
                engine,
                loaded=engine.loaded - leaving,
                loading=frozenset(loading),
                unloading=frozenset(leaving),
            )
        )
    again = plan_moves(needs, pending, MAX_LOADS)
    assert not set(again) & set(moves)
    loads = [move for move in moves + again if move.kind is MoveKind.LOAD]
    assert len(loads) <= MAX_LOADS
    for engine in pending:
        own = sum(move.server == engine.id for move in again if move in loads)
        assert len(engine.held | engine.unloading) + own <= max(
            engine.slots, len(engine.held | engine.unloading)
        )


def make_engines(count, slots, *versions):
    return [Engine(f"e{n}", slots, frozenset(versions)) for n in range(count)]


def released(demand=0.0):
    return VersionNeed(VersionState.RELEASED, 2, demand)


@pytest.mark.parametrize(
    ("first", "second", "moves"), [(2.0, 2.3, 0), (2.0, 1.6, 0), (2.0, 4.0, 2)]
)
def test_small_demand_changes_cause_no_moves(first, second, moves):
    engines = make_engines(8, 1)
    needs = {"a": released(first), "b": released(1.0)}
    engines, _ = settle(needs, engines, 40)
    engines, _ = settle({"a": released(2.3), "b": released(1.0)}, engines, 40)
    needs = {"a": released(second), "b": released(1.0)}
    _, made = settle(needs, engines, 40)
    assert len([move for move in made if move.kind is MoveKind.LOAD]) >= moves
    assert bool(made) == bool(moves)


def test_last_copy_is_not_unloaded_for_a_replacement():
    engines = make_engines(1, 1, "a")
    needs = {"a": released(), "b": released()}
    assert plan_moves(needs, engines, MAX_LOADS) == []


def test_scarce_memory_goes_to_released_versions_first():
    needs = {
        "old": VersionNeed(VersionState.DRAINING, 1),
        "new": released(),
        "trial": VersionNeed(VersionState.CANDIDATE, 1),
    }
    engines, _ = settle(needs, make_engines(2, 1, "old"), 20)
    assert count_copies(engines) == {"new": 1, "trial": 1}
    allotted = allot_copies(needs, engines)
    assert (allotted["new"].low, allotted["trial"].low) == (1, 1)


DECLARATION = """
[class plan]
lateness = 2 s
[class label]
lateness = 2 s
[account desk]
key_sha256 = ab
classes = plan
versions = a b c d e
[version a]
state = released
cost = 1
[version b]
state = candidate
cost = 1
exposure = 5
[version c]
state = draining
cost = 1
[version d]
state = withdrawn
cost = 1
[version e]
state = released
cost = 1
evaluated = label:0.9
[version f]
state = released
cost = 1
"""


def test_needs_depend_on_the_declaration_and_halts():
    declaration = parse_declaration(DECLARATION).ok
    needs = list_version_needs(declaration, lambda key: False, lambda name: 0.0)
    floors = {name: need.floor for name, need in needs.items()}
    assert floors == {"a": 2, "b": 1, "c": 1, "d": 0, "e": 0, "f": 0}
    halted = {("plan", "b")}
    needs = list_version_needs(declaration, halted.__contains__, lambda name: 0.0)
    assert needs["b"].floor == 0
