"""Demand for each version as an exponentially decaying average."""

import math
from dataclasses import dataclass

DECAY_TIME_S = 120.0


@dataclass(slots=True)
class _DecayingSum:
    seconds: float = 0.0
    updated_at: float = float("-inf")


class DemandMeter:
    """Estimates the concurrency that each version needs, including refused requests.

    Parameters
    ----------
    decay_time : float
        Seconds after which the weight of a request has dropped to 1/e.
    """

    def __init__(self, decay_time=DECAY_TIME_S):
        self._decay_time = decay_time
        self._sums = {}

    def record(self, version, seconds, now):
        """Record one request that occupies a server for `seconds`."""
        total = self._sums.setdefault(version, _DecayingSum(updated_at=now))
        total.seconds = self._decay(total, now) + seconds
        total.updated_at = max(total.updated_at, now)

    def estimate(self, version, now):
        """Return the mean number of concurrent requests of a version."""
        total = self._sums.get(version)
        return self._decay(total, now) / self._decay_time if total else 0.0

    def _decay(self, total, now):
        age = max(0.0, now - total.updated_at)
        return total.seconds * math.exp(-age / self._decay_time)
