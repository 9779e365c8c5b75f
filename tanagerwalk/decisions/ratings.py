"""When the rating service may be called, and whether it answers."""

FAULTS_TO_PAUSE = 3
PAUSE_S = 5.0
TIME_SMOOTHING = 0.1
INITIAL_TIME_S = 0.1
# Share of the burst that samples of released versions leave to other ratings.
RESERVE = 0.5


class RatingGate:
    """Keeps the calls to the rating service within its rate, and off while it is out.

    Parameters
    ----------
    rate : float
        Ratings a second that this instance may ask for.
    burst : float
        Ratings that it may ask for at once after a quiet time.
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
        """Return whether a call now would be allowed and is likely to be answered."""
        self._refill(now)
        return now >= self._paused_until and self._tokens >= 1.0

    def start(self, now, urgent):
        """Take one call; return whether there was one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        urgent : bool
            Whether a caller or the trial of a candidate waits for the rating.
        """
        if not self.is_available(now):
            return False
        if not urgent and self._tokens < self._burst * RESERVE:
            return False
        self._tokens -= 1.0
        return True

    def record_rating(self, seconds):
        """Note that a call was answered after `seconds`."""
        self._faults = 0
        self.time += TIME_SMOOTHING * (seconds - self.time)

    def record_fault(self, now, retry_after):
        """Note that a call failed.

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
        elif self._faults >= FAULTS_TO_PAUSE:
            self._paused_until = max(self._paused_until, now + PAUSE_S)

    def _refill(self, now):
        grown = max(0.0, now - self._updated) * self._rate
        self._tokens = min(self._burst, self._tokens + grown)
        self._updated = max(self._updated, now)
