"""When an attempt may be repeated."""

from dataclasses import dataclass

from ..outcomes import Refusal, RefusalReason, RetryReason, RunState

RETRY_AFTER_FAILURE_S = 2.0


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

    def earn(self):
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self):
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
    if not budget.spend():
        return Refusal(
            RefusalReason.RETRY_BUDGET_SPENT,
            f"an attempt failed by {failure.reason.value} and too many retries run",
            run_state,
            RETRY_AFTER_FAILURE_S,
        )
    return None


def is_overload(reason):
    """Return whether a failure means a lack of room, not a fault."""
    return reason in (RetryReason.SERVER_REFUSED, RetryReason.SERVER_LEAVING)
