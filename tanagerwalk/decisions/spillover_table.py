"""How much of each service's requests an instance sends out of its failure domain."""

from statistics import median_low

import structlog

from .spillover import Spillover, find_capacity

log = structlog.get_logger(__name__)

# Servers that are drawn to estimate the load of another failure domain.
LOAD_SAMPLE_SIZE = 3
# A share that no request has asked for in this time is forgotten.
FORGETTING_S = 10.0
# Requests of a service are logged as leaving from this share, until it has been below
# it for SPILLING_S.
SPILLING_SHARE = 0.05
SPILLING_S = 5.0


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
        self._left_at = {}

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
        key = inputs.service, capacity, _list_groups(own), _list_groups(others)
        spillover = self._spillovers.get(key)
        if spillover is None:
            self._forget_unused(inputs.now)
            shares = self.find_shares(inputs.now, capacity)
            initial_share = shares.get(inputs.service, 0.0)
            spillover = self._spillovers[key] = Spillover(capacity, initial_share)
        if spillover.is_due(inputs.now):
            self._update(spillover, inputs, own, others)
        return spillover

    def find_shares(self, now, capacity=None):
        """Return the largest share that leaves at present, by service.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        capacity : DomainCapacity or None
            Only for the kinds of requests with this capacity.
        """
        shares = {}
        for (service, of_capacity, *_), spillover in self._spillovers.items():
            is_recent = now - spillover.updated_at <= FORGETTING_S
            if is_recent and capacity in (None, of_capacity):
                shares[service] = max(shares.get(service, 0.0), spillover.share)
        return shares

    def _update(self, spillover, inputs, own, others):
        own_load = median_low(map(inputs.estimate_load, own))
        other_loads = self._estimate_others(others, inputs.estimate_load)
        answering = median_low(map(inputs.estimate_answering_load, own))
        spillover.update(own_load, other_loads, inputs.now, answering)
        self._note_share(inputs.service, spillover.share, own_load, inputs.now)

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

    def _note_share(self, service, share, own_load, now):
        """Log when requests of a service begin or cease to leave."""
        left_at = self._left_at.get(service)
        if share >= SPILLING_SHARE:
            self._left_at[service] = now
            if left_at is None:
                _log_change("requests leave failure domain", service, share, own_load)
        elif left_at is not None and now - left_at > SPILLING_S:
            del self._left_at[service]
            _log_change("requests stay in failure domain", service, share, own_load)


def _list_groups(usages):
    """Return what distinguishes the servers that different requests may use."""
    return frozenset(
        (usage.server.failure_domain, usage.server.release) for usage in usages
    )


def _log_change(event, service, share, own_load):
    log.info(event, service=service, share=round(share, 2), own_load=round(own_load, 2))
