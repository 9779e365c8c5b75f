"""Sums over the last seconds."""

import math
from collections import deque

WINDOW_S = 4.0
BUCKET_S = 0.5


class RecentSum:
    """The sum of the amounts that were added within the window, to half a second."""

    def __init__(self):
        self._buckets = deque()

    def add(self, amount, now):
        """Add an amount at a monotonic time in seconds."""
        index = math.floor(now / BUCKET_S)
        if self._buckets and self._buckets[-1][0] == index:
            self._buckets[-1][1] += amount
        else:
            self._drop_old(now)
            self._buckets.append([index, amount])

    def measure(self, now):
        """Return the sum over the window that ends at a monotonic time."""
        self._drop_old(now)
        return sum(amount for _, amount in self._buckets)

    def _drop_old(self, now):
        first = math.floor((now - WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= first:
            self._buckets.popleft()
