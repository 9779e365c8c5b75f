"""Timeouts that a pause of this process doesn't use up."""

import asyncio
import math

# An event loop that is this late has stood still: the process was suspended, or one
# step took long.
STALL_S = 0.05


class StallTolerantTimeout:
    """A timeout to which the time is added for which the event loop stood still.

    While the loop stands still, the other side may answer, but nothing reads it. A
    timeout that ends in the meantime would be blamed on the other side. What is added
    is at most the timeout itself, so that the caller waits for twice as long at most,
    beside the pause.

    Like `asyncio.timeout`, an asynchronous context manager that raises TimeoutError.

    Parameters
    ----------
    seconds : float
        The timeout in seconds.
    longest : float
        Seconds since the beginning after which nothing is added any more, because
        the caller has no use for a later answer.
    """

    def __init__(self, seconds, longest=math.inf):
        self._seconds = seconds
        self._longest = longest
        self._scope = asyncio.timeout(None)
        self._timer = None

    async def __aenter__(self):
        await self._scope.__aenter__()
        loop = asyncio.get_running_loop()
        now = loop.time()
        due_at = now + self._seconds
        ends_at = now + self._longest
        self._timer = loop.call_at(due_at, self._extend, due_at, ends_at)
        return self

    async def __aexit__(self, kind, error, trace):
        self._timer.cancel()
        return await self._scope.__aexit__(kind, error, trace)

    def _extend(self, due_at, ends_at):
        now = asyncio.get_running_loop().time()
        extended = now + measure_stall(now - due_at, self._seconds)
        self._scope.reschedule(max(now, min(extended, ends_at)))


def measure_stall(lateness, timeout):
    """Return the seconds to add to a timeout that ends late.

    Parameters
    ----------
    lateness : float
        Seconds between the end of the timeout and now; negative before its end.
    timeout : float
        The timeout in seconds, which is the most that is added.
    """
    if lateness < STALL_S:
        return 0.0
    return min(lateness, timeout)
