"""How fast waiting requests are let in, for estimates of the wait."""

from dataclasses import dataclass

INTERVAL_SMOOTHING = 0.2
MIN_SAMPLES = 5
STALE_AFTER_S = 120.0


@dataclass(slots=True)
class _Drain:
    mean: float = 0.0
    samples: int = 0
    last: float = 0.0


class DrainRates:
    """Smoothed time between grants to each kind of room while requests wait.

    Concurrency limits say little about the time that others leave to this
    instance, or to long classes beside short ones; what was granted says it.
    """

    def __init__(self):
        self._drains = {}

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
        drain = self._drains.setdefault(key, _Drain())
        interval = now - max(waiting_since, drain.last)
        drain.last = now
        drain.samples += 1
        weight = max(INTERVAL_SMOOTHING, 1.0 / drain.samples)
        drain.mean += weight * (interval - drain.mean)

    def estimate(self, key, now):
        """Return the seconds between two grants; None if that is not known."""
        drain = self._drains.get(key)
        if drain is None or drain.samples < MIN_SAMPLES:
            return None
        if now - drain.last > STALE_AFTER_S:
            return None
        return drain.mean
