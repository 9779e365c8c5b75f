"""Running a controller's step again and again."""

import asyncio
import time

JITTER = 0.5


async def poll_until(condition, interval, timeout):
    """Wait until `condition()` holds.

    Parameters
    ----------
    condition : callable
        Returns whether to stop waiting.
    interval : float
        Seconds between two calls of it.
    timeout : float
        Longest wait in seconds.

    Returns
    -------
    bool
        Whether the condition held in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        pause = min(interval, deadline - time.monotonic())
        if pause <= 0:
            return False
        await asyncio.sleep(pause)
    return True


async def run_periodically(step, interval, random):
    """Run `step` until cancelled, with jittered pauses between runs.

    Parameters
    ----------
    step : callable
        Coroutine function without arguments.
    interval : float
        Mean pause in seconds.
    random : random.Random
        Source of the jitter, which keeps instances from acting in step.
    """
    while True:
        await step()
        jitter = 1.0 + JITTER * (2.0 * random.random() - 1.0)
        await asyncio.sleep(interval * jitter)


class BackgroundTasks:
    """Work that a controller starts and does not wait for.

    An exception in it is a broken invariant; it is raised at the controller's next
    step, where the supervisor sees it.
    """

    def __init__(self):
        self._tasks = set()
        self._failure = None

    def __len__(self):
        return len(self._tasks)

    def start(self, coroutine):
        """Start a coroutine and return its task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._record_end)
        return task

    def _record_end(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()

    def raise_failure(self):
        """Raise what ended a coroutine, if anything did.

        Raises
        ------
        Exception
            The exception of the coroutine.
        """
        if self._failure is not None:
            raise self._failure

    def cancel(self):
        """Cancel what still runs."""
        for task in self._tasks:
            task.cancel()
