"""When an attempt may be repeated."""

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
    """Bounds retries to a share of the first attempts.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    burst : float
        Retries that are kept at most.
    """

    def __init__(self, ratio, burst):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def deposit(self):
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_withdraw(self):
        """Take one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryState:
    """What is known when an attempt has failed.

    Parameters
    ----------
    idempotent : bool
        Whether the class of work may run twice.
    sent : bool
        Whether any attempt so far may have reached a backend server.
    attempts : int
        Attempts made so far.
    max_attempts : int
        Attempts allowed.
    now, deadline : float
        Monotonic times in seconds.
    """

    idempotent: bool
    sent: bool
    attempts: int
    max_attempts: int
    now: float
    deadline: float


def decide_retry(failure, state, budget):
    """Decide what follows a failed attempt.

    Parameters
    ----------
    failure : AttemptFailure
        The attempt that failed.
    state : RetryState
        The request so far.
    budget : RetryBudget
        Retries that are left; one is spent if the answer is to retry.

    Returns
    -------
    Refusal or None
        None to try again, else the final answer.
    """
    run_state = RunState.UNKNOWN if state.sent else RunState.NOT_RUN
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
    """Return how long to wait before the next attempt, in seconds.

    The first retry goes at once to another server. From then on, or where no
    other server is left, the pause doubles; it is jittered over its whole length
    so that requests that failed together do not come back together.

    Parameters
    ----------
    attempts : int
        Attempts made so far.
    all_failed : bool
        Whether each eligible server has failed the request once.
    chance : float
        Random number from 0 to 1.
    """
    if attempts < 2 and not all_failed:
        return 0.0
    return chance * min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**attempts)


def classify_failure(reason):
    """Return the FailureKind that a failed attempt means for its server."""
    return FAILURE_KINDS.get(reason, FailureKind.ERROR)
