"""Estimated duration of attempts, by class of work and version."""

DURATION_SMOOTHING = 0.1


class DurationEstimates:
    """Exponentially smoothed durations of attempts, by class and version.

    Parameters
    ----------
    default_share : float
        Share of the lateness target that is used as the estimate before the first
        measurement.
    """

    def __init__(self, default_share=0.25):
        self._default_share = default_share
        self._means = {}

    def record(self, work_class, version, seconds):
        """Record the duration of one complete attempt."""
        key = (work_class, version)
        mean = self._means.setdefault(key, seconds)
        self._means[key] = mean + DURATION_SMOOTHING * (seconds - mean)

    def find_shortest(self, work_class):
        """Return the shortest mean of a class over its versions, 0 if none is known."""
        means = [mean for key, mean in self._means.items() if key[0] == work_class]
        return min(means, default=0.0)

    def estimate(self, work_class, version, lateness):
        """Return the expected duration of an attempt, in seconds."""
        return self._means.get((work_class, version), lateness * self._default_share)
