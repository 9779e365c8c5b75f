"""The servers to which one request may be sent, and the choice among them."""

from functools import partial

from ..decisions.server_choice import RequestTraits
from ..decisions.token_room import choose_with_room
from .place_wait import list_askable


class RequestServers:
    """Chooses the servers of one request.

    Parameters
    ----------
    context : ExecutionContext
        Shared components of the instance.
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.
    models : ModelSequence
        The models of the request.
    tokens : RequestTokens
        The memory that it takes on a server.
    regions : RequestRegions
        The regions in which it may be processed.

    Attributes
    ----------
    assignment : Assignment or None
        The releases that the request may use; to be set before any choice.
    place_wait : PlaceWait or None
        Its waits for a server; to be set before any choice.
    tried : set of BackendServerId
        Servers that have failed the request.
    needs_kept : bool
        Whether only servers with an open connection can be asked.
    """

    def __init__(self, context, request, service, models, tokens, regions):
        self._context = context
        self._service = service
        self._models = models
        self._traits = RequestTraits(request.route.objective, len(request.raw.body))
        self._tokens = tokens
        self._regions = regions
        self.assignment = None
        self.place_wait = None
        self.tried = set()
        self.needs_kept = False

    @property
    def _allows(self):
        """The predicate of servers by release and regions, to be used at once."""
        return self._regions.restrict_to_reachable(self.assignment.allows_server)

    @property
    def _allows_other_side(self):
        """The same for servers of any release that wasn't rolled back."""
        rolled_back = self._context.rollouts.find_rolled_back_release(self._service)
        return self._regions.restrict_to_reachable(
            lambda server: server.release != rolled_back
        )

    def choose(self):
        """Return the server to which the request is sent now, or None.

        Untried servers of the request's roll-out side are preferred, then tried ones,
        and only then servers of the other side, unless the own ones keep it off.
        """
        now = self._context.clock()
        choose = partial(
            self._context.servers.choose,
            self._service,
            now,
            affinity=self._models.affinity,
            traits=self._traits,
        )
        if self.needs_kept:
            return choose(self.tried, self._has_kept_connection)
        granted = self.place_wait.find_granted_server()
        if granted is not None and self._allows(granted):
            return granted
        choose_allowed = partial(choose, is_allowed=self._allows)
        for tried in (self.tried, frozenset()):
            server = choose_with_room(choose_allowed, self._tokens.has_room, tried)
            if server is not None:
                return server
        if self.place_wait.is_kept_off():
            return None
        return choose(frozenset(), self._allows_other_side)

    def list_usable(self):
        """Return the servers among which `choose` chooses."""
        list_usable = partial(
            self._context.servers.list_usable, self._service, self._context.clock()
        )
        usable = list_usable(self._allows)
        if usable or self.place_wait.is_kept_off():
            return usable
        return list_usable(self._allows_other_side)

    def list_candidates(self, server):
        """Return the servers for which a permit will do, the best first.

        Parameters
        ----------
        server : RegisteredServer
            The one that was chosen; those of the other side may be the only ones.
        """
        allows = self._has_kept_connection if self.needs_kept else self._allows
        candidates = self._context.servers.list_candidates(
            self._service, self._context.clock(), self.tried, allows
        )
        return candidates or [server]

    def list_askable(self, servers):
        """Return where a slot of another instance may be used; see `list_askable`."""
        return list_askable(servers, self._allows, self._tokens.has_room, self.tried)

    def estimate_wait(self):
        """Return the expected queueing time at the allowed servers, in seconds."""
        now = self._context.clock()
        return self._context.servers.estimate_wait(self._service, now, self._allows)

    def _has_kept_connection(self, server):
        peer_filter = self._regions.find_peer_filter()
        has_kept = self._context.pool.has_idle(server, peer_filter)
        return has_kept and self._allows(server)
