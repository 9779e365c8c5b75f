"""Failures that come together, and what they prove about a release."""

import random
from dataclasses import dataclass

import pytest

from tanagerwalk.decisions.failure_bursts import FailureHistory
from tanagerwalk.decisions.release_evidence import is_failing_release
from tanagerwalk.decisions.tallies import SideCount, Tally

SEEDS = range(40)
MAX_FALSE_HALTS = 0.05
# A bad release has to be halted a while after its fiftieth bad answer at the latest.
MAX_BAD_ANSWERS = 50
DURATION_S = 24.0
STEP_S = 0.25
RATE_PER_S = 50.0
ROUTES = ("plans", "notes")
TARGET_SERVERS = range(6)
BASE_SERVERS = range(100, 115)
# From these times on, in seconds after the order, the target gets these shares.
SHARES = ((20.0, 1.0), (13.0, 0.34), (0.0, 0.135))


@dataclass(frozen=True)
class Bursts:
    """What makes the requests of a roll-out fail.

    Parameters
    ----------
    target_rate, base_rate : float
        Failure rates of the releases themselves.
    moments : int
        How often all servers of both releases fail together for a moment.
    moment : float
        How long, in seconds.
    share : float
        Share of the requests that fail then.
    falls : float
        How often each server falls by itself in the roll-out, in the mean.
    first, last : float
        Seconds after the order between which moments begin.
    bad_from : float
        Seconds after the order from which on the target fails more often.
    """

    target_rate: float = 0.01
    base_rate: float = 0.01
    moments: int = 0
    moment: float = 1.0
    share: float = 0.4
    falls: float = 0.0
    first: float = 0.0
    last: float = DURATION_S
    bad_from: float = 0.0


GOOD = {
    "no bursts": Bursts(),
    "moments": Bursts(moments=3, last=19.0),
    "moments of little traffic of the target": Bursts(moments=2, last=11.0),
    "a moment in the ramp": Bursts(moments=1, first=13.0, last=18.0),
    "a moment without the base": Bursts(moments=1, moment=0.5, first=21.0, last=23.0),
}
BAD = {
    "a tenth": Bursts(target_rate=0.1),
    "half": Bursts(target_rate=0.43),
    "half, a good base": Bursts(target_rate=0.43, base_rate=0.0),
    "half, with moments": Bursts(target_rate=0.43, moments=3),
    "half, late": Bursts(target_rate=0.43, bad_from=18.0),
    "half, without the base": Bursts(target_rate=0.43, bad_from=20.0),
    "a fifth, late": Bursts(target_rate=0.2, bad_from=18.0),
    "a fifth, with falls": Bursts(target_rate=0.2, falls=0.6),
}
# Of a release that fails little more than the base allows, some seeds are not halted.
SLIGHTLY_BAD = {
    "a twentieth": Bursts(target_rate=0.05),
    "a twelfth, with moments": Bursts(target_rate=0.08, moments=2, last=19.0),
}
MIN_FOUND_SHARE = 0.9


class Fleet:
    """Servers of both releases, and what makes them fail."""

    def __init__(self, bursts, seed):
        self.random = random.Random(seed)
        self.bursts = bursts
        draw = self.random.uniform
        count = range(bursts.moments)
        self.moments = [draw(bursts.first, bursts.last) for _ in count]
        self.falls = {
            server: draw(0.0, DURATION_S)
            for server in (*TARGET_SERVERS, *BASE_SERVERS)
            if self.random.random() < bursts.falls
        }

    def fails(self, server, is_target, now):
        """Return whether a request to a server fails."""
        bursts = self.bursts
        is_bad = is_target and now >= bursts.bad_from
        rate = bursts.target_rate if is_bad else bursts.base_rate
        if any(0.0 <= now - start < bursts.moment for start in self.moments):
            rate = max(rate, bursts.share)
        if 0.0 <= now - self.falls.get(server, DURATION_S) < 1.0:
            rate = 1.0
        return self.random.random() < rate


def copy_tally(tally):
    copy = Tally()
    copy.add(tally)
    return copy


def count_bad_answers(bursts, seed, has_history=True):
    """Return the target's bad answers until it is halted, or None if it isn't."""
    fleet = Fleet(bursts, seed)
    tally, history = Tally(), FailureHistory()
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        share = next(share for start, share in SHARES if now >= start)
        for _ in range(int(RATE_PER_S * STEP_S + fleet.random.random())):
            is_target = fleet.random.random() < share
            server = fleet.random.choice(TARGET_SERVERS if is_target else BASE_SERVERS)
            route = fleet.random.choice(ROUTES)
            tally.record(route, is_target, fleet.fails(server, is_target, now), server)
        history.record(copy_tally(tally), now)
        if is_failing_release(tally, history if has_history else None):
            return sum(count.bad for count in tally.target.values())
    return None


