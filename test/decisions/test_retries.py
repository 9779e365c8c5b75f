"""Retries and hedges: budgets, idempotence and backoff."""

import pytest

from tanagerwalk.decisions.hedges import HedgeDelays, may_hedge
from tanagerwalk.decisions.retries import (
    MAX_BACKOFF_S,
    RetryBudget,
    RetryState,
    choose_backoff,
    decide_retry,
)
from tanagerwalk.declarations import WorkClass
from tanagerwalk.messages import AttemptFailure
from tanagerwalk.outcomes import Interface, RefusalReason, RetryReason, RunState

FAILURE = AttemptFailure(RetryReason.SERVER_ERROR, sent=True)


def make_state(**more):
    known = {"idempotent": True, "sent": True, "attempts": 1, "max_attempts": 4}
    return RetryState(**{**known, "now": 0.0, "deadline": 10.0, **more})


def make_class(hedge=True, idempotent=True):
    return WorkClass("c", Interface.SERVICE, 0, 1, 3, 0, idempotent, hedge=hedge)


@pytest.mark.parametrize(
    ("state", "tokens", "reason", "run_state"),
    [
        ({}, 1, None, None),
        ({"idempotent": False, "sent": False}, 1, None, None),
        ({"idempotent": False}, 1, RefusalReason.BACKEND_FAILED, RunState.UNKNOWN),
        ({"now": 10.0}, 1, RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN),
        ({"attempts": 4}, 1, RefusalReason.BACKEND_FAILED, RunState.UNKNOWN),
        ({}, 0, RefusalReason.RETRY_BUDGET_SPENT, RunState.UNKNOWN),
        (
            {"sent": False, "attempts": 4},
            1,
            RefusalReason.BACKEND_FAILED,
            RunState.NOT_RUN,
        ),
    ],
)
def test_decision(state, tokens, reason, run_state):
    refusal = decide_retry(FAILURE, make_state(**state), RetryBudget(0.2, tokens))
    if reason is None:
        assert refusal is None
        return
    assert (refusal.reason, refusal.run_state) == (reason, run_state)


def test_retries_are_limited_to_a_ratio_of_first_attempts():
    budget = RetryBudget(0.2, 10)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        while decide_retry(FAILURE, make_state(), budget) is None:
            retries += 1
    assert retries <= 0.2 * 1000 + 10


@pytest.mark.parametrize(
    ("attempts", "all_failed", "max_delay"),
    [(1, False, 0.0), (1, True, 0.1), (2, False, 0.2), (60, True, MAX_BACKOFF_S)],
)
def test_backoff_is_jittered_and_bounded(attempts, all_failed, max_delay):
    assert choose_backoff(attempts, all_failed, 1.0) == pytest.approx(max_delay)
    assert choose_backoff(attempts, all_failed, 0.0) == 0.0


@pytest.mark.parametrize(
    ("work_class", "suspect", "tokens", "allowed"),
    [
        (make_class(), False, 1, True),
        (make_class(), False, 0, False),
        (make_class(), True, 1, False),
        (make_class(hedge=False), False, 1, False),
        (make_class(idempotent=False), False, 1, False),
    ],
)
def test_hedge_needs_permission_and_budget(work_class, suspect, tokens, allowed):
    assert may_hedge(work_class, suspect, RetryBudget(0.0, tokens)) is allowed


def test_hedge_delay_is_the_observed_95th_percentile():
    delays = HedgeDelays()
    assert delays.get_delay("c") is None
    for number in range(100):
        delays.record("c", number / 100)
    assert delays.get_delay("c") == pytest.approx(0.95)
