"""Choice of one backend server among those that a request may use."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from .locations import Distance
from .spillover_table import SpilloverTable

# The cost of load is linear plus quadratic: a short wait does not exceed a latency
# objective, a long one does.
LINEAR_LOAD_WEIGHT = 1.0
SAMPLING_THRESHOLD = 12
SAMPLE_SIZE = 3
# Cost of sending a body to another failure domain, in units of load.
TRIP_COST_PER_BYTE = 2.5e-6
# The parts of a prompt are more likely to be cached where a whole region sends them
# than where one failure domain does, by up to this probability.
CACHE_HIT_GAIN = 0.25
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


class Departure(Enum):
    """Why a request leaves the failure domain.

    FULL: the own servers have no room. NO_SERVER: there is none that takes requests.
    NOT_ALLOWED: the request may use none of them. AFFINITY: a server elsewhere is more
    likely to have cached the prompt.
    """

    FULL = "full"
    NO_SERVER = "no_server"
    NOT_ALLOWED = "not_allowed"
    AFFINITY = "affinity"


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
    affinity : PromptAffinity or None
        Costs of the request that depend on the server.
    traits : RequestTraits
        Properties of the request.
    has_own : callable
        Returns whether a server of the own failure domain takes requests, also such
        that this request may not use.
    """

    service: object
    now: float
    estimate_load: object
    affinity: object = None
    traits: RequestTraits = UNKNOWN_TRAITS
    has_own: object = bool


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
        return inputs.estimate_load(usage) + distance, self._random.random()

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
        load = inputs.estimate_load(usage)
        cost = LINEAR_LOAD_WEIGHT * load + load * load
        if usage is not preferred:
            cost += affinity.cache_miss_cost
        if not self._home.is_same_region(usage.server.failure_domain):
            cost += affinity.remote_cost
        return cost, self._random.random()


class LocalServerChooser(ServerChooser):
    """Chooses in the own failure domain first, where distance matters in a region.

    Parameters
    ----------
    home : Home
        Location of this instance.
    random : random.Random
        Samples the candidates, and decides which requests leave.

    Attributes
    ----------
    departures : Counter of Departure
        Servers chosen elsewhere so far, by reason.
    """

    def __init__(self, home, random):
        super().__init__(home, random)
        self.spillovers = SpilloverTable(home, random)
        self.departures = Counter()

    def choose(self, ready, inputs):
        """Return the ServerUsage of the best server; see `ServerChooser.choose`."""
        unpaused = [usage for usage in ready if usage.paused_until <= inputs.now]
        if not unpaused:
            return min(ready, key=lambda usage: usage.paused_until)
        own = [usage for usage in unpaused if self._is_own(usage)]
        others = [usage for usage in unpaused if not self._is_own(usage)]
        candidates = self._sample(own)
        leaves = bool(others) and self._leaves(own, others, candidates, inputs)
        preferred = self._find_preferred(own, others, leaves, inputs.affinity)
        if leaves:
            near = [usage for usage in others if self._is_near(usage)]
            candidates += self._sample(near) + self._sample(others)
        if preferred is not None:
            candidates.append(preferred)
        chosen = min(
            candidates, key=lambda usage: self._score_trip(usage, inputs, preferred)
        )
        if not self._is_own(chosen):
            self.departures[_find_reason(own, leaves, inputs)] += 1
        return chosen

    def _leaves(self, own, others, candidates, inputs):
        """Return whether servers elsewhere are considered for a request."""
        if not own:
            return True
        spillover = self.spillovers.update(inputs, own, others)
        if self._random.random() < spillover.share:
            return True
        # Requests that arrive at the same moment fill a server before the share rises.
        return min(map(inputs.estimate_load, candidates)) >= spillover.room.full

    def _find_preferred(self, own, others, leaves, affinity):
        """Return the server that is most likely to have cached the prompt, or None."""
        if affinity is None or not affinity.key:
            return None
        near = own + [usage for usage in others if self._is_near(usage)]
        is_worth_trip = CACHE_HIT_GAIN * affinity.cache_miss_cost > affinity.domain_cost
        if leaves or is_worth_trip:
            return find_preferred(near or others, affinity)
        return find_preferred(own, affinity)

    def _score_trip(self, usage, inputs, preferred):
        """Return the cost of a server, with that of the trip of a request's bytes."""
        if inputs.affinity is None:
            load, tie_breaker = self.score(usage, inputs)
            size = 0 if self._is_own(usage) else inputs.traits.size
            return load + size * TRIP_COST_PER_BYTE, tie_breaker
        cost, tie_breaker = self._score_with_affinity(usage, inputs, preferred)
        if (
            self._home.find_distance(usage.server.failure_domain)
            is Distance.SAME_REGION
        ):
            cost += inputs.affinity.domain_cost
        return cost, tie_breaker

    def _sample(self, usages):
        return self._random.sample(usages, min(len(usages), SAMPLE_SIZE))

    def _is_own(self, usage):
        distance = self._home.find_distance(usage.server.failure_domain)
        return distance is Distance.SAME_DOMAIN

    def _is_near(self, usage):
        return self._home.is_same_region(usage.server.failure_domain)


def build_chooser(home, random):
    """Return the ServerChooser for the location of an instance."""
    if home.has_neighbors:
        return LocalServerChooser(home, random)
    return ServerChooser(home, random)


def find_preferred(usages, affinity):
    """Return the server that all instances prefer for a shared part, or None."""
    if not affinity.key:
        return None
    return max(usages, key=lambda usage: affinity.rank_server(usage.server.id))


def _find_reason(own, leaves, inputs):
    """Return the Departure of a request whose server is elsewhere."""
    if own:
        return Departure.FULL if leaves else Departure.AFFINITY
    return Departure.NOT_ALLOWED if inputs.has_own() else Departure.NO_SERVER
