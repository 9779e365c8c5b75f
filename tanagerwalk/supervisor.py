"""Runs the controllers, and starts again those that fail."""

import asyncio
import random

import structlog

from .defects import DefectLog, is_cancelled_from_outside

log = structlog.get_logger(__name__)

FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0
PAUSE_GROWTH = 2.0
JITTER = 0.25
# A controller that ran so long before it failed starts over with the first pause.
STEADY_S = 30.0


class Supervisor:
    """Runs controllers as tasks until it is closed.

    One that raises, or returns before shutdown, is started again after a pause that
    grows up to a bound. No exception of a controller ends the process: the same entry
    or message reaches all instances, and would end all of them. What the controller
    maintains gets stale meanwhile, which refuses keys and shows in the readiness.

    Parameters
    ----------
    metric : prometheus_client.Counter or None
        Counts the restarts by controller.

    Attributes
    ----------
    defects : DefectLog
        The restarts by controller.
    """

    def __init__(self, metric=None):
        self.defects = DefectLog("controller failed", metric)
        self._tasks = []
        self._stopping = False

    def run(self, name, work):
        """Start a controller as a supervised task.

        Parameters
        ----------
        name : str
            Name of the controller.
        work : callable
            Coroutine function without arguments; called again after each failure.
        """
        self._tasks.append(asyncio.create_task(self._keep_running(name, work)))

    def begin_shutdown(self):
        """Accept that controllers return from now on; exceptions remain failures."""
        self._stopping = True

    async def _keep_running(self, name, work):
        clock = asyncio.get_running_loop().time
        pause = FIRST_PAUSE_S
        while True:
            started_at = clock()
            error = await _run_once(work)
            if error is None and self._stopping:
                return
            self.defects.record(name, error)
            if clock() - started_at >= STEADY_S:
                pause = FIRST_PAUSE_S
            # Instances that failed on the same entry should not list the store at once.
            await asyncio.sleep(pause * random.uniform(1.0 - JITTER, 1.0 + JITTER))
            pause = min(MAX_PAUSE_S, pause * PAUSE_GROWTH)
            log.info("controller started again", controller=name)

    async def close(self):
        """Cancel all tasks and wait for them to finish."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _run_once(work):
    """Run a controller; return the exception that it ended with, or None."""
    try:
        await work()
    except asyncio.CancelledError as error:
        if is_cancelled_from_outside():
            raise
        return error
    except Exception as error:
        return error
    if is_cancelled_from_outside():
        # It took the cancellation for its end.
        raise asyncio.CancelledError
    return None
