"""The slots and the queue of a backend server stand-in."""

import asyncio
import itertools
import time
from bisect import insort
from collections import deque

REJECTION_WINDOW_S = 1.0
DEFAULT_PRIORITY = 5


class Places:
    """Admits requests to a number of slots, and lets a few wait for one.

    Parameters
    ----------
    slots : int
        Requests that are processed at a time.
    queue : int
        Requests that may wait.

    Attributes
    ----------
    brittle : int or None
        Rejections for want of room in a second beyond which the server falls over;
        None if any number does it no harm.
    rejected_at : deque of float
        Monotonic times of the last rejections, in seconds.
    on_fall : callable
        Called without arguments when the server falls over.
    """

    def __init__(self, slots, queue):
        self.slots = slots
        self.queue = queue
        self.brittle = None
        self.rejected_at = deque()
        self.on_fall = _ignore
        self._running = 0
        self._waiting = []
        self._numbers = itertools.count()

    @property
    def load(self):
        """Running and waiting requests and slots, as a server reports them."""
        return f"{self._running},{len(self._waiting)},{self.slots}"

    async def enter(self, priority=DEFAULT_PRIORITY):
        """Wait for a slot; return whether there was room for the request.

        Parameters
        ----------
        priority : int
            Requests with a lower number get a slot first.
        """
        if self._running < self.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.queue:
            self._reject()
            return False
        turn = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._numbers), turn)
        insort(self._waiting, entry)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            elif entry in self._waiting:
                self._waiting.remove(entry)
            raise
        return True

    def leave(self):
        """Free a slot, for the most urgent request, or that which waited longest."""
        while self._waiting:
            *_, turn = self._waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

    def clear(self):
        """Begin anew, as after a start of the server."""
        self._running = 0
        self._waiting.clear()
        self.rejected_at.clear()

    def _reject(self):
        now = time.monotonic()
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - REJECTION_WINDOW_S:
            self.rejected_at.popleft()
        if self.brittle is not None and len(self.rejected_at) > self.brittle:
            self.on_fall()


def _ignore():
    pass
