"""The operators' manifest: routes, services, client accounts and client limits."""

from dataclasses import dataclass, field
from enum import Enum

from .decisions.model_selection import ModelChoice
from .ids import ClientAccountId, ModelName, Revision, RouteName, ServiceName


class Repeatability(Enum):
    """What may be repeated of a request that was sent to a backend server."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class SplitShare:
    """A service that takes part in a route, with its relative weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the manifest.

    Parameters
    ----------
    name : RouteName
        Unique name.
    host : str
        Host that the route belongs to, in lower case.
    prefix : str
        Path prefix; the longest one that matches wins.
    repeatability : Repeatability
        Whether a request may run more than once.
    timeout : float
        Longest time in seconds that a request may be kept waiting.
    objective : float
        Seconds within which an answer (or its first event) is on time.
    priority : int
        Rank of the requests; 0 comes first.
    shares : tuple of SplitShare
        Services that serve the route.
    max_attempts : int
        Most backend servers that one request may be sent to.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a broken stream may go on at another backend server.
    models : tuple of ModelName
        Models to choose from, smallest first; empty if the client names the model.
    gap_objective : float
        Longest pause between events, in seconds, for which a stream is on time.
    """

    name: RouteName
    host: str
    prefix: str
    repeatability: Repeatability
    timeout: float
    objective: float
    priority: int
    shares: tuple[SplitShare, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False
    models: tuple[ModelName, ...] = ()
    gap_objective: float = 0.0

    @property
    def repeatable(self):
        """Whether a request that may have run may be sent once more."""
        if self.repeatability is Repeatability.STREAM:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ModelOffer:
    """A model that engines of a service run, and its price per 1,000 tokens."""

    name: ModelName
    cost: float


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the manifest.

    Parameters
    ----------
    name : ServiceName
        Unique name.
    max_connections : int
        Connections that one backend server accepts from all callers together.
    slots : int
        Requests that an engine processes at once; 0 for a plain service.
    kv_capacity : int
        Tokens that an engine's memory holds; 0 for a plain service.
    models : tuple of ModelOffer
        Models that the engines run; empty for a plain service.
    """

    name: ServiceName
    max_connections: int
    slots: int = 0
    kv_capacity: int = 0
    models: tuple[ModelOffer, ...] = ()

    @property
    def runs_models(self):
        """Whether the backend servers are model engines."""
        return self.slots > 0

    def describe_model(self, name):
        """Return the ModelChoice of a model.

        Prices go by size, and so does the time that a token takes.

        Parameters
        ----------
        name : ModelName
            The model; one that is not listed counts as the dearest.
        """
        costs = {offer.name: offer.cost for offer in self.models}
        highest_cost = max(costs.values(), default=0.0)
        cost = costs.get(name, highest_cost)
        return ModelChoice(
            name, cost, cost / highest_cost if highest_cost > 0.0 else 1.0
        )


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds of what a client may send; sizes in bytes, times in seconds."""

    header_size: int = 16384
    body_size: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Manifest:
    """A manifest as the store holds it.

    Parameters
    ----------
    revision : Revision
        Revision of the store at which it was written.
    routes : dict of str to tuple of Route
        Routes by host, longest prefix first.
    services : dict of ServiceName to Service
        Services by name.
    accounts : dict of str to ClientAccountId
        Client accounts by key.
    needs_keys : bool
        Whether requests on routes that are not public need a key.
    limits : ClientLimits
        Bounds of what clients may send.
    account_priorities : dict of ClientAccountId to int
        Ranks that go before the route's.
    """

    revision: Revision
    routes: dict[str, tuple[Route, ...]]
    services: dict[ServiceName, Service]
    accounts: dict[str, ClientAccountId]
    needs_keys: bool
    limits: ClientLimits = ClientLimits()
    account_priorities: dict[ClientAccountId, int] = field(default_factory=dict)

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def sort_routes(routes):
    """Return routes by host, longest prefix first.

    Parameters
    ----------
    routes : iterable of Route
        All routes.
    """
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda r: len(r.prefix), reverse=True))
        for host, group in by_host.items()
    }
