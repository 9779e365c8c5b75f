"""Decides what follows a cascade step without an acceptable answer."""

from dataclasses import dataclass

from ..ids import BackendServerId, VersionName
from ..messages import Answer
from ..outcomes import RefusalReason, RetryReason, RunState

# Another version may succeed after these refusals. After a full queue or a spent retry
# budget no further attempt is made.
ESCALATABLE_REASONS = frozenset(
    {
        RefusalReason.VERSION_WITHDRAWN,
        RefusalReason.EXPOSURE_SPENT,
        RefusalReason.NO_BACKEND_SERVER,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.BACKEND_FAILED,
    }
)
VERSION_FAULTS = frozenset({RetryReason.SERVER_ERROR, RetryReason.INCOMPLETE_ANSWER})
CRASH_WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A complete answer that was rated below the target or not rated.

    Parameters
    ----------
    answer : Answer
        The answer.
    value : float
        The rating of the answer, or the lower bound of the version's expected rating
        if the answer was not rated.
    """

    answer: Answer
    value: float


def may_escalate(refusal, idempotent):
    """Return whether the next step of a cascade may run after a refused one.

    Parameters
    ----------
    refusal : Refusal
        Why the step gave no answer.
    idempotent : bool
        Whether the class of work may run twice.
    """
    if refusal.reason not in ESCALATABLE_REASONS:
        return False
    return idempotent or refusal.run_state is RunState.NOT_RUN


def may_replan(refusal, idempotent, uses_candidate):
    """Return whether another plan may replace a refused one.

    Parameters
    ----------
    refusal : Refusal
        Why the plan gave no answer.
    idempotent : bool
        Whether the class of work may run twice.
    uses_candidate : bool
        Whether the plan used a candidate, whose failures must not cost callers
        their answers. Failures of other versions are not replaced, since that
        would multiply the load in an outage.
    """
    if refusal.reason is RefusalReason.BACKEND_FAILED and not uses_candidate:
        return False
    return may_escalate(refusal, idempotent)


class FaultAttribution:
    """Separates failures of a version from failures of servers and networks.

    A refused or lost connection is not evidence against the version. A crash ends all
    streams of a server at once, so the failures of a version on one server within
    `CRASH_WINDOW_S` count as one.
    """

    def __init__(self):
        self._crashed_at: dict[tuple[VersionName, BackendServerId], float] = {}

    def blames_version(self, version, failure, seconds, lateness, now):
        """Return whether a failed attempt counts against its version.

        Parameters
        ----------
        version : VersionName
            The version.
        failure : AttemptFailure
            The failure.
        seconds : float
            Duration of the attempt.
        lateness : float
            The class's lateness target in seconds. A timeout after less time is not
            evidence against the version.
        now : float
            Monotonic time in seconds.
        """
        if not failure.sent:
            return False
        if failure.reason is RetryReason.ATTEMPT_TIMEOUT:
            return seconds >= lateness
        if failure.reason not in VERSION_FAULTS:
            return False
        return not failure.crashed or self._is_first(version, failure.server, now)

    def _is_first(self, version, server, now):
        recent = {
            key: at for key, at in self._crashed_at.items() if now - at < CRASH_WINDOW_S
        }
        self._crashed_at = recent
        return recent.setdefault((version, server), now) == now
