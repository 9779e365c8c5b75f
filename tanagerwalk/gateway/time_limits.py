"""Waits for a Result, for a limited time."""

from expression import Error

from ..stalls import StallTolerantTimeout


def has_timed_out(result):
    """Return whether a Result of `wait_at_most` stands for a timeout."""
    return result.is_error() and result.error is None


async def wait_at_most(work, seconds, longest):
    """Await what returns a Result, for some time.

    Parameters
    ----------
    work : awaitable
        Returns a Result whose error is not None; raises no TimeoutError.
    seconds : float
        The timeout in seconds.
    longest : float
        Seconds after which a pause of this process is not added to it any more.

    Returns
    -------
    Result
        That of `work`, or Error(None) on a timeout.
    """
    try:
        async with StallTolerantTimeout(max(0.0, seconds), longest):
            return await work
    except TimeoutError:
        return Error(None)
