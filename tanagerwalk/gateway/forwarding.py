"""Last filter: runs the attempts at a request."""

import asyncio

from ..decisions.repeat_budget import RepeatBudget
from .execution import RequestExecution


class ForwardFilter:
    """Sends a request to backend servers within the bounds of its route.

    Parameters
    ----------
    context : ExecutionContext
        Parts of the instance that the attempts need.
    bounds : Bounds
        Bounds of the deployment.
    sharers : callable
        Returns how many instances share the slack of the repeat budget.
    random : random.Random
        Source of chance.
    """

    def __init__(self, context, bounds, sharers, random):
        self._context = context
        self._bounds = bounds
        self._sharers = sharers
        self._random = random
        self._budgets = {}

    async def handle(self, request, proceed):
        """Answer a request; the error is a Refusal, Ok says that it is answered."""
        del proceed
        service = self._choose_service(request.route)
        budget = self._find_budget(service)
        execution = RequestExecution(self._context, request, service, budget)
        try:
            return await execution.run()
        except asyncio.CancelledError:
            execution.log_client_disconnect()
            raise

    def take_bounds(self, bounds):
        """Put changed Bounds in force."""
        self._bounds = bounds

    def _choose_service(self, route):
        """Return the service that serves a request, by the route's weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def _find_budget(self, service):
        """Return the repeat budget of a service, as its bounds are now."""
        bounds = self._bounds
        # Instances come and go, and with them the part of the slack.
        slack = bounds.retry_slack / max(1, self._sharers())
        limits = (bounds.retry_ratio, bounds.retry_window, slack)
        budget = self._budgets.setdefault(service, RepeatBudget(*limits))
        budget.set_bounds(*limits)
        return budget
