"""Choice of one backend server among those that a request may use."""

from collections.abc import Callable
from dataclasses import dataclass

from ..ids import ServiceName
from .prompt_affinity import PromptAffinity
from .server_usage import ServerUsage

# The cost of load is linear plus quadratic: a short wait does not exceed a latency
# objective, a long one does.
LINEAR_LOAD_WEIGHT = 1.0
SAMPLING_THRESHOLD = 12
SAMPLE_SIZE = 3
# Part of its latency objective that a request may wait in its own failure domain.
LOCAL_WAIT_SHARE = 0.35
# For requests whose route is not known.
DEFAULT_OBJECTIVE_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """Properties of a request that decide how far it is sent.

    Parameters
    ----------
    objective : float
        Latency objective in seconds.
    size : int
        Size of the body in bytes.
    """

    objective: float = DEFAULT_OBJECTIVE_S
    size: int = 0


UNKNOWN_TRAITS = RequestTraits()


@dataclass(frozen=True, slots=True)
class ChoiceInputs:
    """What a choice depends on besides the servers.

    Parameters
    ----------
    service : ServiceName
        The service.
    now : float
        Monotonic time in seconds.
    estimate_load : callable
        Takes a ServerUsage and returns its load.
    draw_load : callable
        Takes a ServerUsage and returns its load, with a random part for what may have
        changed since it was reported.
    affinity : PromptAffinity or None
        Costs of the request that depend on the server.
    traits : RequestTraits
        Properties of the request.
    max_local_wait : float
        Seconds that the request may wait in the own failure domain.
    has_local : callable
        Returns whether the own failure domain has a server that takes requests, be it
        one that this request may not use.
    find_slowdown : callable
        Takes a ServerUsage and returns how long its work takes, relative to the usual.
    estimate_answering_load : callable
        Takes a ServerUsage and returns the part of its load that keeps no other
        request waiting.
    """

    service: ServiceName
    now: float
    estimate_load: Callable[[ServerUsage], float]
    draw_load: Callable[[ServerUsage], float]
    affinity: PromptAffinity | None = None
    traits: RequestTraits = UNKNOWN_TRAITS
    max_local_wait: float = LOCAL_WAIT_SHARE * DEFAULT_OBJECTIVE_S
    has_local: Callable[[], bool] = lambda: False
    find_slowdown: Callable[[ServerUsage], float] = lambda usage: 1.0
    estimate_answering_load: Callable[[ServerUsage], float] = lambda usage: 0.0


class ServerChooser:
    """Chooses by load and distance.

    Parameters
    ----------
    home : Home
        Location of this instance.
    random : random.Random
        Breaks ties and samples the candidates in a large fleet.
    """

    def __init__(self, home, random):
        self._home = home
        self._random = random

    def choose(self, ready, inputs):
        """Return the ServerUsage of the best server.

        Parameters
        ----------
        ready : list of ServerUsage
            Servers that the request may use, at least one.
        inputs : ChoiceInputs
            What else the choice depends on.
        """
        if len(ready) > SAMPLING_THRESHOLD:
            ready = self._sample_candidates(ready, inputs.affinity)
        # If all servers are paused, try the one whose pause ends first.
        unpaused = [usage for usage in ready if usage.paused_until <= inputs.now]
        if not unpaused:
            return min(ready, key=lambda usage: usage.paused_until)
        if inputs.affinity is None:
            return min(unpaused, key=lambda usage: self.score(usage, inputs))
        preferred = find_preferred(ready, inputs.affinity)
        return min(
            unpaused,
            key=lambda usage: self._score_with_affinity(usage, inputs, preferred),
        )

    def score(self, usage, inputs):
        """Return the cost of a server for a request without a prompt."""
        distance = self._home.estimate_distance_cost(usage.server.failure_domain)
        return inputs.draw_load(usage) + distance, self._random.random()

    def _sample_candidates(self, usages, affinity):
        """Return a random sample of servers plus the one preferred by affinity.

        In a large fleet, load data is about a second old. If all instances selected
        the server that looks best, they would overload it together.
        """
        candidates = self._random.sample(usages, SAMPLE_SIZE)
        near = [
            usage
            for usage in usages
            if self._home.is_same_region(usage.server.failure_domain)
        ]
        candidates += self._random.sample(near, min(len(near), SAMPLE_SIZE))
        if affinity is not None:
            preferred = find_preferred(near or usages, affinity)
            if preferred is not None:
                candidates.append(preferred)
        return candidates

    def _score_with_affinity(self, usage, inputs, preferred):
        affinity = inputs.affinity
        load = inputs.draw_load(usage)
        cost = LINEAR_LOAD_WEIGHT * load + load * load
        if usage is not preferred:
            cost += affinity.cache_miss_cost * inputs.find_slowdown(usage)
        if not self._home.is_same_region(usage.server.failure_domain):
            cost += affinity.remote_cost
        return cost, self._random.random()


def find_preferred(usages, affinity):
    """Return the server that all instances prefer for a shared part, or None."""
    if not affinity.key:
        return None
    return max(usages, key=lambda usage: affinity.rank_server(usage.server.id))
