"""Records one bill for every answered request."""

from ..decisions.bills import Bill
from ..ids import RequestId


class BillFilter:
    """Hands the bill over before the answer ends.

    Parameters
    ----------
    billing : BillingController
        Keeps bills until the store has them.
    """

    def __init__(self, billing):
        self._billing = billing

    async def handle(self, context, proceed):
        """Pass the request on and bill its answer."""
        result = await proceed(context)
        if result.is_error():
            return result
        bill = Bill(
            account=context.account.name,
            request_id=RequestId(context.idempotency_key or context.request_id),
            work_class=context.work_class.name,
            version=result.ok.version,
            prompt_tokens=context.usage.prompt_tokens,
            completion_tokens=context.usage.completion_tokens,
            cost=context.cost,
        )
        await self._billing.record(bill)
        return result
