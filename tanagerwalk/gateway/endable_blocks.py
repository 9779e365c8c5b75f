"""Blocks of code that can be ended from outside without an exception."""

import asyncio


class EndableBlock:
    """Asynchronous context manager whose block `end` ends.

    Parameters
    ----------
    blocks : set of EndableBlock
        Where it is listed while the block runs.
    """

    def __init__(self, blocks):
        self._blocks = blocks
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self):
        await self._timeout.__aenter__()
        self._blocks.add(self)
        return self

    async def __aexit__(self, kind, error, trace):
        self._blocks.discard(self)
        try:
            return await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            return True

    def end(self):
        """End the block as soon as the event loop gets there."""
        self._timeout.reschedule(asyncio.get_running_loop().time())
