"""Gives memory back to the system after a peak."""

import asyncio

from ..process_memory import trim_heap

# What was just released is freed a little later.
TRIM_DELAY_S = 1.0
MIN_INTERVAL_S = 5.0


class HeapTrim:
    """Trims the heap of the process, seldom.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    trim : callable
        Gives free memory back to the system.
    """

    def __init__(self, clock, trim=trim_heap):
        self._clock = clock
        self._trim = trim
        self._due_at = 0.0
        self._handle = None

    def schedule(self):
        """Trim a little later, unless that is scheduled already."""
        now = self._clock()
        if self._due_at > now:
            return
        self._due_at = max(now + TRIM_DELAY_S, self._due_at + MIN_INTERVAL_S)
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._due_at - now, self._trim)

    def close(self):
        """Trim no more."""
        if self._handle is not None:
            self._handle.cancel()
