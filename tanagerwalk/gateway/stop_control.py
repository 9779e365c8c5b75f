"""How the last requests end in a planned stop."""

import asyncio


class StopControl:
    """Ends the requests that still run at the end of a planned stop."""

    def __init__(self):
        self._guards = set()

    def guard(self):
        """Return a context manager whose block `end_all` ends without an exception."""
        return _Guard(self._guards)

    def end_all(self):
        """End the blocks of all guards.

        Returns
        -------
        int
            Number of blocks.
        """
        guards = list(self._guards)
        for guard in guards:
            guard.end()
        return len(guards)


class _Guard:
    def __init__(self, guards):
        self._guards = guards
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self):
        await self._timeout.__aenter__()
        self._guards.add(self)

    async def __aexit__(self, kind, error, trace):
        self._guards.discard(self)
        try:
            return await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            return True

    def end(self):
        """End the block as soon as the event loop gets there."""
        self._timeout.reschedule(asyncio.get_running_loop().time())
