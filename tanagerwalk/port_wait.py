"""Opening of a listener whose port may still be in use."""

import asyncio
import errno

import structlog

log = structlog.get_logger(__name__)

RETRY_PAUSE_S = 0.1
# Failed attempts from one log line to the next.
LOG_INTERVAL = 100


async def listen_when_free(name, start, address, port):
    """Open a listener as soon as its port is free.

    Another process may hold it for a while: a former one that still stops, or one
    whose outgoing connection was given that port.

    Parameters
    ----------
    name : str
        Name of the listener for the log.
    start : callable
        Coroutine function that takes the address and the port and listens there.
    address : str
        IP address.
    port : int
        Port; 0 for any free one.

    Raises
    ------
    OSError
        If the address cannot be bound for another reason.
    """
    failures = 0
    while True:
        try:
            await start(address, port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return
        if failures % LOG_INTERVAL == 0:
            log.warning("port in use", listener=name, port=port, failures=failures)
        failures += 1
        await asyncio.sleep(RETRY_PAUSE_S)
