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
