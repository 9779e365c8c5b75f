"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time, which starts at zero."""

    def __init__(self):
        super().__init__()
        self._virtual_now = 0.0

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        super()._run_once()


def run_in_virtual_time(coroutine):
    """Run a coroutine to its end and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
