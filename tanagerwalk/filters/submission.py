"""Correction of refusals for requests that may have been submitted before."""

from expression import Error

from ..decisions.submissions import Submission, correct_run_state


class SubmissionFilter:
    """Ensures that `NOT_RUN` is reported only if no earlier submission can have run."""

    async def handle(self, context, proceed):
        """Run the request and correct the run state of its refusal."""
        result = await proceed(context)
        if result.is_ok():
            return result
        return Error(correct_run_state(result.error, describe_submission(context)))


def describe_submission(context):
    """Return the Submission of a request.

    Parameters
    ----------
    context : RequestContext
        The request.
    """
    work_class = context.work_class
    return Submission(
        context.idempotency_key,
        context.first_submission,
        context.claimed,
        work_class is not None and work_class.idempotent,
    )
