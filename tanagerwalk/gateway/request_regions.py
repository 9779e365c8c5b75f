"""The regions in which one request may be processed, by the manifests that bind it."""

import structlog

from ..decisions.allowed_regions import (
    REFUSAL_MESSAGES,
    AllowedRegions,
    find_regions,
    intersect_regions,
    list_unknown_regions,
)
from ..decisions.attempts import UNSENT_OUTCOMES
from ..decisions.paths import PathState
from .attempts import Outcome
from .connect_faults import ConnectFault

log = structlog.get_logger(__name__)

# Time between two attempts at a server that only instances elsewhere reach.
PATH_RETRY_INTERVAL_S = 1.0
# Total time for which a request that has not run may fail to connect.
MAX_CONNECTING_S = 1.0


class RegionRules:
    """What the instance knows about regions, for all requests.

    Parameters
    ----------
    home : Home
        Location of this instance, and the region of each failure domain.
    get_manifest : callable
        Returns the Manifest in force.
    get_peers : callable
        Returns the Peer of each other instance, by incarnation.
    servers : ServerPool
        The servers.
    paths : PathTable
        Tells which servers can't be reached.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, home, get_manifest, get_peers, servers, paths, clock):
        self.home = home
        self.get_manifest = get_manifest
        self._get_peers = get_peers
        self._servers = servers
        self._paths = paths
        self.clock = clock
        self._pathless_until = {}

    def begin(self, request):
        """Return the RequestRegions of a request that has been routed."""
        return RequestRegions(self, request)

    def find_peer_domain(self, peer_id):
        """Return the failure domain of an instance, or None if it is not known."""
        peer = self._get_peers().get(peer_id)
        return None if peer is None else peer.failure_domain

    def list_servers(self, service):
        """Return the servers of a service that accept requests."""
        usages = self._servers.list_usages(service)
        return [usage.server for usage in usages if usage.accepts_requests]

    def record_attempt(self, server, regions):
        """Keep other requests off a server without a path while one tries it again."""
        key = (server.id, regions)
        if key in self._pathless_until:
            self._pathless_until[key] = self.clock() + PATH_RETRY_INTERVAL_S

    def record_path(self, server, regions):
        """Record that a path through some regions to a server works."""
        if self._pathless_until.pop((server.id, regions), None) is not None:
            log.info(
                "path in allowed regions", server=server.id, regions=sorted(regions)
            )

    def record_no_path(self, server, regions):
        """Record that no instance in some regions reaches a server for this one."""
        key = (server.id, regions)
        if key not in self._pathless_until:
            log.info(
                "no path in allowed regions", server=server.id, regions=sorted(regions)
            )
        self._pathless_until[key] = self.clock() + PATH_RETRY_INTERVAL_S

    def is_direct(self, server):
        """Return whether this instance reaches a server by itself."""
        return self._paths.get_state(server.id) is PathState.DIRECT

    def is_reachable(self, server, regions):
        """Return whether a path through some regions to a server may work."""
        if self._paths.is_unreachable(server.id):
            return False
        if not self._pathless_until or self.is_direct(server):
            return True
        until = self._pathless_until.get((server.id, regions), float("-inf"))
        return until <= self.clock()

    def forget_server(self, server):
        """Drop what is known about a server that is gone."""
        self._pathless_until = {
            key: until
            for key, until in self._pathless_until.items()
            if key[0] != server.id
        }

    def check_manifest(self, manifest):
        """Log the regions that a new manifest names and no failure domain is in."""
        unknown = list_unknown_regions(manifest, self.home)
        if unknown:
            log.warning(
                "manifest names unknown regions",
                revision=manifest.revision,
                regions=unknown,
            )


class RequestRegions:
    """Restricts one request to the regions that the manifests allow.

    Both the manifest that it was routed with and the one in force bind, so that a
    change also holds for requests that wait or are tried again.

    Parameters
    ----------
    rules : RegionRules
        What the instance knows about regions.
    request : GatewayRequest
        The request.
    """

    def __init__(self, rules, request):
        self._rules = rules
        self._request = request
        self._initial_regions = find_regions(request.manifest, request, request.route)
        self._manifest = request.manifest
        self._allowed = AllowedRegions(rules.home, self._initial_regions)
        self._found_no_path = False
        self._began_at = 0.0
        self._connecting_s = 0.0

    @property
    def allowed(self):
        """The AllowedRegions at present."""
        manifest = self._rules.get_manifest()
        if manifest is not self._manifest:
            self._manifest = manifest
            present = find_regions(manifest, self._request)
            regions = intersect_regions(self._initial_regions, present)
            self._allowed = AllowedRegions(self._rules.home, regions)
        return self._allowed

    def allows_server(self, server):
        """Return whether a RegisteredServer may run the request."""
        return self.allowed.allows_server(server)

    def restrict(self, allows_server):
        """Return a predicate for servers that are allowed and fulfil another one."""
        return lambda server: self.allows_server(server) and allows_server(server)

    def restrict_to_reachable(self, allows_server):
        """Return a predicate as `restrict` does, for servers that may be reachable.

        It applies the regions allowed at present, and has to be used at once.
        """
        allowed = self.allowed
        if not allowed.is_restricted:
            return allows_server
        return lambda server: (
            allowed.allows_server(server)
            and self._is_reachable(server, allowed)
            and allows_server(server)
        )

    def _is_reachable(self, server, allowed):
        # After one attempt without a path, only servers on a direct path are tried.
        if self._found_no_path and not self._rules.is_direct(server):
            return False
        return self._rules.is_reachable(server, allowed.regions)

    def allows_peer(self, peer_id):
        """Return whether the request may pass through an instance.

        Parameters
        ----------
        peer_id : str
            Incarnation of the instance; one that is not known any more is not allowed.
        """
        allowed = self.allowed
        if not allowed.is_restricted:
            return True
        return allowed.allows_peer(self._rules.find_peer_domain(peer_id))

    def find_peer_filter(self):
        """Return `allows_peer`, or None if the request may pass through any."""
        return self.allows_peer if self.allowed.is_restricted else None

    def record_attempt(self, server):
        """Record an attempt that begins."""
        self._began_at = self._rules.clock()
        if self.allowed.is_restricted:
            self._rules.record_attempt(server, self.allowed.regions)

    def record_result(self, server, result):
        """Record the AttemptResult of an attempt."""
        regions = self.allowed.regions
        if regions is None:
            return
        if result.outcome is Outcome.NOT_SENT:
            self._connecting_s += self._rules.clock() - self._began_at
        if result.fault is ConnectFault.NO_ALLOWED_PATH:
            self._found_no_path = True
            self._rules.record_no_path(server, regions)
        elif result.outcome not in UNSENT_OUTCOMES:
            self._rules.record_path(server, regions)

    def has_spent_connect_time(self, may_have_run):
        """Return whether to refuse the request rather than to try more servers.

        Parameters
        ----------
        may_have_run : bool
            Whether it may have run, so that it is worth trying all.
        """
        return (
            not may_have_run
            and self._connecting_s >= MAX_CONNECTING_S
            and self.allowed.is_restricted
        )

    def find_refusal(self, service, may_have_run):
        """Return the reason to refuse the request at once, or None.

        Parameters
        ----------
        service : ServiceName
            The service that runs it.
        may_have_run : bool
            Whether it may have run, so that it is worth waiting for a path.

        Returns
        -------
        RefusalReason or None
        """
        allowed = self.allowed
        if not allowed.is_restricted:
            return None

        def is_reachable(server):
            return may_have_run or self._is_reachable(server, allowed)

        servers = self._rules.list_servers(service)
        return allowed.find_refusal(servers, is_reachable)

    def describe_refusal(self, reason):
        """Return what to tell the client, or None if the reason is another one."""
        message = REFUSAL_MESSAGES.get(reason)
        if message is None:
            return None
        regions = ", ".join(sorted(self.allowed.regions or ()))
        return f"{message} ({regions})" if regions else message

    def describe(self):
        """Return the log fields of the regions; none if all are allowed."""
        if not self.allowed.is_restricted:
            return {}
        return {"allowed_regions": sorted(self.allowed.regions)}
