"""The slots and the queue of a backend server stand-in."""

import asyncio
import time
from collections import deque

REJECTION_WINDOW_S = 1.0


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
        self._waiting = deque()

    @property
    def load(self):
        """Running and waiting requests and slots, as a server reports them."""
        return f"{self._running},{len(self._waiting)},{self.slots}"

    async def enter(self):
        """Wait for a slot; return whether there was room for the request."""
        if self._running < self.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.queue:
            self._reject()
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            elif turn in self._waiting:
                self._waiting.remove(turn)
            raise
        return True

    def leave(self):
        """Free a slot, which goes to the request that has waited longest."""
        while self._waiting:
            turn = self._waiting.popleft()
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
