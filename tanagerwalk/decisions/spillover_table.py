"""How much of each service's requests an instance sends out of its failure domain."""

from dataclasses import dataclass
from statistics import median_low

from ..ids import ServiceName
from .spillover import MAX_ELAPSED_S, DomainCapacity, Spillover, find_capacity
from .spillover_log import SpilloverLog

# Servers that are drawn to estimate the load of another failure domain.
LOAD_SAMPLE_SIZE = 3
# A share that no request has asked for in this time is forgotten.
FORGETTING_S = 10.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What the requests have in common that one share applies to.

    Parameters
    ----------
    service : ServiceName
        Their service.
    capacity : DomainCapacity
        Capacity of the own servers for them.
    own_groups, other_groups : frozenset of (FailureDomain, ReleaseName)
        Servers that they may use, in the own failure domain and elsewhere.
    """

    service: ServiceName
    capacity: DomainCapacity
    own_groups: frozenset
    other_groups: frozenset

    def resembles(self, other):
        """Return whether a share fits another kind.

        It does if the capacity and some own servers are the same.
        """
        return (
            self.service == other.service
            and self.capacity == other.capacity
            and not self.own_groups.isdisjoint(other.own_groups)
        )


class SpilloverTable:
    """The shares of requests that leave, by service and kind of request.

    Parameters
    ----------
    home : Home
        Location of this instance.
    random : random.Random
        Samples the servers of the other failure domains.
    """

    def __init__(self, home, random):
        self._home = home
        self._random = random
        self._spillovers = {}
        self._log = SpilloverLog()

    def update(self, inputs, own, others):
        """Return the Spillover of a kind of requests, adapted to the present loads.

        Parameters
        ----------
        inputs : ChoiceInputs
            Service, objective and time of the request.
        own, others : list of ServerUsage
            Servers that the request may use, in the own failure domain and elsewhere;
            neither is empty.

        Returns
        -------
        Spillover
        """
        runs_models = any(usage.runs_models for usage in own + others)
        capacity = find_capacity(runs_models, inputs.max_local_wait)
        kind = RequestKind(
            inputs.service, capacity, _list_groups(own), _list_groups(others)
        )
        spillover = self._find_or_create(kind, inputs.now)
        if spillover.is_due(inputs.now):
            self._update(spillover, inputs, own, others)
        return spillover

    def note_no_server(self, service, now):
        """Note for the log that requests leave as no own server takes them."""
        self._log.note(service, 1.0, None, now)

    def find_shares(self, now):
        """Return the largest share that leaves at present, by service.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        shares = {}
        for kind, spillover in self._spillovers.items():
            if now - spillover.updated_at <= FORGETTING_S:
                known = shares.get(kind.service, 0.0)
                shares[kind.service] = max(known, spillover.share)
        return shares

    def _find_or_create(self, kind, now):
        """Return the Spillover of a kind of requests.

        When servers come or go, requests become another kind. It goes on with the
        latest share of the same servers; one of an earlier time may no longer fit.
        """
        spillover = self._spillovers.get(kind)
        if spillover is not None and now - spillover.updated_at <= MAX_ELAPSED_S:
            return spillover
        self._forget_unused(now)
        latest = self._find_latest(kind)
        if latest is None or latest is not spillover:
            initial_share = 0.0 if latest is None else latest.share
            spillover = Spillover(kind.capacity, initial_share)
            self._spillovers[kind] = spillover
        return spillover

    def _find_latest(self, kind):
        """Return the last Spillover that was updated for a similar kind, or None."""
        similar = [
            spillover
            for known, spillover in self._spillovers.items()
            if known.resembles(kind)
        ]
        return max(similar, key=lambda spillover: spillover.updated_at, default=None)

    def _update(self, spillover, inputs, own, others):
        own_load = median_low(map(inputs.estimate_load, own))
        other_loads = self._estimate_others(others, inputs.estimate_load)
        answering = median_low(map(inputs.estimate_answering_load, own))
        spillover.update(own_load, other_loads, inputs.now, answering)
        share = self.find_shares(inputs.now)[inputs.service]
        self._log.note(inputs.service, share, own_load, inputs.now)

    def _estimate_others(self, others, estimate_load):
        """Return the load of each other failure domain, plus the cost of distance."""
        by_domain = {}
        for usage in others:
            by_domain.setdefault(usage.server.failure_domain, []).append(usage)
        loads = {}
        for domain, usages in by_domain.items():
            sample = self._random.sample(usages, min(len(usages), LOAD_SAMPLE_SIZE))
            distance = self._home.estimate_distance_cost(domain)
            loads[domain] = median_low(map(estimate_load, sample)) + distance
        return loads

    def _forget_unused(self, now):
        self._spillovers = {
            key: spillover
            for key, spillover in self._spillovers.items()
            if now - spillover.updated_at <= FORGETTING_S
        }


def _list_groups(usages):
    """Return the pairs of failure domain and release of some servers."""
    return frozenset(
        (usage.server.failure_domain, usage.server.release) for usage in usages
    )
