"""Model of the operators' manifest: routes, services, accounts and client limits."""

from dataclasses import dataclass, field
from enum import Enum

from .decisions.model_selection import ModelChoice
from .ids import (
    ClientAccountId,
    ModelName,
    Region,
    Revision,
    RouteName,
    ServiceName,
)


class Repeatability(Enum):
    """Whether a request that reached a backend server may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class SplitShare:
    """A service that receives a share of a route's traffic, by relative weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the manifest.

    Parameters
    ----------
    name : RouteName
        Unique name.
    host : str
        Host name that the route matches, in lower case.
    prefix : str
        Path prefix; the longest matching prefix is selected.
    repeatability : Repeatability
        Whether a request may run more than once.
    timeout : float
        Time limit of a request, in seconds.
    objective : float
        Latency objective for the answer, or for the first event of a stream, in
        seconds.
    priority : int
        Priority of the requests; 0 is the highest.
    shares : tuple of SplitShare
        Services that share the route's traffic.
    max_attempts : int
        Maximum number of backend servers that a request may be sent to.
    public : bool
        Whether requests are accepted without a key.
    resumable : bool
        Whether an interrupted stream may be resumed on another backend server.
    models : tuple of ModelName
        Models to choose from, smallest first; empty if the client names the model.
    gap_objective : float
        Objective for the longest pause between stream events, in seconds.
    allowed_regions : frozenset of Region
        Regions in which the requests may be processed; empty for all regions.
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
    allowed_regions: frozenset[Region] = frozenset()

    @property
    def repeatable(self):
        """Whether a request that may already have run may be sent again."""
        if self.repeatability is Repeatability.STREAM:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ModelOffer:
    """A model that a service's engines run, and its cost per 1,000 tokens."""

    name: ModelName
    cost: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service of the manifest.

    Parameters
    ----------
    name : ServiceName
        Unique name.
    max_connections : int
        Connections that one backend server accepts, summed over all callers.
    slots : int
        Requests that an engine processes concurrently; 0 for a plain service.
    kv_capacity : int
        Capacity of an engine's KV cache, in tokens; 0 for a plain service.
    models : tuple of ModelOffer
        Models that the engines run; empty for a plain service.
    cold_start : float
        Seconds for which a server is cold after its start; 0 if it never is.
    cold_rate : float
        Requests per second that a cold server bears, summed over all callers.
    """

    name: ServiceName
    max_connections: int
    slots: int = 0
    kv_capacity: int = 0
    models: tuple[ModelOffer, ...] = ()
    cold_start: float = 0.0
    cold_rate: float = 0.0

    @property
    def runs_models(self):
        """Whether the backend servers are model engines."""
        return self.slots > 0

    def make_model_choice(self, name):
        """Return the ModelChoice of a model.

        The time per token is taken to be proportional to the cost, because both
        grow with the size of the model.

        Parameters
        ----------
        name : ModelName
            The model; an unlisted one is given the highest cost.
        """
        costs = {offer.name: offer.cost for offer in self.models}
        highest_cost = max(costs.values(), default=0.0)
        cost = costs.get(name, highest_cost)
        return ModelChoice(
            name, cost, cost / highest_cost if highest_cost > 0.0 else 1.0
        )


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on client requests; sizes in bytes, times in seconds."""

    header_size: int = 16384
    body_size: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Manifest:
    """A manifest as read from the store.

    Parameters
    ----------
    revision : Revision
        Store revision at which the manifest was written.
    routes : dict of str to tuple of Route
        Routes by host, longest prefix first.
    services : dict of ServiceName to Service
        Services by name.
    accounts : dict of str to ClientAccountId
        Client accounts by key.
    needs_keys : bool
        Whether requests on non-public routes need a key.
    limits : ClientLimits
        Limits on client requests.
    account_priorities : dict of ClientAccountId to int
        Priorities that take precedence over the route's.
    account_regions : dict of ClientAccountId to frozenset of Region
        Regions in which the requests of an account may be processed; accounts that
        aren't listed may use all regions.
    version : int or None
        The operators' own number, which grows; None if it is not a number.
    """

    revision: Revision
    routes: dict[str, tuple[Route, ...]]
    services: dict[ServiceName, Service]
    accounts: dict[str, ClientAccountId]
    needs_keys: bool
    limits: ClientLimits = ClientLimits()
    account_priorities: dict[ClientAccountId, int] = field(default_factory=dict)
    account_regions: dict[ClientAccountId, frozenset[Region]] = field(
        default_factory=dict
    )
    version: int | None = None

    def is_older_than(self, other):
        """Return whether the operators wrote this manifest before another one.

        A store that was restored from an older copy holds an older manifest under a
        newer revision, until the operators write theirs again.
        """
        if self.version is None or other.version is None:
            return self.revision < other.revision
        return self.version < other.version

    def find_allowed_regions(self, route, account):
        """Return the regions in which a request may be processed.

        Parameters
        ----------
        route : Route
            The route of the request.
        account : ClientAccountId or None
            The account that sent it.

        Returns
        -------
        frozenset of Region or None
            None if all regions are allowed. Where both the route and the account name
            regions, only those that both name are allowed, which may be none.
        """
        of_account = self.account_regions.get(account)
        if not route.allowed_regions:
            return of_account
        if of_account is None:
            return route.allowed_regions
        return route.allowed_regions & of_account

    def list_routes(self):
        """Return the routes of all hosts."""
        return [route for routes in self.routes.values() for route in routes]

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Repetitions:
    """Entries that a manifest holds more than once, of which only the last counts.

    Parameters
    ----------
    services : tuple of ServiceName
        Services with several entries.
    overridden_accounts : tuple of (ClientAccountId, ClientAccountId)
        Accounts of which another one has a key too, and the account that has it.
    """

    services: tuple[ServiceName, ...] = ()
    overridden_accounts: tuple[tuple[ClientAccountId, ClientAccountId], ...] = ()


def sort_routes(routes):
    """Group routes by host, longest prefix first.

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
