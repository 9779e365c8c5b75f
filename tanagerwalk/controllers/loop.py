"""Running a controller's step again and again."""

import asyncio
import time

JITTER = 0.5


async def poll_until(condition, interval, limit):
    """Wait until `condition()` holds.

    Parameters
    ----------
    condition : callable
        Returns whether to stop waiting.
    interval : float
        Seconds between two calls of it.
    limit : float
        Longest wait in seconds.

    Returns
    -------
    bool
        Whether the condition held in time.
    """
    ends = time.monotonic() + limit
    while not condition():
        pause = min(interval, ends - time.monotonic())
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
        spread = 1.0 + JITTER * (2.0 * random.random() - 1.0)
        await asyncio.sleep(interval * spread)


class BackgroundTasks:
    """Work that a controller starts and does not wait for.

    An exception in it is a broken invariant; it is raised at the controller's next
    step, where the supervisor sees it.
    """

    def __init__(self):
        self._running = set()
        self._failure = None

    def __len__(self):
        return len(self._running)

    def start(self, work):
        """Start a coroutine and return its task."""
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task):
        self._running.discard(task)
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
        for task in self._running:
            task.cancel()
