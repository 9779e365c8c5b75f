"""Division of a limit on the requests of all instances into equal parts."""

import math
from dataclasses import dataclass, replace
from functools import lru_cache

# A server that names less is asked from time to time, to hear when its need has ended.
MIN_RATE_PER_S = 0.1
# More instances with a smaller part each could send at the same time by chance.
PART_INTERVAL_S = 4.5
# Window in which the requests to a cold server are counted.
COLD_WINDOW_S = 1.0
# Requests are sent a little later than planned, and not all equally so.
INTERVAL_MARGIN = 1.05
# Differing views of the members, in each of which the whole limit is divided.
MEMBER_VIEWS = 2.0
MAX_CACHED_DIVISIONS = 512


@dataclass(frozen=True, slots=True)
class LimitParts:
    """Which instances have a part of a limit, and how often each of them may send.

    Parameters
    ----------
    count : int
        Number of instances with a part: the first ones in a rendezvous order.
    interval : float
        Seconds from one request of an instance to its next one.
    is_spaced : bool
        Whether two requests of an instance are never closer than the interval; else a
        late request leaves the time of the next one as it was.
    by_registration : bool
        Whether those that registered first have the parts, instead of the first ones
        in a rendezvous order.
    """

    count: int
    interval: float
    is_spaced: bool = False
    by_registration: bool = False

    def restrict(self, other):
        """Return the parts with which both limits hold."""
        return LimitParts(
            min(self.count, other.count),
            max(self.interval, other.interval),
            self.is_spaced or other.is_spaced,
            self.by_registration or other.by_registration,
        )


# With these, no instance sends anything.
NO_PARTS = LimitParts(0, 1.0)


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a cold server takes from all instances together.

    Parameters
    ----------
    rate : float
        Requests per second.
    max_in_window : float
        Requests within any COLD_WINDOW_S.
    """

    rate: float
    max_in_window: float

    def scale(self, share):
        """Return a share of the limit."""
        return ColdLimit(share * self.rate, share * self.max_in_window)


@lru_cache(MAX_CACHED_DIVISIONS)
def divide_stated_limit(rate, members):
    """Return the LimitParts of a limit that a server names.

    Parameters
    ----------
    rate : float
        Requests per second that the server takes from all instances.
    members : int
        Number of instances.
    """
    rate = max(MIN_RATE_PER_S, rate)
    count = min(members, math.ceil(PART_INTERVAL_S * rate))
    return LimitParts(count, count / rate)


@lru_cache(MAX_CACHED_DIVISIONS)
def divide_cold_limit(limit, members):
    """Return the LimitParts of the limit of a cold server.

    In a large fleet, each part allows about one request per second. The parts fill
    about half of the limit, so that it also holds if some instances know other members,
    and divide it otherwise.

    Parameters
    ----------
    limit : ColdLimit
        The limit.
    members : int
        Number of instances.
    """
    rate = max(MIN_RATE_PER_S, limit.rate)
    count = min(members, max(1, int(limit.max_in_window / MEMBER_VIEWS)))
    requests_in_window = max(1, int(limit.max_in_window / count))
    interval = max(count / rate, COLD_WINDOW_S / requests_in_window)
    return LimitParts(count, INTERVAL_MARGIN * interval, is_spaced=True)


@lru_cache(MAX_CACHED_DIVISIONS)
def divide_by_registration(limit):
    """Return the LimitParts of a cold server's limit if the members aren't known.

    Those that registered first have the parts.

    Parameters
    ----------
    limit : ColdLimit
        The limit.
    """
    parts = divide_cold_limit(limit, math.inf)
    return replace(parts, by_registration=True)
