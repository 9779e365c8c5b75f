"""Tells who has cancelled what a task waited for."""

import asyncio


def is_task_cancelled():
    """Return whether the running task itself has been cancelled.

    A task that handles a request is cancelled when its client leaves. A CancelledError
    can also come from something that it shares with others, and was cancelled.
    """
    return asyncio.current_task().cancelling() > 0
