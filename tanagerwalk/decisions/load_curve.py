"""How the pause between events grows with the requests that an engine runs."""

import math

# Weight of all earlier answers, so that the curve follows slow changes.
RETAINED_SHARE = 0.998
MIN_ANSWERS = 30
DEFAULT_SLOPE = 0.3
MAX_SLOPE = 0.6
MIN_PAUSE_S = 0.0005


class LoadCurve:
    """Learns a power law between the load of an engine and its pauses.

    A release on trial runs few requests at a time and the base many. Only with the
    effect of that removed do their pauses show which release is faster.
    """

    def __init__(self):
        self._weight = 0.0
        self._x = self._y = self._xx = self._xy = 0.0
        self._answers = 0

    def record(self, running, seconds):
        """Add an answer of a release in use.

        Parameters
        ----------
        running : int
            Requests that the engine ran.
        seconds : float
            Mean pause between the events of the answer.
        """
        x = math.log2(1.0 + running)
        y = math.log2(max(MIN_PAUSE_S, seconds))
        self._weight = RETAINED_SHARE * self._weight + 1.0
        self._x = RETAINED_SHARE * self._x + x
        self._y = RETAINED_SHARE * self._y + y
        self._xx = RETAINED_SHARE * self._xx + x * x
        self._xy = RETAINED_SHARE * self._xy + x * y
        self._answers += 1

    @property
    def slope(self):
        """Exponent of the power law: least squares over the answers."""
        if self._answers < MIN_ANSWERS:
            return DEFAULT_SLOPE
        spread = self._weight * self._xx - self._x * self._x
        if spread <= 0.0:
            return DEFAULT_SLOPE
        slope = (self._weight * self._xy - self._x * self._y) / spread
        return min(MAX_SLOPE, max(0.0, slope))

    def normalize(self, running, seconds):
        """Return a pause as it would be if the engine ran this request alone."""
        return seconds / ((1.0 + running) / 2.0) ** self.slope
