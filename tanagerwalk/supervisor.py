"""Runs the controllers as tasks and detects unexpected exits."""

import asyncio

import structlog

log = structlog.get_logger(__name__)


class Supervisor:
    """Runs coroutines as tasks until it is closed.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a coroutine fails, or returns before shutdown: the state that it
        maintains would become stale.
    """

    def __init__(self):
        self.failed = asyncio.Event()
        self._tasks = []
        self._stopping = False
        self._closing = False

    def run(self, coroutine):
        """Start a coroutine as a supervised task."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_done)
        self._tasks.append(task)

    def begin_shutdown(self):
        """Accept that coroutines return from now on; exceptions remain failures."""
        self._stopping = True

    def _handle_done(self, task):
        if task.cancelled() or self._closing:
            return
        if self._stopping and task.exception() is None:
            return
        log.critical("controller failed", exc_info=task.exception())
        self.failed.set()

    async def close(self):
        """Cancel all tasks and wait for them to finish."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
