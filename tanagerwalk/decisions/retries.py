"""Retry decisions: limits, budget and backoff."""

from dataclasses import dataclass

from ..outcomes import Refusal, RefusalReason, RetryReason, RunState
from .backends import FailureKind

RETRY_AFTER_FAILURE_S = 2.0
BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 2.0
FAILURE_KINDS = {
    RetryReason.SERVER_REFUSED: FailureKind.OVERLOAD,
    RetryReason.SERVER_LEAVING: FailureKind.OVERLOAD,
    RetryReason.CONNECT_FAILED: FailureKind.UNREACHABLE,
    RetryReason.ATTEMPT_TIMEOUT: FailureKind.TIMEOUT,
}


class RetryBudget:
    """Token bucket that limits retries to a ratio of the first attempts.

    Parameters
    ----------
    ratio : float
        Tokens added by each first attempt; a retry costs one token.
    burst : float
        Maximum number of tokens.
    """

    def __init__(self, ratio, burst):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def deposit(self):
        """Add the tokens for one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_withdraw(self):
        """Take one token; return False if there was none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryState:
    """State of a request after a failed attempt.

    Parameters
    ----------
    idempotent : bool
        Whether the class of work is idempotent, so that it may run twice.
    sent : bool
        Whether any attempt so far may have reached a backend server.
    attempts : int
        Attempts made so far.
    max_attempts : int
        Maximum number of attempts.
    now, deadline : float
        Current time and deadline as monotonic times in seconds.
    """

    idempotent: bool
    sent: bool
    attempts: int
    max_attempts: int
    now: float
    deadline: float


def decide_retry(failure, state, budget):
    """Decide whether a failed attempt is retried.

    Parameters
    ----------
    failure : AttemptFailure
        The failure of the attempt.
    state : RetryState
        State of the request.
    budget : RetryBudget
        Retry budget; one token is taken if the decision is to retry.

    Returns
    -------
    Refusal or None
        None to retry, otherwise the final refusal.
    """
    run_state = RunState.UNKNOWN if state.sent else RunState.NOT_RUN
    if failure.reason is RetryReason.OWN_LIMIT and not state.sent:
        return Refusal(
            RefusalReason.DESCRIPTORS_FULL,
            "this instance has no descriptor left for the request",
            retry_after=RETRY_AFTER_FAILURE_S,
        )
    if state.sent and not state.idempotent:
        return Refusal(
            RefusalReason.BACKEND_FAILED,
            "the attempt failed after it was sent and may not be repeated",
            RunState.UNKNOWN,
        )
    if state.now >= state.deadline:
        return Refusal(
            RefusalReason.DEADLINE_EXCEEDED,
            "no attempt succeeded in time",
            run_state,
            RETRY_AFTER_FAILURE_S,
        )
    if state.attempts >= state.max_attempts:
        return Refusal(
            RefusalReason.BACKEND_FAILED,
            f"{state.attempts} attempts failed, the last by {failure.reason.value}",
            run_state,
            RETRY_AFTER_FAILURE_S,
        )
    if not budget.try_withdraw():
        return Refusal(
            RefusalReason.RETRY_BUDGET_SPENT,
            f"an attempt failed by {failure.reason.value} and too many retries run",
            run_state,
            RETRY_AFTER_FAILURE_S,
        )
    return None


def choose_backoff(attempts, all_failed, chance):
    """Return the delay before the next attempt, in seconds.

    The first retry goes to another server without delay. From the second retry on,
    or if no untried server is left, the delay grows exponentially. Full jitter keeps
    requests that failed together from being retried together.

    Parameters
    ----------
    attempts : int
        Attempts made so far.
    all_failed : bool
        Whether every eligible backend server has failed the request once.
    chance : float
        Random number from 0 to 1.
    """
    if attempts < 2 and not all_failed:
        return 0.0
    return chance * min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**attempts)


def classify_failure(reason):
    """Return the FailureKind to record for the backend server of a failed attempt."""
    return FAILURE_KINDS.get(reason, FailureKind.ERROR)
