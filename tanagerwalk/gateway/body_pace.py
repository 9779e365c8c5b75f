"""How fast the body of a request arrives."""

import math

# Time after which the pace of a body is known.
MIN_AGE_S = 1.0


class BodyPace:
    """Measures how fast the body of the request arrives that a client sends.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._since = math.inf
        self._size = 0

    def start(self):
        """Start to measure: the head of a request is complete."""
        self._since = self._clock()
        self._size = 0

    def stop(self):
        """Measure nothing until the next `start`."""
        self._since = math.inf

    def measure(self, size, now):
        """Return the pace since the last measurement, and begin another one.

        Parameters
        ----------
        size : int
            Bytes of the body that have arrived.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Bytes per second; infinite for a body that hasn't been expected for long.
        """
        age = now - self._since
        if age < MIN_AGE_S:
            return math.inf
        growth = size - self._size
        self._since = now
        self._size = size
        return growth / age
