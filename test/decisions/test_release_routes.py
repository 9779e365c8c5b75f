"""Evidence about a release whose answers are compared on many routes."""

import random

import pytest

from tanagerwalk.decisions.release_evidence import find_slow_score, is_failing_release
from tanagerwalk.decisions.release_rollouts import (
    RolloutPhase,
    RolloutState,
    find_next_phase,
)
from tanagerwalk.decisions.tallies import AnswerKind, SideCount, Tally

SEEDS = range(40)
DURATION_S = 15.0
STEP_S = 0.5
TARGET_SHARES = {
    RolloutPhase.CANARY: 0.135,
    RolloutPhase.RAMP: 0.34,
    RolloutPhase.FULL: 1.0,
}
# Requests a second on each route.
ROUTE_RATE = 4.0
# Spread of the logarithms of latencies.
SPREAD = 0.5
# A release that is hardly slower than its base is good.
HARDLY_SLOWER = 1.4
MAX_FALSE_HALTS = 0.05
BAD_ROUTE = "route-0"


def simulate_latencies(routes, seed, factor, slow_factor=1.0, rate=ROUTE_RATE):
    """Return the last phase of a roll-out, and when it was reached, in seconds.

    `slow_factor` applies to BAD_ROUTE in addition to `factor`.
    """
    source = random.Random(seed)
    kinds = [AnswerKind(f"route-{number}") for number in range(routes)]
    tally = Tally()
    rollout = RolloutState("drafts", "v2", 7, RolloutPhase.CANARY)
    for step in range(1, int(DURATION_S / STEP_S) + 1):
        share = TARGET_SHARES[rollout.phase]
        for kind in kinds:
            for _ in range(int(rate * STEP_S + source.random())):
                is_target = source.random() < share
                seconds = 0.05 * source.lognormvariate(0.0, SPREAD)
                if is_target:
                    seconds *= factor
                    seconds *= slow_factor if kind.route == BAD_ROUTE else 1.0
                tally.record_latency(kind, is_target, seconds)
        now = step * STEP_S
        phase = find_next_phase(rollout, DURATION_S, now, tally)
        if phase is not None:
            rollout = RolloutState("drafts", "v2", 7, phase, now)
        if rollout.phase.is_final:
            break
    return rollout.phase, rollout.elapsed


def is_early_halt(phase, end):
    """Return whether a release was halted before the time for its proof was over."""
    return phase is RolloutPhase.ROLLED_BACK and end < DURATION_S


def simulate_failures(routes, seed, rate):
    """Return whether a release is found to fail more often than an equal base."""
    source = random.Random(seed)
    names = [f"route-{number}" for number in range(routes)]
    tally = Tally()
    for number in range(int(routes * ROUTE_RATE * DURATION_S)):
        is_target = source.random() < TARGET_SHARES[RolloutPhase.CANARY]
        server = source.randrange(6)
        is_bad = source.random() < rate
        tally.record(names[number % routes], is_target, is_bad, server)
        if is_target and is_bad and is_failing_release(tally):
            return True
    return False


@pytest.mark.parametrize("routes", [1, 5, 20, 60])
def test_release_that_is_hardly_slower_is_not_halted_for_one_of_many_routes(routes):
    """Guards against a halt by the one route that chance makes look slow."""
    ends = [simulate_latencies(routes, seed, HARDLY_SLOWER) for seed in SEEDS]
    halts = [end for phase, end in ends if is_early_halt(phase, end)]
    assert len(halts) <= MAX_FALSE_HALTS * len(SEEDS)


@pytest.mark.parametrize("routes", [1, 5, 20, 60])
def test_release_that_fails_as_its_base_is_not_halted_for_one_of_many_routes(routes):
    found = [simulate_failures(routes, seed, 0.04) for seed in SEEDS]
    assert sum(found) <= MAX_FALSE_HALTS * len(SEEDS)


@pytest.mark.parametrize("routes", [1, 5, 20, 60])
def test_release_that_is_slow_on_one_of_many_routes_is_found(routes):
    ends = [simulate_latencies(routes, seed, 1.0, 4.0, rate=8.0) for seed in SEEDS]
    assert {phase for phase, _ in ends} == {RolloutPhase.ROLLED_BACK}


@pytest.mark.parametrize("others", [0, 4, 19, 59])
def test_release_that_fails_on_one_of_many_routes_is_found(others):
    """Guards against a level that few failures on one route no longer reach."""
    tally = Tally(base={BAD_ROUTE: SideCount(100, 0)})
    for number in range(others):
        tally.target[f"other-{number}"] = SideCount(20, 0)
        tally.base[f"other-{number}"] = SideCount(100, 0)
    tally.target[BAD_ROUTE] = SideCount(8, 4)
    assert is_failing_release(tally)


def test_one_route_of_several_takes_a_higher_score():
    """Guards against a halt by few latencies of one of several routes."""
    assert find_slow_score(1) == pytest.approx(3.0)
    assert find_slow_score(3) > 3.1
    assert find_slow_score(60) < 3.6
