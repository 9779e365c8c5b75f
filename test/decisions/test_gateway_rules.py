"""Decision functions of the gateway, tested by tables of cases and by properties."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.attempts import (
    MAX_CLOSED_ATTEMPTS,
    MAX_WITHHELD_ATTEMPTS,
    AttemptHistory,
    NextAction,
    decide_next_action,
)
from tanagerwalk.decisions.events import EventSplitter
from tanagerwalk.decisions.freshness import (
    Freshness,
    find_age_limit,
    find_confirmed_time,
    find_direct_read_pause,
    find_retry_pause,
    find_watch_pause,
)
from tanagerwalk.decisions.latency_baselines import LatencyBaselines, LatencySample
from tanagerwalk.decisions.model_selection import (
    ModelChoice,
    find_confidence_threshold,
    is_confident_enough,
    plan_models,
)
from tanagerwalk.decisions.shared_loads import compute_period
from tanagerwalk.decisions.sliding_retry_budget import SlidingRetryBudget
from tanagerwalk.gateway.attempts import Outcome
from tanagerwalk.gateway.change_feed import PEER_POLL_INTERVAL_S, PEER_TIMEOUT_S

MODELS = [ModelChoice("s", 0.02, 0.07), ModelChoice("m", 0.15, 0.5)]
MODELS.append(ModelChoice("l", 0.3, 1.0))
MAY_HAVE_RUN = [Outcome.FAILED, Outcome.LOST, Outcome.SILENT, Outcome.DECLINED]
HAS_NOT_RUN = [
    Outcome.NOT_SENT,
    Outcome.CLOSED,
    Outcome.WITHHELD,
    Outcome.REJECTED,
    Outcome.MISDIRECTED,
]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_non_idempotent_request_that_may_have_run_is_never_sent_again(outcome):
    history = AttemptHistory(repeatable=False, max_attempts=3)
    history.record(outcome)
    assert decide_next_action(history, outcome, 9.0, True) is NextAction.REFUSE_UNKNOWN


@pytest.mark.parametrize("outcome", HAS_NOT_RUN)
def test_request_that_has_not_run_is_repeated_or_refused_as_not_run(outcome):
    history = AttemptHistory(repeatable=False, max_attempts=3)
    history.record(outcome)
    assert decide_next_action(history, outcome, 9.0, True) is NextAction.ANOTHER
    assert decide_next_action(history, outcome, 0.0, True) is NextAction.REFUSE_NOT_RUN


@given(st.lists(st.sampled_from(MAY_HAVE_RUN + HAS_NOT_RUN), min_size=1), st.booleans())
def test_refusal_as_not_run_is_always_true(outcomes, repeatable):
    history = AttemptHistory(repeatable, max_attempts=99)
    for outcome in outcomes:
        history.record(outcome)
    has_run = any(outcome in MAY_HAVE_RUN for outcome in outcomes)
    for left in (0.0, 9.0):
        action = decide_next_action(history, outcomes[-1], left, False)
        assert action is not NextAction.REFUSE_NOT_RUN or not has_run
        assert action is not NextAction.ANOTHER or repeatable or not has_run


def test_attempts_are_bounded_by_their_number_and_the_budget():
    history = AttemptHistory(repeatable=True, max_attempts=2)
    history.record(Outcome.LOST)
    assert (
        decide_next_action(history, Outcome.LOST, 9.0, False)
        is NextAction.REFUSE_UNKNOWN
    )
    assert decide_next_action(history, Outcome.LOST, 9.0, True) is NextAction.ANOTHER
    history.record(Outcome.LOST)
    assert (
        decide_next_action(history, Outcome.LOST, 9.0, True)
        is NextAction.REFUSE_UNKNOWN
    )


def test_started_stream_is_broken_off_and_not_refused():
    history = AttemptHistory(repeatable=True, max_attempts=1, started=True)
    history.record(Outcome.LOST)
    assert decide_next_action(history, Outcome.LOST, 9.0, True) is NextAction.BREAK_OFF


@given(st.lists(st.tuples(st.floats(0, 30), st.booleans()), max_size=200))
def test_retries_stay_in_budget_in_every_window(steps):
    budget = SlidingRetryBudget(0.5, 10.0, 2.0)
    requests = []
    retries = []
    for now, is_retry in sorted(steps):
        if not is_retry:
            budget.record_request(now)
            requests.append(now)
        elif budget.allows(now):
            budget.record_retry(now)
            retries.append(now)
            recent = [t for t in requests if t > now - 10.0]
            recent_retries = [t for t in retries if t > now - 10.0]
            assert len(recent_retries) <= 0.5 * len(recent) + 2.0


@pytest.mark.parametrize("is_shared", [False, True])
def test_watch_pause_meets_its_bound(is_shared):
    """The store may take a second to answer and may need one retry.

    Where the watching is shared, the change then waits for the next question of an
    instance that does not watch, and the first one that it asks may not answer.
    """
    passing_on = PEER_POLL_INTERVAL_S + PEER_TIMEOUT_S if is_shared else 0.0
    assert find_watch_pause(4.0, is_shared) + 1.0 + 1.0 + passing_on <= 4.0
    assert find_watch_pause(2.5, is_shared) <= 1.0


@pytest.mark.parametrize("instances", [9, 69, 340, 1000])
def test_retry_rate_of_a_large_fleet_at_a_store_outage_is_bounded(instances):
    """All instances together call a store that is out 100 times a second at most."""
    assert find_retry_pause(9) == 0.2
    watching = instances / find_retry_pause(instances)
    asking = instances / find_direct_read_pause(instances)
    assert watching + asking <= 100.0


@given(st.floats(0.5, 3.0), st.floats(0.0, 5.0), st.booleans())
def test_confirmed_time_is_never_later_than_the_store_answered(wait, took, is_empty):
    """The store may answer early, and its answer may be delayed in transit."""
    confirmed_at = find_confirmed_time(10.0, 10.0 + took, wait, is_empty)
    answered_at = 10.0 + wait if is_empty and took >= wait else 10.0
    assert 10.0 <= confirmed_at <= max(answered_at, 10.0)


@given(st.lists(st.integers(1, 60), max_size=20))
def test_events_are_complete_for_any_chunk_sizes(sizes):
    stream = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 40))
    splitter = EventSplitter()
    events = []
    rest = stream
    for size in [*sizes, len(stream)]:
        events.extend(splitter.feed(rest[:size]))
        rest = rest[size:]
    assert b"".join(event.data for event in events) == stream
    assert [event.number for event in events] == list(range(1, 40))
    assert not splitter.has_partial


def test_partial_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n") == []
    assert splitter.has_partial


@pytest.mark.parametrize(
    ("age", "fresh"), [(0.0, True), (3.9, True), (4.1, False), (5.0, False)]
)
def test_manifest_is_stale_before_the_bound(age, fresh):
    now = [0.0]
    freshness = Freshness(find_age_limit(True, 5.0), lambda: now[0])
    assert not freshness.is_fresh()
    freshness.confirm(0.0)
    now[0] = age
    assert freshness.is_fresh() is fresh
    assert find_age_limit(False, 5.0) == float("inf")


@pytest.mark.parametrize(
    ("confidence", "wait", "enough"),
    [
        (None, 0.0, True),
        (60, 0.0, True),
        (40, 0.0, False),
        (40, 0.3, True),
        (5, 9.0, False),
        (15, 9.0, True),
    ],
)
def test_answer_is_escalated_by_confidence_and_wait(confidence, wait, enough):
    assert is_confident_enough(confidence, wait) is enough


@given(st.floats(0, 20), st.floats(0, 20))
def test_confidence_threshold_never_rises_with_the_wait(one, other):
    low, high = sorted((one, other))
    assert find_confidence_threshold(low) >= find_confidence_threshold(high)


@pytest.mark.parametrize(
    ("attempts", "names"), [(3, ["s", "l"]), (2, ["s", "l"]), (1, ["l"])]
)
def test_smallest_model_goes_first_if_another_may_follow(attempts, names):
    assert [model.name for model in plan_models(MODELS, attempts)] == names


def test_answer_several_times_slower_than_the_baseline_is_slow():
    baselines = LatencyBaselines()
    for _ in range(10):
        baselines.record("plans", LatencySample(0.2, 0.03, 40, 1000))
    objectives = {"objective": 3.0, "gap_objective": 0.8}
    for sample, is_slow in (
        (LatencySample(0.2, 0.24, 40, 1000), True),
        (LatencySample(0.2, 0.05, 40, 1000), False),
        (LatencySample(1.6, 0.0, 1, 1000), True),
        (LatencySample(0.8, 0.0, 1, 9000), False),
    ):
        assert baselines.is_slow("plans", sample, **objectives) is is_slow


@pytest.mark.parametrize(
    ("sample", "is_slow"),
    [
        (LatencySample(0.020), False),
        (LatencySample(0.095), False),
        (LatencySample(0.120), True),
        (LatencySample(0.002, 0.010, 40), False),
        (LatencySample(0.002, 0.030, 40), True),
    ],
)
def test_delay_of_milliseconds_is_not_slow_whatever_its_ratio(sample, is_slow):
    """Answers of a busy machine took milliseconds and rolled a good release back."""
    baselines = LatencyBaselines()
    for _ in range(10):
        baselines.record("jobs", LatencySample(0.002, 0.002, 40))
    result = baselines.is_slow("jobs", sample, objective=1.0, gap_objective=0.8)
    assert result is is_slow


@pytest.mark.parametrize(("peers", "most"), [(8, 30), (68, 50), (300, 50)])
def test_rate_of_load_messages_is_bounded_in_a_large_fleet(peers, most):
    assert peers / compute_period(peers) <= most


@pytest.mark.parametrize(
    ("outcome", "most"),
    [
        (Outcome.CLOSED, MAX_CLOSED_ATTEMPTS),
        (Outcome.WITHHELD, MAX_WITHHELD_ATTEMPTS),
    ],
)
def test_attempts_that_send_nothing_are_limited(outcome, most):
    history = AttemptHistory(repeatable=False, max_attempts=1)
    actions = []
    for _ in range(most):
        history.record(outcome)
        actions.append(decide_next_action(history, outcome, 1.0, False))
    assert actions[:-1] == [NextAction.ANOTHER] * (most - 1)
    assert actions[-1] is NextAction.REFUSE_NOT_RUN
