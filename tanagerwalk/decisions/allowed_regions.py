"""Regions in which a request may be processed, and why one is refused for them."""

from dataclasses import dataclass

from ..outcomes import RefusalReason
from .locations import Home

REFUSAL_MESSAGES = {
    RefusalReason.NO_ALLOWED_REGION: "its route and its account allow no common region",
    RefusalReason.NO_ALLOWED_SERVER: "no server in the allowed regions",
    RefusalReason.ALLOWED_REGIONS_UNREACHABLE: "the allowed regions can't be reached",
}


@dataclass(frozen=True, slots=True)
class AllowedRegions:
    """The regions in which the requests of one route and account may be processed.

    Parameters
    ----------
    home : Home
        Location of this instance, and the region of each failure domain.
    regions : frozenset of Region or None
        The regions, which may be none at all; None for every region.
    """

    home: Home
    regions: frozenset | None = None

    @property
    def is_restricted(self):
        """Whether some regions are not allowed."""
        return self.regions is not None

    def allows_server(self, server):
        """Return whether a RegisteredServer may run the requests."""
        return self.allows_domain(server.failure_domain)

    def allows_peer(self, failure_domain):
        """Return whether the requests may pass through an instance.

        The instances of the own region see no more than this one, which the client
        has chosen.

        Parameters
        ----------
        failure_domain : FailureDomain
            Where the other instance runs.
        """
        return self.allows_domain(failure_domain) or self.home.is_same_region(
            failure_domain
        )

    def allows_domain(self, failure_domain):
        """Return whether a failure domain is allowed; one of no known region isn't."""
        if self.regions is None:
            return True
        return self.home.regions.get(failure_domain) in self.regions

    def find_refusal(self, servers, is_reachable):
        """Return the reason to refuse a request at once, or None.

        Parameters
        ----------
        servers : iterable of RegisteredServer
            Those of its service that accept requests.
        is_reachable : callable
            Takes a RegisteredServer and returns whether a path to it is known.

        Returns
        -------
        RefusalReason or None
        """
        if self.regions is None:
            return None
        if not self.regions:
            return RefusalReason.NO_ALLOWED_REGION
        allowed = [server for server in servers if self.allows_server(server)]
        if not allowed:
            return RefusalReason.NO_ALLOWED_SERVER
        if not any(map(is_reachable, allowed)):
            return RefusalReason.ALLOWED_REGIONS_UNREACHABLE
        return None


def intersect_regions(first, second):
    """Return the regions in both sets, of which None stands for all regions."""
    if first is None:
        return second
    if second is None:
        return first
    return first & second


def find_regions(manifest, request, route=None):
    """Return the regions that a manifest allows for a request, None for all.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    request : GatewayRequest
        The request; its account counts even if its route needs no key.
    route : Route or None
        The route of the request in the manifest; found if it is not given.
    """
    route = route or manifest.find_route(request.host, request.path)
    account = request.account or manifest.accounts.get(request.key)
    if route is None:
        return manifest.account_regions.get(account)
    return manifest.find_allowed_regions(route, account)


def list_unknown_regions(manifest, home):
    """Return the regions that a manifest names and no failure domain is in.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    home : Home
        Knows the region of each failure domain.

    Returns
    -------
    list of Region
    """
    named = set().union(*manifest.account_regions.values())
    named.update(*(route.allowed_regions for route in manifest.list_routes()))
    return sorted(named - set(home.regions.values()) - {home.region})
