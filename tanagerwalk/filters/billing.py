"""Billing of answered requests."""

from expression import Error

from ..decisions.bills import FINGERPRINT_LENGTH, Bill
from ..ids import Fingerprint, RequestId
from ..outcomes import Refusal, RefusalReason

RETRY_AFTER_BACKLOG_S = 30.0


class BillingFilter:
    """Stores a bill for every answered request before its response is completed.

    Parameters
    ----------
    billing : BillingController
        Copies bills to peers and writes them to the store.
    """

    def __init__(self, billing):
        self._billing = billing

    async def handle(self, context, proceed):
        """Run the request and bill its answer.

        New requests are refused while no more bills can be kept.
        """
        if self._billing.is_full:
            return Error(
                Refusal(
                    RefusalReason.BILLS_UNWRITTEN,
                    "too many bills wait for the platform's key-value service",
                    retry_after=RETRY_AFTER_BACKLOG_S,
                )
            )
        result = await proceed(context)
        if result.is_error():
            return result
        await self._billing.record(make_bill(context, result.ok))
        return result


def make_bill(context, answer):
    """Return the bill of a request and its answer.

    Parameters
    ----------
    context : RequestContext
        The request; its usage and cost cover all attempts.
    answer : Answer
        The answer.
    """
    return Bill(
        account=context.account.name,
        request_id=RequestId(context.idempotency_key or context.request_id),
        work_class=context.work_class.name,
        version=answer.version,
        prompt_tokens=context.usage.prompt_tokens,
        completion_tokens=context.usage.completion_tokens,
        cost=context.cost,
        fingerprint=Fingerprint(context.fingerprint[:FINGERPRINT_LENGTH]),
    )
