"""Opens listeners, and waits for those whose port is in use."""

import asyncio
import errno
import os

import structlog
from expression import Error, Ok

log = structlog.get_logger(__name__)

RETRY_PAUSE_S = 0.1
# Failed attempts from one log line to the next.
LOG_INTERVAL = 100


class PortWait:
    """Opens listeners at once, or in the background as soon as their port is free.

    Another process may hold a port for a while: a former one that still stops, or one
    whose outgoing connection was given that port.
    """

    def __init__(self):
        self._tasks = set()

    async def open(self, name, bind, serve):
        """Open a listener now, or start to wait for its port.

        Parameters
        ----------
        name : str
            Name of the listener for the log.
        bind : callable
            Returns the Result of what `serve` takes, which can be closed, or of an
            OSError.
        serve : callable
            Coroutine function that takes bound sockets and serves them.
        """
        result = await _try_open(bind, serve)
        if result.is_ok():
            return
        log.warning("port in use", listener=name, problem=str(result.error))
        task = asyncio.create_task(self._retry(name, bind, serve))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _retry(self, name, bind, serve):
        failures = 1
        while True:
            await asyncio.sleep(RETRY_PAUSE_S)
            result = await _try_open(bind, serve)
            if result.is_ok():
                log.info("port free", listener=name, failures=failures)
                return
            failures += 1
            if failures % LOG_INTERVAL == 0:
                problem = str(result.error)
                log.warning("port still in use", listener=name, problem=problem)

    def close(self):
        """Wait for no port any more."""
        for task in self._tasks:
            task.cancel()


async def _try_open(bind, serve):
    result = bind()
    if result.is_error():
        return result
    try:
        await serve(result.ok)
    except Exception as error:
        if not isinstance(error, OSError):
            # Without another attempt the listener would stay closed.
            log.exception("listener failed to open")
        result.ok.close()
        return Error(error)
    if result.ok.fileno() < 0:
        # uvloop closes a socket that can't listen, without an exception.
        result.ok.close()
        return Error(OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE)))
    return Ok(None)
