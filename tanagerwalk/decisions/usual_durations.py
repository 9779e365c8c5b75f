"""How long answers usually take, to compare the servers that gave them."""

import math

from .load_curve import LoadCurve

SMOOTHING = 0.02
# With fewer answers of a kind, none is compared.
MIN_ANSWERS = 5
MIN_DURATION_S = 0.0005
# A single answer counts as no more than this many times faster or slower than usual.
MAX_RATIO = 4.0
INITIAL_VARIANCE = 0.25


class UsualDurations:
    """Learns the usual duration of each kind of answer, and how much it varies.

    The speed of the server is taken into account, so that an instance whose requests
    go mainly to slow servers doesn't take them for the usual ones.

    Attributes
    ----------
    variance : float
        Of the logarithm of the durations of a server.
    """

    def __init__(self):
        self._means = {}
        self._load_curve = LoadCurve()
        self.variance = INITIAL_VARIANCE

    def compare(self, kind, sample, load, slowdown):
        """Learn from an answer, and compare it with the usual ones.

        Parameters
        ----------
        kind : hashable
            Answers of the same kind take equally long on equal servers.
        sample : LatencySample
            Latency of the answer.
        load : EngineLoad or None
            Load that the server reported.
        slowdown : float
            Present estimate of how long work takes on the server, relative to others.

        Returns
        -------
        float or None
            Logarithm of the duration relative to the usual one. None if the answer
            can't be compared.
        """
        seconds = _find_duration(sample, load)
        if seconds is None:
            return None
        if sample.has_events and load is not None:
            self._load_curve.record(load.running, seconds / slowdown)
            seconds = self._load_curve.normalize(load.running, seconds)
        observed = math.log(max(MIN_DURATION_S, seconds))
        expected = math.log(slowdown)
        count, mean = self._means.get(kind, (0, 0.0))
        weight = max(SMOOTHING, 1.0 / (count + 1))
        mean += weight * (observed - expected - mean)
        self._means[kind] = (count + 1, mean)
        if count + 1 < MIN_ANSWERS:
            return None
        limit = math.log(MAX_RATIO)
        log_ratio = min(limit, max(-limit, observed - mean))
        deviation = log_ratio - expected
        self.variance += SMOOTHING * (deviation * deviation - self.variance)
        return log_ratio


def _find_duration(sample, load):
    """Return the seconds that depend on the server's speed, or None."""
    seconds = sample.comparable_latency
    if seconds is None or sample.has_events or load is None:
        return seconds
    # The time to the head includes the wait in the server's queue.
    return seconds / (1.0 + load.waiting / max(1, load.slots))
