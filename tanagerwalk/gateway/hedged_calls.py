"""Calls that are made once more while the answer to the first one is overdue."""

import asyncio


async def call_hedged(call, delays, on_overdue):
    """Return the first answer to a call that may be repeated.

    Parameters
    ----------
    call : callable
        Takes the number of calls before and returns a coroutine of a Result.
    delays : iterable of float
        Seconds after which the answer to each call is overdue, except to the last one,
        which is waited for as long as it takes.
    on_overdue : callable
        Called without arguments before each further call.

    Returns
    -------
    Result
        The first that is no error; the last error if there is none.
    """
    running = set()
    result = None
    try:
        for number, delay in enumerate([*delays, None]):
            running.add(asyncio.create_task(call(number)))
            result, running = await _wait_for_answer(running, delay, result)
            if result is not None and (result.is_ok() or not running):
                return result
            if delay is not None:
                on_overdue()
        return result
    finally:
        for task in running:
            task.cancel()
        # A call that is cut off closes its connection.
        await asyncio.gather(*running, return_exceptions=True)


async def _wait_for_answer(running, seconds, result):
    """Wait for an answer that is no error, or until no call runs or the time is over.

    Returns
    -------
    tuple of (Result or None, set of asyncio.Task)
        The answer, or the last error, and the calls that still run.
    """
    loop = asyncio.get_running_loop()
    ends_at = None if seconds is None else loop.time() + seconds
    while running:
        left = None if ends_at is None else max(0.0, ends_at - loop.time())
        done, running = await asyncio.wait(
            running, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            break
        answers = [task.result() for task in done]
        result = next((answer for answer in answers if answer.is_ok()), answers[0])
        if result.is_ok():
            break
    return result, running
