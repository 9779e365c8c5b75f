"""Time between grants to waiting requests, for estimates of the waiting time."""

from dataclasses import dataclass

INTERVAL_SMOOTHING = 0.2
MIN_SAMPLES = 5
STALE_AFTER_S = 120.0


@dataclass(slots=True)
class _GrantRate:
    mean: float = 0.0
    samples: int = 0
    last: float = 0.0


class GrantRates:
    """Smoothed time between grants, by kind of capacity, while requests wait.

    Concurrency limits don't show how much server time is left for this instance
    besides other instances, or for long classes besides short ones. The measured
    rate of grants does.
    """

    def __init__(self):
        self._rates = {}

    def record(self, key, waiting_since, now):
        """Record a grant.

        Parameters
        ----------
        key : hashable
            The kind of capacity.
        waiting_since : float
            Monotonic time since which at least one request has been waiting for it.
        now : float
            Monotonic time of the grant, in seconds.
        """
        rate = self._rates.setdefault(key, _GrantRate())
        interval = now - max(waiting_since, rate.last)
        rate.last = now
        rate.samples += 1
        weight = max(INTERVAL_SMOOTHING, 1.0 / rate.samples)
        rate.mean += weight * (interval - rate.mean)

    def estimate(self, key, now):
        """Return the mean seconds between grants, or None without recent samples."""
        rate = self._rates.get(key)
        if rate is None or rate.samples < MIN_SAMPLES:
            return None
        if now - rate.last > STALE_AFTER_S:
            return None
        return rate.mean
