"""How far the requests of other instances may differ from what was last reported.

Instances that compare the same old reports would all send to the server that looks
idle. The older a report is, relative to how long requests take, the less it tells: the
estimate then moves to the mean of the server, with a random part for each choice.
"""

import math
from dataclasses import dataclass, field

from .shared_loads import hash_server

# The means over all servers of a service are computed this often at most.
REFRESH_INTERVAL_S = 0.1
# Time constant of the mean of the requests at a server.
MEAN_TIME_S = 2.0
# The random part goes up to this multiple of the mean over the servers, either way;
# less on a slow server.
SPREAD = 1.5
# Mean duration of a request until some of the service have ended.
INITIAL_DURATION_S = 0.5
MIN_DURATION_S = 0.001
# Least weight of the latest request in the mean duration.
DURATION_SMOOTHING = 0.05


@dataclass(slots=True)
class _ServiceRequests:
    """Requests of the other instances at the servers of a service.

    Parameters
    ----------
    means : dict of BackendServerId to float
        Mean of the requests at each server of late.
    fleet_mean : float
        Mean of the present requests over the servers.
    reported_at : float or None
        Mean monotonic time at which the loads were reported; None without reports.
    refreshed_at : float
        Monotonic time in seconds.
    """

    means: dict = field(default_factory=dict)
    fleet_mean: float = 0.0
    reported_at: float | None = None
    refreshed_at: float = float("-inf")

    def refresh(self, counts, now):
        """Take over the present requests at all servers, by their id."""
        weight = -math.expm1((self.refreshed_at - now) / MEAN_TIME_S)
        self.means = {
            server_id: self._move_mean(server_id, count, weight)
            for server_id, count in counts.items()
        }
        self.fleet_mean = sum(counts.values()) / len(counts)
        self.refreshed_at = now

    def _move_mean(self, server_id, count, weight):
        mean = self.means.get(server_id, count)
        return mean + weight * (count - mean)


@dataclass(slots=True)
class _MeanDuration:
    seconds: float = INITIAL_DURATION_S
    count: int = 0

    def record(self, seconds):
        self.count += 1
        weight = max(DURATION_SMOOTHING, 1.0 / (self.count + 1))
        self.seconds += weight * (max(MIN_DURATION_S, seconds) - self.seconds)


class UnseenRequests:
    """Estimates the requests that began or ended since the last reports.

    Parameters
    ----------
    shared : SharedLoadTable
        Loads reported by the other instances.
    random : random.Random
        Draws the random part.
    """

    def __init__(self, shared, random):
        self._shared = shared
        self._random = random
        self._requests = {}
        self._durations = {}

    def record_duration(self, service, seconds):
        """Learn from the seconds that a request of this instance took."""
        self._durations.setdefault(service, _MeanDuration()).record(seconds)

    def refresh(self, service, usages, now):
        """Update the means of a service's servers if REFRESH_INTERVAL_S has passed.

        Parameters
        ----------
        service : ServiceName
            The service.
        usages : list of ServerUsage
            All its servers, at least one.
        now : float
            Monotonic time in seconds.
        """
        requests = self._requests.setdefault(service, _ServiceRequests())
        if now - requests.refreshed_at < REFRESH_INTERVAL_S:
            return
        reported = self._shared.count_requests(now)
        counts = {
            usage.server.id: usage.count_others(
                now, reported.get(hash_server(usage.server.id), 0)
            )
            for usage in usages
        }
        requests.refresh(counts, now)
        age = self._shared.estimate_age(now)
        requests.reported_at = None if age is None else now - age

    def draw(self, usage, reported, slowdown, now):
        """Draw an estimate of the other instances' present requests, less the reported.

        Parameters
        ----------
        usage : ServerUsage
            The server.
        reported : int
            Requests of the other instances there, by their reports and the server's
            own.
        slowdown : float
            How long work takes there; a slower server is sent fewer requests.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Negative if there are probably fewer than reported; 0.0 if the reports are
            fresh, or there are none.
        """
        service = usage.server.service
        requests = self._requests.get(service)
        if requests is None or requests.reported_at is None:
            return 0.0
        replaced = self._estimate_replaced_part(service, now - requests.reported_at)
        if replaced == 0.0:
            return 0.0
        mean = requests.means.get(usage.server.id, reported)
        spread = SPREAD * requests.fleet_mean / slowdown
        drawn = mean + self._random.uniform(-spread, spread)
        return replaced * (drawn - reported)

    def _estimate_replaced_part(self, service, age):
        """Return the part of the reported requests that has probably been replaced."""
        durations = self._durations.get(service)
        duration = INITIAL_DURATION_S if durations is None else durations.seconds
        return -math.expm1(-age / duration)
