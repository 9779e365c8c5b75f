"""Choice of a backend server that prefers the own failure domain while it has room."""

from collections import Counter
from enum import Enum

from .server_choice import SAMPLE_SIZE, ServerChooser, find_preferred
from .spillover_table import SpilloverTable

# Cost of sending a body to another failure domain, in units of load.
TRANSFER_COST_PER_BYTE = 2.5e-6
# The parts of a prompt are more likely to be cached where a whole region sends them
# than where one failure domain does, by up to this probability.
CACHE_HIT_GAIN = 0.25


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
            candidates,
            key=lambda usage: self._score_with_transfer(usage, inputs, preferred),
        )
        if not self._is_own(chosen):
            self._record_departure(_find_reason(own, leaves, inputs), inputs)
        return chosen

    def _record_departure(self, reason, inputs):
        self.departures[reason] += 1
        if reason is Departure.NO_SERVER:
            self.spillovers.note_no_server(inputs.service, inputs.now)

    def _leaves(self, own, others, candidates, inputs):
        """Return whether servers elsewhere are considered for a request.

        `candidates` are the own servers that it would be sent to.
        """
        if not own:
            return True
        spillover = self.spillovers.update(inputs, own, others)
        if self._random.random() < spillover.share:
            return True
        # Requests that arrive at the same moment fill a server before the share rises.
        return min(map(inputs.estimate_load, candidates)) >= spillover.capacity.full

    def _find_preferred(self, own, others, leaves, affinity):
        """Return the server that is most likely to have cached the prompt, or None."""
        if affinity is None or not affinity.key:
            return None
        near = own + [usage for usage in others if self._is_near(usage)]
        is_worth_transfer = (
            CACHE_HIT_GAIN * affinity.cache_miss_cost > affinity.domain_cost
        )
        if leaves or is_worth_transfer:
            return find_preferred(near or others, affinity)
        return find_preferred(own, affinity)

    def _score_with_transfer(self, usage, inputs, preferred):
        """Return the cost of a server, with that of sending the body there."""
        if inputs.affinity is None:
            load, tie_breaker = self.score(usage, inputs)
            size = 0 if self._is_own(usage) else inputs.traits.size
            return load + size * TRANSFER_COST_PER_BYTE, tie_breaker
        cost, tie_breaker = self._score_with_affinity(usage, inputs, preferred)
        if self._is_near(usage) and not self._is_own(usage):
            cost += inputs.affinity.domain_cost
        return cost, tie_breaker

    def _sample(self, usages):
        return self._random.sample(usages, min(len(usages), SAMPLE_SIZE))

    def _is_own(self, usage):
        return usage.server.failure_domain == self._home.failure_domain

    def _is_near(self, usage):
        return self._home.is_same_region(usage.server.failure_domain)


def build_chooser(home, random):
    """Return the ServerChooser for the location of an instance."""
    if home.prefers_local:
        return LocalServerChooser(home, random)
    return ServerChooser(home, random)


def _find_reason(own, leaves, inputs):
    """Return the Departure of a request whose server is elsewhere."""
    if own:
        return Departure.FULL if leaves else Departure.AFFINITY
    return Departure.NOT_ALLOWED if inputs.has_local() else Departure.NO_SERVER
