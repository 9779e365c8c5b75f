"""What a manifest says about requests that compete for the servers of a service."""

from functools import cached_property


class ServicePolicy:
    """Priorities, accounts and time limits of the requests for one service.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    service : ServiceName
        The service.
    """

    def __init__(self, manifest, service):
        self._manifest = manifest
        self._service = service

    @cached_property
    def ranks(self):
        """All priorities that requests may have, as a tuple in order."""
        ranks = {route.priority for route in self._routes}
        return tuple(sorted(ranks | set(self._manifest.account_priorities.values())))

    @cached_property
    def account_count(self):
        """Number of accounts among which the service is shared."""
        manifest = self._manifest
        return len(set(manifest.accounts.values())) if manifest.needs_keys else 0

    @cached_property
    def longest_objective(self):
        """The longest latency objective of requests for the service, in seconds."""
        return max((route.objective for route in self._routes), default=0.0)

    @cached_property
    def longest_timeout(self):
        """The longest timeout of requests for the service, in seconds."""
        return max((route.timeout for route in self._routes), default=0.0)

    @cached_property
    def _routes(self):
        """The routes that the service has a share of."""
        return [
            route
            for route in self._manifest.list_routes()
            if any(share.service == self._service for share in route.shares)
        ]

    @property
    def has_differences(self):
        """Whether requests differ in priority or account at all."""
        return len(self.ranks) > 1 or self.account_count > 1

    def find_request_rank(self, request):
        """Return the priority of a request; that of its account goes first."""
        priorities = self._manifest.account_priorities
        return priorities.get(request.account, request.route.priority)
