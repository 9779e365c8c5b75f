"""Roll-outs of slow and of good releases, over a table of simulated fleets."""

import random
from dataclasses import dataclass, field

import pytest

from tanagerwalk.decisions.latency_histograms import (
    LatencyHistogram,
    compute_rank_score,
    find_bucket,
)
from tanagerwalk.decisions.load_curve import DEFAULT_SLOPE, LoadCurve
from tanagerwalk.decisions.release_choice import (
    ReleaseChooser,
    RoutingConditions,
    hash_session,
)
from tanagerwalk.decisions.release_evidence import (
    RECENT_S,
    RecentLatencies,
    is_bad_release,
    is_proved_fast,
    is_slow_release,
)
from tanagerwalk.decisions.release_rollouts import (
    RolloutPhase,
    RolloutState,
    find_next_phase,
)
from tanagerwalk.decisions.tallies import AnswerKind, StartCount, Tally

# Bounds of the users' sites: share and slack of requests to a release that proves bad.
CANARY_SHARE = 0.15
CANARY_SLACK = 30.0
SESSION_GAP_S = 5.0
DURATION_S = 15.0
STEP_S = 0.25
INSTANCES = 9
ENGINES = 5
STREAM_S = 5.0
# Time until enough events of an answer have been seen, at the usual speed.
SAMPLE_DELAY_S = 0.6
KIND = AnswerKind("plans", "model-l")


@dataclass
class Scenario:
    """A release and the fleet that it meets.

    Parameters
    ----------
    factor : float
        How many times longer the target's pauses are.
    slow_base_share : float
        Share of the base's answers that take four times as long.
    rate : float
        Requests a second.
    late_rate : float or None
        Requests a second from the eighth second on.
    slow_from : float
        Seconds after the order at which the target turns slow.
    min_running : int
        Requests on an engine from which on the target is slow.
    """

    factor: float = 1.0
    slow_base_share: float = 0.0
    rate: float = 25.0
    late_rate: float | None = None
    slow_from: float = 0.0
    min_running: int = 0


@dataclass
class Fleet:
    """Instances that share their evidence at once, and the engines of both releases."""

    scenario: Scenario
    random: random.Random
    tally: Tally = field(default_factory=Tally)
    curve: LoadCurve = field(default_factory=LoadCurve)
    ends: dict = field(default_factory=lambda: {True: [], False: []})
    samples: list = field(default_factory=list)

    def start(self, is_target, now):
        """Start a stream and schedule the sample of its pauses."""
        running = 1 + len(self.ends[is_target]) // ENGINES
        pause = 0.02 * (1.0 + running / 8.0) * self.random.lognormvariate(0.0, 0.5)
        factor = self._find_factor(is_target, running, now)
        self.ends[is_target].append(now + STREAM_S * factor)
        ready_at = now + SAMPLE_DELAY_S * factor
        self.samples.append((ready_at, is_target, running, pause * factor))

    def _find_factor(self, is_target, running, now):
        scenario = self.scenario
        if not is_target:
            is_slow = self.random.random() < scenario.slow_base_share
            return 4.0 if is_slow else 1.0
        is_slow = now >= scenario.slow_from and running >= scenario.min_running
        return scenario.factor if is_slow else 1.0

    def advance(self, now):
        """End streams, and record the samples that are ready."""
        for is_target, ends in self.ends.items():
            self.ends[is_target] = [end for end in ends if end > now]
        ready = [sample for sample in self.samples if sample[0] <= now]
        self.samples = [sample for sample in self.samples if sample[0] > now]
        for _, is_target, running, seconds in ready:
            if not is_target:
                self.curve.record(running, seconds)
            normalized = self.curve.normalize(running, seconds)
            self.tally.record_latency(KIND, is_target, normalized)


def copy_tally(tally):
    copy = Tally()
    copy.add(tally)
    return copy


def simulate(scenario, seed):
    """Return the last phase, and the requests to the target and in all."""
    source = random.Random(seed)
    fleet = Fleet(scenario, source)
    choosers = [
        ReleaseChooser("drafts", CANARY_SHARE, SESSION_GAP_S, CANARY_SLACK)
        for _ in range(INSTANCES)
    ]
    recent = RecentLatencies()
    rollout = RolloutState("drafts", "v2", 7, RolloutPhase.CANARY)
    sent = {True: 0, False: 0}
    for step in range(int(-4.0 / STEP_S), int(DURATION_S / STEP_S)):
        now = step * STEP_S
        rate = scenario.rate if scenario.late_rate is None or now < 8.0 else 0.0
        rate = rate or scenario.late_rate
        for _ in range(int(rate * STEP_S + source.random())):
            chooser = source.choice(choosers)
            key = hash_session("drafts", b"%d" % source.getrandbits(40))
            conditions = RoutingConditions(starts=StartCount(sent[True], sent[False]))
            choice = chooser.choose_new(rollout.phase, key, lambda c=conditions: c)
            is_target = now >= 0.0 and choice.is_target
            fleet.start(is_target, now)
            sent[is_target] += now >= 0.0
        fleet.advance(now)
        is_alone = rollout.phase is RolloutPhase.FULL
        window = recent.find(copy_tally(fleet.tally), now, is_alone)
        phase = find_next_phase(rollout, DURATION_S, now, fleet.tally, window)
        if phase is not None:
            rollout = RolloutState("drafts", "v2", 7, phase, now)
    return rollout.phase, sent[True], sent[True] + sent[False]