@pytest.mark.parametrize("name", GOOD)
def test_good_release_is_not_halted_for_bursts(name):
    """Guards against failures that come together and count as independent."""
    results = [count_bad_answers(GOOD[name], seed) for seed in SEEDS]
    assert len(SEEDS) - results.count(None) <= MAX_FALSE_HALTS * len(SEEDS)


@pytest.mark.parametrize("name", BAD)
def test_bad_release_is_halted_whatever_the_bursts(name):
    results = [count_bad_answers(BAD[name], seed) for seed in SEEDS]
    assert None not in results
    assert max(results) <= MAX_BAD_ANSWERS


@pytest.mark.parametrize("name", SLIGHTLY_BAD)
def test_bursts_hide_hardly_any_bad_release(name):
    """Guards against excuses that a release finds in its own failures."""
    plain, found = (
        [count_bad_answers(SLIGHTLY_BAD[name], seed, has_history) for seed in SEEDS]
        for has_history in (False, True)
    )
    halted = len(SEEDS) - found.count(None)
    assert halted >= MIN_FOUND_SHARE * (len(SEEDS) - plain.count(None)) > 0
    assert max(bad for bad in found if bad is not None) <= MAX_BAD_ANSWERS


def test_bad_marks_of_earlier_answers_are_no_burst():
    """Guards against a period with more bad answers than answers."""
    history = FailureHistory()
    tally = Tally(base={"plans": SideCount(400, 2)}, target={"plans": SideCount(60, 0)})
    history.record(copy_tally(tally), 0.0)
    for _ in range(9):
        tally.mark_bad("plans", True)
        tally.mark_bad("plans", False)
    history.record(copy_tally(tally), 1.0)
    calm = history.remove_bursts(tally)
    assert (calm.sum_target(), calm.sum_base()) == (
        SideCount(60, 9),
        SideCount(400, 11),
    )


def play_seconds(history, tally, seconds, start=0):
    """Record (target answers, bad ones, base answers, bad ones) of each second."""
    history.record(copy_tally(tally), float(start))
    for now, (answers, bad, base_answers, base_bad) in enumerate(seconds, start + 1):
        for number in range(answers):
            tally.record("plans", True, number < bad, server=(number + now) % 10)
        for number in range(base_answers):
            tally.record("plans", False, number < base_bad)
        history.record(copy_tally(tally), float(now))


def test_burst_is_left_out_once():
    """Guards against a second that is a burst with and without the base."""
    history, tally = FailureHistory(), Tally()
    seconds = [(40, 3, 60, 0)] * 14 + [(60, 0, 4, 0)] * 8 + [(60, 20, 4, 3)]
    play_seconds(history, tally, seconds)
    assert is_failing_release(tally, history)
    assert history.remove_bursts(tally).sum_target() == SideCount(1040, 42)


def test_bursts_far_apart_are_not_one():
    """Guards against idle seconds that make others look successive."""
    history, tally = FailureHistory(), Tally()
    alone = [(10, 0, 0, 0)] * 10 + [(10, 6, 0, 0)]
    idle = [(0, 0, 0, 0)] * 60
    play_seconds(history, tally, [(0, 0, 20, 0)] * 30 + alone + idle + alone[-1:])
    assert history.remove_bursts(tally).sum_target() == SideCount(110, 6)


def test_period_holds_only_servers_that_answered():
    """Guards against memory that grows with servers and periods."""
    history, tally = FailureHistory(), Tally()
    for server in range(400):
        tally.record("plans", True, False, server)
    play_seconds(history, tally, [(5, 0, 0, 0)] * 3)
    assert {len(each.answers.target_servers) for each in history._periods} == {5}
    assert {len(each.answers.base) for each in history._periods} == {0}


def play_burst():
    """Return a Tally and a FailureHistory with a burst of a good release."""
    history, tally = FailureHistory(), Tally()
    play_seconds(history, tally, [(5, 0, 45, 0)] * 10 + [(30, 12, 30, 12)])
    return tally, history


def test_late_history_leaves_earlier_bursts_to_others():
    """Guards against an instance that starts after a burst and halts the release."""
    tally, history = play_burst()
    late = FailureHistory(is_late=True)
    late.record(copy_tally(tally), 11.0)
    assert is_failing_release(tally)
    assert not is_failing_release(tally, history)
    assert not is_failing_release(tally, late)
    play_seconds(late, tally, [(30, 12, 30, 0)] * 3, start=12)
    assert is_failing_release(tally, late)


def test_late_history_of_the_only_instance_counts_all_answers():
    tally, _ = play_burst()
    late = FailureHistory(is_late=True)
    late.record(copy_tally(tally), 11.0, own=tally)
    assert is_failing_release(tally, late)
