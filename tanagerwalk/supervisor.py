"""Runs the controllers, and notices when one of them ends by itself."""

import asyncio

import structlog

log = structlog.get_logger(__name__)


class Supervisor:
    """Runs coroutines until it is closed.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a coroutine ended by itself: its state would rot.
    """

    def __init__(self):
        self.failed = asyncio.Event()
        self._tasks = []
        self._stopping = False
        self._closing = False

    def run(self, coroutine):
        """Start a coroutine."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_done)
        self._tasks.append(task)

    def begin_shutdown(self):
        """Take a coroutine that returns from now on for one that is done."""
        self._stopping = True

    def _handle_done(self, task):
        if task.cancelled() or self._closing:
            return
        if self._stopping and task.exception() is None:
            return
        log.critical("controller failed", exc_info=task.exception())
        self.failed.set()

    async def close(self):
        """Cancel every coroutine and wait for its end."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
