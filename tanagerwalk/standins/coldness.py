"""Cold times of a stand-in for a backend server."""

import math
import time
from collections import deque

WINDOW_S = 1.0


class Coldness:
    """Whether a server is cold, and how many requests it gets meanwhile.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    start_time : float
        Seconds for which the server is cold after each start.
    bears : float
        Requests in one second beyond which it crashes while cold.
    on_overload : callable
        Called without arguments when it gets more.
    most : int
        Most requests in one second of any cold time so far.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._until = -math.inf
        self._recent = deque()
        self.start_time = 0.0
        self.bears = math.inf
        self.on_overload = _ignore
        self.most = 0

    def begin(self, seconds):
        """Become cold for some seconds."""
        self._until = self._clock() + seconds
        self._recent.clear()

    def begin_start(self):
        """Become cold after a start."""
        self.begin(self.start_time)

    def find_remaining_time(self):
        """Return the seconds for which the server stays cold; 0 if it is warm."""
        return max(0.0, self._until - self._clock())

    def take(self):
        """Count a request."""
        now = self._clock()
        if now >= self._until:
            return
        self._recent.append(now)
        while now - self._recent[0] >= WINDOW_S:
            self._recent.popleft()
        self.most = max(self.most, len(self._recent))
        if len(self._recent) > self.bears:
            self.on_overload()


def _ignore():
    pass