BAD_RELEASES = {
    "twice as slow": Scenario(2.0),
    "three times": Scenario(3.0),
    "eight times": Scenario(8.0),
    "four times, a third of the base slow too": Scenario(4.0, slow_base_share=0.33),
    "four times, traffic falls": Scenario(4.0, late_rate=5.0),
    "four times, little traffic": Scenario(4.0, rate=8.0),
    "four times, late": Scenario(4.0, slow_from=4.0),
}
GOOD_RELEASES = {
    "as fast": Scenario(),
    "faster": Scenario(0.7),
    "more traffic": Scenario(rate=60.0),
    "a third of the base slow": Scenario(slow_base_share=0.33),
}
SEEDS = range(30)


# Guards against EXPOSURE: a release that answered several times slower was completed,
# or got more requests than a bad release may.
@pytest.mark.parametrize("name", BAD_RELEASES)
def test_slow_release_is_never_completed_and_gets_few_requests(name):
    for seed in SEEDS:
        phase, to_target, total = simulate(BAD_RELEASES[name], seed)
        assert phase is not RolloutPhase.COMPLETE
        assert to_target <= CANARY_SHARE * total + CANARY_SLACK


# A roll-out of 15 s ends, as the shortest do, when the full phase has settled.
@pytest.mark.parametrize("name", GOOD_RELEASES)
def test_good_release_is_completed_or_about_to_be(name):
    phases = [simulate(GOOD_RELEASES[name], seed)[0] for seed in SEEDS]
    assert phases.count(RolloutPhase.COMPLETE) == len(SEEDS)


def build_histogram(source, count, median):
    histogram = LatencyHistogram()
    for _ in range(count):
        histogram.record(median * source.lognormvariate(0.0, 0.5))
    return histogram


def test_rank_score_is_about_standard_normal_without_a_difference():
    source = random.Random(1)
    scores = [
        compute_rank_score(
            [(build_histogram(source, 20, 0.05), build_histogram(source, 90, 0.05))],
            1.0,
        )
        for _ in range(400)
    ]
    mean = sum(scores) / len(scores)
    assert abs(mean) < 0.2
    assert 0.8 < sum(s * s for s in scores) / len(scores) < 1.2


def test_rank_score_of_a_slowed_base_is_that_of_the_same_latencies():
    source = random.Random(2)
    base = build_histogram(source, 200, 0.05)
    target = build_histogram(source, 200, 0.1)
    assert compute_rank_score([(target, base)], 1.0) > 8.0
    assert abs(compute_rank_score([(target, base)], 2.0)) < 2.0
    assert compute_rank_score([], 1.0) == 0.0
    assert compute_rank_score([(LatencyHistogram(), base)], 1.0) == 0.0


def test_buckets_grow_by_a_factor_of_two_each_four():
    assert find_bucket(0.0) == 0
    assert find_bucket(0.02 * 2) == find_bucket(0.02) + 4
    assert find_bucket(1e9) == find_bucket(1e12)


def build_tally(target_median, base_median=0.05, count=12, route="plans"):
    source = random.Random(3)
    kind = AnswerKind(route, "model-l")
    return Tally(
        target_latencies={kind: build_histogram(source, count, target_median)},
        base_latencies={kind: build_histogram(source, 100, base_median)},
    )


def test_release_that_is_slow_on_one_route_only_is_found():
    tally = build_tally(0.05, count=60)
    tally.add(build_tally(0.25, route="notes"))
    assert is_slow_release(tally, 2**0.5)
    assert is_bad_release(tally)
    assert not is_proved_fast(tally)


def test_nothing_is_proved_by_too_few_answers_or_none():
    assert not is_proved_fast(build_tally(0.01, count=3))
    assert is_proved_fast(build_tally(0.05))
    # Without answers of the base, a slow release would harm nobody.
    assert is_proved_fast(Tally())


def test_release_that_turns_slow_late_is_found_in_the_last_seconds():
    recent = RecentLatencies()
    early = build_tally(0.04, count=200)
    recent.find(copy_tally(early), 0.0, False)
    late = build_tally(0.2, count=15)
    early.add(late)
    assert not is_slow_release(early, 2**0.5)
    window = recent.find(early, RECENT_S, False)
    assert is_slow_release(window, 2**0.5)


def test_curve_learns_how_pauses_grow_with_the_load():
    source = random.Random(4)
    curve = LoadCurve()
    assert curve.slope == DEFAULT_SLOPE
    for _ in range(600):
        running = source.randint(1, 40)
        curve.record(running, 0.02 * (1.0 + running) ** 0.4)
    assert abs(curve.slope - 0.4) < 0.01
    light = curve.normalize(3, 0.02 * 4.0**0.4)
    heavy = curve.normalize(31, 0.02 * 32.0**0.4)
    assert abs(light / heavy - 1.0) < 0.05
