"""Periodic steps, polling and background tasks of controllers."""

import asyncio
import time

JITTER = 0.5


async def poll_until(condition, interval, timeout):
    """Poll `condition()` until it is true or the timeout expires.

    Parameters
    ----------
    condition : callable
        Returns whether to stop waiting.
    interval : float
        Seconds between two calls of `condition`.
    timeout : float
        Longest wait in seconds.

    Returns
    -------
    bool
        Whether the condition became true before the timeout.
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
        Source of the jitter, which keeps instances from running in lockstep.
    """
    while True:
        await step()
        jitter = 1.0 + JITTER * (2.0 * random.random() - 1.0)
        await asyncio.sleep(interval * jitter)


class BackgroundTasks:
    """Tasks that a controller starts without waiting for them.

    An exception in a task indicates a broken invariant. The controller raises it in
    its next step by calling `raise_failure`, so that the supervisor notices it and
    starts the controller again.
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
        """Raise the exception of a failed task once, if there is one.

        Raises
        ------
        Exception
            The exception of the task that failed last.
        """
        failure, self._failure = self._failure, None
        if failure is not None:
            raise failure

    def cancel(self):
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()
