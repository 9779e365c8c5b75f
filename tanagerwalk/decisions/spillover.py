"""Which share of a service's requests leaves the failure domain of an instance.

A proportional-integral controller adapts the share to the excess of load at the own
servers, over what they have room for and over the load of the others. All instances of
a failure domain decide at the same time, on loads that are up to about a second old;
its gains are low enough for that delay.
"""

import math
from dataclasses import dataclass

# Bounds of the load up to which no request leaves a domain's engines. It is at least
# the lower one above the load of requests that are being answered.
MIN_ENGINE_LIMIT = 0.1
MAX_ENGINE_LIMIT = 0.5
# The load from which a request looks elsewhere at once, relative to the limit.
FULL_RATIO = 1.4
# The load of a plain server is the part of its slots that is in use.
PLAIN_LIMIT = 0.8
PLAIN_FULL = 1.0
UPDATE_PERIOD_S = 0.2
# Longest time between two updates that the integral counts: after a longer one, the
# loads say little about the time in between.
MAX_ELAPSED_S = 1.0
# Time constant of the mean load of a failure domain.
SMOOTHING_S = 0.5
# The load to compare with is this quantile of the loads of the other failure domains,
# since the least loaded ones receive what leaves.
RECEIVING_PART = 0.25
# Share per excess; the excess is relative to the limit.
PROPORTIONAL_GAIN = 0.33
# Share per second and excess, while the excess is positive and while it is not.
INTEGRAL_GAIN = 0.5
RETURN_GAIN = 0.8


@dataclass(frozen=True, slots=True)
class DomainCapacity:
    """How much load the servers of a failure domain take before requests leave it.

    Parameters
    ----------
    limit : float
        Load up to which no request leaves.
    full : float
        Load from which a request is sent elsewhere if it is better off there.
    """

    limit: float
    full: float

    def raise_limit(self, limit):
        """Return the capacity with a limit that is at least as high as another."""
        if limit <= self.limit:
            return self
        return DomainCapacity(limit, FULL_RATIO * limit)


def find_capacity(runs_models, max_wait):
    """Return the DomainCapacity of a domain's servers for a kind of requests.

    Parameters
    ----------
    runs_models : bool
        Whether the servers are engines; their load is about the wait in seconds.
    max_wait : float
        Seconds that such a request may wait in its own failure domain.
    """
    if not runs_models:
        return DomainCapacity(PLAIN_LIMIT, PLAIN_FULL)
    limit = min(MAX_ENGINE_LIMIT, max(MIN_ENGINE_LIMIT, max_wait))
    return DomainCapacity(limit, FULL_RATIO * limit)


class Spillover:
    """The share of one kind of requests that leaves the failure domain.

    Parameters
    ----------
    capacity : DomainCapacity
        Capacity of the own servers for these requests.
    initial_share : float
        Share to begin with.

    Attributes
    ----------
    capacity : DomainCapacity
        The capacity as of the last update.
    share : float
        The share, 0 to 1.
    updated_at : float or None
        Monotonic time of the last update, in seconds.
    """

    def __init__(self, capacity, initial_share=0.0):
        self.capacity = capacity
        self._least_capacity = capacity
        self.share = initial_share
        self.updated_at = None
        self._integral = initial_share
        self._loads = {}

    def is_due(self, now):
        """Return whether the share should be adapted to the present loads."""
        return self.updated_at is None or now - self.updated_at >= UPDATE_PERIOD_S

    def update(self, own, others, now, answering=0.0):
        """Adapt the share to the present loads.

        Parameters
        ----------
        own : float
            Load of the own failure domain.
        others : dict of FailureDomain to float
            Loads of the others, plus the costs of their distance; not empty.
        now : float
            Monotonic time in seconds.
        answering : float
            Part of the own load that keeps no other request waiting.
        """
        elapsed = 0.0
        if self.updated_at is not None:
            elapsed = min(MAX_ELAPSED_S, now - self.updated_at)
        self.updated_at = now
        own = self._smooth(None, own, elapsed)
        loads = sorted(self._smooth(*item, elapsed) for item in others.items())
        receiving = loads[int(RECEIVING_PART * (len(loads) - 1))]
        least_limit = answering + MIN_ENGINE_LIMIT
        self.capacity = self._least_capacity.raise_limit(least_limit)
        limit = self.capacity.limit
        excess = (own - max(limit, receiving)) / limit
        gain = INTEGRAL_GAIN if excess > 0.0 else RETURN_GAIN
        self._integral = _bound(self._integral + gain * excess * elapsed)
        self.share = _bound(self._integral + PROPORTIONAL_GAIN * excess)

    def _smooth(self, failure_domain, load, elapsed):
        known = self._loads.get(failure_domain, load)
        part = 1.0 - math.exp(-elapsed / SMOOTHING_S)
        self._loads[failure_domain] = known + part * (load - known)
        return self._loads[failure_domain]


def _bound(share):
    return min(1.0, max(0.0, share))
