"""Measures the latency and the event rate of one response."""

from ..decisions.latency_baselines import LatencySample

# Events after which the pause between them is reported.
REPORTED_EVENTS = 6


class ResponseTimer:
    """Times of one response since its request was sent.

    Parameters
    ----------
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    request : GatewayRequest
        The request.
    on_latency : callable
        Takes a LatencySample, and the load that the server reported.

    Attributes
    ----------
    load : EngineLoad or None
        Load that the server reported.
    """

    def __init__(self, sent_at, request, on_latency):
        self.load = None
        self._request = request
        self._on_latency = on_latency
        self._is_reported = False
        self._sent_at = sent_at
        self._head_at = None
        self._first_event_at = None
        self._last_event_at = None
        self._events = 0

    def record_head(self, now):
        """Record the response head at monotonic time `now`."""
        self._head_at = now

    def measure_writing(self, now):
        """Return the seconds since the response head, or None if there was none."""
        return None if self._head_at is None else now - self._head_at

    def count_events(self, count, now):
        """Count events of a stream that came at monotonic time `now`."""
        if self._first_event_at is None:
            self._first_event_at = now
        self._last_event_at = now
        self._events += count
        if self._events >= REPORTED_EVENTS:
            self.report()

    def report(self):
        """Report the latency once, if a response head was received."""
        sample = self.build_sample()
        if sample is not None and not self._is_reported:
            self._is_reported = True
            self._on_latency(sample, self.load)

    def build_sample(self):
        """Return the LatencySample, or None if no response head was received."""
        if self._head_at is None:
            return None
        gap = 0.0
        if self._events > 1:
            gap = (self._last_event_at - self._first_event_at) / (self._events - 1)
        first = self._head_at - self._sent_at
        return LatencySample(
            first, gap, self._events, self._request.prompt_info.prompt_tokens
        )
