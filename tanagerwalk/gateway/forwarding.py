"""Last filter: runs the attempts at a request."""

import asyncio

from ..decisions.arrivals import ArrivalBudget
from .work import RequestWork


class ForwardFilter:
    """Sends a request to backend servers within the bounds of its route.

    Parameters
    ----------
    parts : Parts
        Parts of the instance that the attempts need.
    bounds : Bounds
        Bounds of the deployment.
    count_instances : callable
        Returns how many instances share the slack of the repeat budget.
    random : random.Random
        Source of chance.
    """

    def __init__(self, parts, bounds, count_instances, random):
        self._parts = parts
        self._bounds = bounds
        self._count_instances = count_instances
        self._random = random
        self._retry_budgets = {}

    async def handle(self, request, proceed):
        """Answer a request; the error is a Refusal, Ok says that it is answered."""
        del proceed
        service = self._choose_service(request.route)
        budget = self._get_retry_budget(service)
        work = RequestWork(self._parts, request, service, budget)
        try:
            return await work.run()
        except asyncio.CancelledError:
            work.note_left()
            raise

    def apply_bounds(self, bounds):
        """Put changed Bounds in force."""
        self._bounds = bounds

    def _choose_service(self, route):
        """Return the service that serves a request, by the route's weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def _get_retry_budget(self, service):
        """Return the repeat budget of a service, as its bounds are now."""
        bounds = self._bounds
        # Instances come and go, and with them the part of the slack.
        slack = bounds.retry_slack / max(1, self._count_instances())
        limits = (bounds.retry_ratio, bounds.retry_window, slack)
        budget = self._retry_budgets.setdefault(service, ArrivalBudget(*limits))
        budget.take_bounds(*limits)
        return budget
