"""What earlier submissions of a request say about whether it has run."""

import dataclasses

from ..outcomes import RefusalReason, RunState

# These refusals depend on the request only, so they apply to each of its submissions.
SUBMISSION_INDEPENDENT_REASONS = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.IDEMPOTENCY_KEY_MISSING,
        RefusalReason.IDEMPOTENCY_KEY_REUSED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """What is known about earlier submissions of the same request.

    Parameters
    ----------
    idempotency_key : str or None
        Identifies all submissions of one request.
    first : bool
        Whether the caller declares that it sends the key for the first time.
    claimed : bool
        Whether this submission held the claim, so that no earlier one can have run.
    idempotent : bool
        Whether the class of work is declared idempotent.
    """

    idempotency_key: str | None
    first: bool = False
    claimed: bool = False
    idempotent: bool = False

    @property
    def rules_out_earlier_run(self):
        """Whether no earlier submission can have run."""
        if not self.idempotency_key or self.idempotent:
            return True
        return self.first or self.claimed


def correct_run_state(refusal, submission):
    """Replace `NOT_RUN` by `UNKNOWN` if an earlier submission may have run.

    A refusal that is decided without reading the claim covers only the current
    submission. If the caller sent the same idempotency key before, that earlier
    submission may have run.

    Parameters
    ----------
    refusal : Refusal
        The original refusal.
    submission : Submission
        What is known about earlier submissions.

    Returns
    -------
    Refusal
    """
    if refusal.run_state is not RunState.NOT_RUN or submission.rules_out_earlier_run:
        return refusal
    if refusal.reason in SUBMISSION_INDEPENDENT_REASONS:
        return refusal
    return dataclasses.replace(refusal, run_state=RunState.UNKNOWN)
