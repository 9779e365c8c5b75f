"""What every attempt at a backend server shares: time limits and failures."""

import asyncio

import aiohttp
import msgspec
from expression import Error

from ..messages import AttemptFailure
from ..outcomes import RetryReason
from .responses import read_retry_after

REQUEST_ID_HEADER = "X-Request-Id"
UNAVAILABLE_STATUS = 503
OVERLOAD_STATUSES = frozenset({429, 503})
SERVER_ERROR_STATUS = 500
PROBE_TIMEOUT_S = 0.3


def build_timeout(retries):
    """Return the socket time limits of an attempt.

    Parameters
    ----------
    retries : RetrySettings
        Limits in seconds.
    """
    return aiohttp.ClientTimeout(
        total=None,
        connect=retries.connect_timeout,
        sock_connect=retries.connect_timeout,
        sock_read=retries.idle_timeout,
    )


async def run_attempt(exchange, limit):
    """Run one HTTP exchange and turn every way it can fail into a value.

    Parameters
    ----------
    exchange : awaitable
        The exchange; it returns a Result.
    limit : float
        Seconds that it may take.

    Returns
    -------
    Result of the exchange's value, or of AttemptFailure
        `sent` is False only if no connection was made.
    """
    try:
        async with asyncio.timeout(limit):
            return await exchange
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return Error(AttemptFailure(RetryReason.CONNECT_FAILED, sent=False))
    except TimeoutError:
        return Error(AttemptFailure(RetryReason.ATTEMPT_TIMEOUT, sent=True))
    except (aiohttp.ClientError, ConnectionError):
        failure = AttemptFailure(RetryReason.CONNECTION_LOST, sent=True, crashed=True)
        return Error(failure)
    except msgspec.DecodeError:
        return Error(AttemptFailure(RetryReason.SERVER_ERROR, sent=True))


async def is_connection_refused(address, limit=PROBE_TIMEOUT_S):
    """Return whether a host answers but refuses connections to a port.

    A process that crashed leaves a host that refuses; a cut network leaves
    silence, and a live process accepts.

    Parameters
    ----------
    address : str
        `IP:port`.
    limit : float
        Seconds to wait.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(limit):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def classify_status(response):
    """Return the failure that a response's status means, or None.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The response of a backend server.
    """
    if response.status in OVERLOAD_STATUSES:
        wait = read_retry_after(response.headers)
        return AttemptFailure(
            RetryReason.SERVER_REFUSED,
            sent=True,
            retry_after=wait,
            closing=_is_shutting_down(response),
        )
    if response.status >= SERVER_ERROR_STATUS:
        return AttemptFailure(RetryReason.SERVER_ERROR, sent=True)
    return None


def _is_shutting_down(response):
    closes = response.headers.get("Connection", "").lower() == "close"
    return closes and response.status == UNAVAILABLE_STATUS
