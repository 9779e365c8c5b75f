"""Release roll-outs: phases and statistical tests."""

import random

import pytest

from tanagerwalk.decisions.freshness import find_watch_pause
from tanagerwalk.decisions.release_evidence import (
    is_bad_release,
    is_significantly_worse,
)
from tanagerwalk.decisions.release_rollouts import (
    FINISH_MARGIN_S,
    RolloutPhase,
    RolloutState,
    find_next_phase,
    find_write_delay,
)
from tanagerwalk.decisions.tallies import SideCount, Tally

DURATION = 24.0


def build_rollout(phase=RolloutPhase.CANARY, elapsed=0.0):
    return RolloutState("drafts", "v2", 7, phase, elapsed)


def build_tally(target, base=None):
    sides = [
        {route: SideCount(*count) for route, count in side.items()}
        for side in (target, base or {})
    ]
    return Tally(*sides)


def test_phase_is_written_in_time_by_the_instances_that_know_first():
    """A good release completed late because the writers were restarting, or knew late.

    A change is known to a watcher after its pause, and to others 1.1 s later.
    """
    for seed in range(200):
        source = random.Random(seed)
        knows = find_watch_pause(4.0, True)
        steps = 2.0 * 0.25 * 1.25
        assert knows + find_write_delay(True, source) + steps < FINISH_MARGIN_S


def test_few_instances_of_a_large_fleet_write_a_phase():
    """All 195 instances wrote each phase before they could see it written."""
    until_all_know = find_watch_pause(4.0, True) + 0.9
    delays = [find_write_delay(False, random.Random(n)) for n in range(189)]
    assert min(delays) >= until_all_know


@pytest.mark.parametrize(
    ("target", "base", "worse"),
    [
        ((4, 3), (20, 0), True),
        ((20, 3), (100, 0), False),
        ((20, 12), (100, 14), True),
        ((20, 4), (100, 14), False),
        ((2, 2), (50, 0), False),
        ((30, 15), (0, 0), False),
    ],
)
def test_release_is_worse_if_it_fails_significantly_more_often(target, base, worse):
    assert is_significantly_worse(SideCount(*target), SideCount(*base)) is worse


def test_release_that_is_bad_on_one_route_only_is_detected():
    tally = build_tally(
        {"plans": (4, 3), "notes": (40, 0)}, {"plans": (30, 0), "notes": (300, 0)}
    )
    assert is_bad_release(tally)


def test_good_release_passes_all_phases_in_time():
    rollout = build_rollout()
    tally = build_tally({"plans": (20, 0)}, {"plans": (200, 1)})
    seen = []
    for tenth in range(int(DURATION * 10)):
        elapsed = tenth / 10
        phase = find_next_phase(rollout, DURATION, elapsed, tally)
        if phase is not None:
            seen.append((phase, elapsed))
            rollout = build_rollout(phase, elapsed)
    assert [phase for phase, _ in seen] == [
        RolloutPhase.RAMP,
        RolloutPhase.FULL,
        RolloutPhase.COMPLETE,
    ]
    assert seen[0][1] > DURATION / 2
    assert seen[-1][1] < DURATION


@pytest.mark.parametrize(
    "phase", [RolloutPhase.CANARY, RolloutPhase.RAMP, RolloutPhase.FULL]
)
def test_bad_release_is_rolled_back_from_every_phase(phase):
    tally = build_tally({"plans": (10, 6)}, {"plans": (90, 0)})
    rollout = build_rollout(phase, 1.0)
    assert find_next_phase(rollout, DURATION, 2.0, tally) is RolloutPhase.ROLLED_BACK


@pytest.mark.parametrize("phase", [RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK])
def test_final_phase_stays(phase):
    tally = build_tally({"plans": (10, 9)}, {"plans": (90, 0)})
    assert find_next_phase(build_rollout(phase), DURATION, 99.0, tally) is None
