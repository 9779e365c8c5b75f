"""How fast waiting requests are let in, for estimates of the wait."""

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
    """Smoothed time between grants to each kind of room while requests wait.

    Concurrency limits say little about the time that others leave to this
    instance, or to long classes beside short ones; what was granted says it.
    """

    def __init__(self):
        self._rates = {}

    def record(self, key, waiting_since, now):
        """Take one grant.

        Parameters
        ----------
        key : hashable
            The kind of room.
        waiting_since : float
            Monotonic time since which at least one request has waited for it.
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
        """Return the seconds between two grants; None if that is not known."""
        rate = self._rates.get(key)
        if rate is None or rate.samples < MIN_SAMPLES:
            return None
        if now - rate.last > STALE_AFTER_S:
            return None
        return rate.mean
