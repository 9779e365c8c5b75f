"""Rate limit and failure handling for calls to the rating service."""

FAULTS_BEFORE_PAUSE = 3
PAUSE_S = 5.0
TIME_SMOOTHING = 0.1
INITIAL_TIME_S = 0.1
# Share of the burst that is reserved for urgent ratings; samples of released versions
# may not use it.
URGENT_RESERVE = 0.5


class RatingGate:
    """Limits the rate of calls to the rating service and pauses them while it fails.

    Parameters
    ----------
    rate : float
        Ratings per second that this instance may request.
    burst : float
        Ratings that it may request at once after an idle time.

    Attributes
    ----------
    time : float
        Smoothed duration of a call in seconds.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0
        self._faults = 0
        self._paused_until = float("-inf")
        self.time = INITIAL_TIME_S

    def is_available(self, now):
        """Return whether a call is within the rate and calls are not paused."""
        self._refill(now)
        return now >= self._paused_until and self._tokens >= 1.0

    def start(self, now, urgent):
        """Take a token for one call; return whether the call may be made.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        urgent : bool
            Whether a caller or a candidate's roll-out waits for the rating.
        """
        if not self.is_available(now):
            return False
        if not urgent and self._tokens < self._burst * URGENT_RESERVE:
            return False
        self._tokens -= 1.0
        return True

    def record_rating(self, seconds):
        """Record that a call was answered after `seconds`."""
        self._faults = 0
        self.time += TIME_SMOOTHING * (seconds - self.time)

    def record_fault(self, now, retry_after):
        """Record that a call failed.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        retry_after : float or None
            Seconds that the service asked to wait.
        """
        self._faults += 1
        if retry_after is not None:
            self._paused_until = max(self._paused_until, now + retry_after)
        elif self._faults >= FAULTS_BEFORE_PAUSE:
            self._paused_until = max(self._paused_until, now + PAUSE_S)

    def _refill(self, now):
        grown = max(0.0, now - self._updated) * self._rate
        self._tokens = min(self._burst, self._tokens + grown)
        self._updated = max(self._updated, now)
