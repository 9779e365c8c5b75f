"""Detection of answers that are several times slower than usual."""

from dataclasses import dataclass, replace

SMOOTHING = 0.1
SLOW_RATIO = 3.5
MIN_SAMPLES = 5
BASE_LATENCY_S = 0.03
PREFILL_TOKENS_PER_S = 20000.0
MIN_EVENTS = 3
# A delay that users do not notice is not counted, however large its ratio.
MIN_DELAY_SHARE = 0.1
MAX_MIN_DELAY_S = 0.1
MIN_GAP_DELAY_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class LatencySample:
    """Latency of one answer.

    Parameters
    ----------
    head_latency : float
        Seconds until the response head.
    event_interval : float
        Mean seconds between events; 0 without events.
    events : int
        Number of events.
    prompt_tokens : int
        Number of prompt tokens; 0 for a service.
    """

    head_latency: float
    event_interval: float = 0.0
    events: int = 0
    prompt_tokens: int = 0

    @property
    def expected_head_latency(self):
        """Head latency that is usual for a prompt of this length, in seconds."""
        return BASE_LATENCY_S + self.prompt_tokens / PREFILL_TOKENS_PER_S

    @property
    def has_events(self):
        """Whether there are enough events for a mean pause between them."""
        return self.events >= MIN_EVENTS

    @property
    def comparable_latency(self):
        """Seconds to compare with other answers of the same kind, or None.

        The pause between events depends little on the prompt; the time to the head
        depends on how much of the prompt the engine had cached.
        """
        if self.has_events:
            return self.event_interval
        return None if self.prompt_tokens else self.head_latency

    def without_slowdown(self, slowdown):
        """Return the sample as it would be if the server were not slowed down."""
        return replace(
            self,
            head_latency=self.head_latency / slowdown,
            event_interval=self.event_interval / slowdown,
        )

    def normalize(self):
        """Return the head latency relative to the expected one for the prompt."""
        return self.head_latency / self.expected_head_latency


class LatencyBaselines:
    """Mean latencies of the releases in use, by a key such as route and model."""

    def __init__(self):
        self._head_latencies = {}
        self._event_intervals = {}

    def record(self, key, sample):
        """Add the sample of an answer from a release in use."""
        _update_mean(self._head_latencies, key, sample.normalize())
        if sample.has_events:
            _update_mean(self._event_intervals, key, sample.event_interval)

    def is_slow(self, key, sample, objective, gap_objective):
        """Return whether a sample is several times slower than the baseline.

        Parameters
        ----------
        key : hashable
            Key under which the baseline was recorded.
        sample : LatencySample
            Latency of the answer.
        objective : float
            Latency objective of the route, in seconds.
        gap_objective : float
            Objective for the pause between events, in seconds.
        """
        if sample.has_events:
            min_delay = MIN_GAP_DELAY_SHARE * gap_objective
            return _exceeds(
                self._event_intervals, key, sample.event_interval, min_delay
            )
        min_delay = min(MAX_MIN_DELAY_S, MIN_DELAY_SHARE * objective)
        min_difference = min_delay / sample.expected_head_latency
        return _exceeds(self._head_latencies, key, sample.normalize(), min_difference)


def _update_mean(means, key, value):
    count, mean = means.get(key, (0, 0.0))
    weight = max(SMOOTHING, 1.0 / (count + 1))
    means[key] = (count + 1, mean + weight * (value - mean))


def _exceeds(means, key, value, min_difference):
    count, mean = means.get(key, (0, 0.0))
    if count < MIN_SAMPLES or value < mean + min_difference:
        return False
    return value > SLOW_RATIO * mean
