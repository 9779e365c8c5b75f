"""Last filter of the chain: forwards requests to backend servers."""

import asyncio

from ..decisions.sliding_retry_budget import SlidingRetryBudget
from .cancellations import is_task_cancelled
from .execution import RequestExecution


class ForwardFilter:
    """Forwards a request, with retries within the retry budget of the service.

    Parameters
    ----------
    context : ExecutionContext
        Components of the instance that forwarding uses.
    bounds : Bounds
        Limits set by the deployment.
    count_instances : callable
        Returns the number of instances that share the slack of the retry budget.
    random : random.Random
        Source of randomness for choosing a service by weight.
    """

    def __init__(self, context, bounds, count_instances, random):
        self._context = context
        self._bounds = bounds
        self._count_instances = count_instances
        self._random = random
        self._retry_budgets = {}

    async def handle(self, request, proceed):
        """Forward a request; return Ok once it is answered, or a Refusal as error."""
        del proceed
        service = self._choose_service(request.route)
        budget = self._get_retry_budget(service)
        execution = RequestExecution(self._context, request, service, budget)
        try:
            async with self._context.stop_control.guard():
                return await execution.run()
        except asyncio.CancelledError:
            if is_task_cancelled():
                execution.log_client_disconnect()
            raise
        return execution.end_by_stop()

    def apply_bounds(self, bounds):
        """Apply changed Bounds, also to the existing retry budgets."""
        self._bounds = bounds

    def _choose_service(self, route):
        """Pick one of the services of the route at random, by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def _get_retry_budget(self, service):
        """Return the retry budget of a service, updated to the current limits."""
        bounds = self._bounds
        # The share of the slack changes with the number of instances.
        slack = bounds.retry_slack / max(1, self._count_instances())
        limits = (bounds.retry_ratio, bounds.retry_window, slack)
        budget = self._retry_budgets.setdefault(service, SlidingRetryBudget(*limits))
        budget.set_bounds(*limits)
        return budget
