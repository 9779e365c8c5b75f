"""Keeps refusals true of every submission of a request."""

from expression import Error

from ..decisions.claims import Submission, correct_run_state


class SubmissionFilter:
    """Says "not run" only where no earlier submission can have run."""

    async def handle(self, context, proceed):
        """Pass the request on and qualify its refusal."""
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
