"""Timeouts and failure classification shared by all calls to backend servers."""

import asyncio

import aiohttp
from aiohttp.http_exceptions import LineTooLong
from expression import Error

from ..addresses import is_connectable, parse_address
from ..descriptors import is_own_limit
from ..messages import AttemptFailure
from ..outcomes import RetryReason
from .responses import read_retry_after

REQUEST_ID_HEADER = "X-Request-Id"
UNAVAILABLE_STATUS = 503
OVERLOAD_STATUSES = frozenset({429, 503})
FIRST_FINAL_STATUS = 200
SERVER_ERROR_STATUS = 500
PROBE_TIMEOUT_S = 0.3


def build_timeout(retries):
    """Return the connect and read timeouts of an attempt.

    Parameters
    ----------
    retries : RetrySettings
        Timeouts in seconds.
    """
    return aiohttp.ClientTimeout(
        total=None,
        connect=retries.connect_timeout,
        sock_connect=retries.connect_timeout,
        sock_read=retries.idle_timeout,
    )


async def run_attempt(exchange, limit, held):
    """Run one HTTP exchange and return its failures as values.

    Parameters
    ----------
    exchange : awaitable
        Coroutine that performs the exchange and returns a Result.
    limit : float
        Timeout in seconds.
    held : HeldAnswer
        The answer. Its context ends with the attempt.

    Returns
    -------
    Result of the exchange's value, or of AttemptFailure
        `sent` is False if no connection was established, or if the exchange itself
        returned such a failure.
    """
    try:
        with held:
            async with asyncio.timeout(limit):
                return await exchange
    except aiohttp.ClientConnectorError as error:
        own = is_own_limit(error.os_error)
        reason = RetryReason.OWN_LIMIT if own else RetryReason.CONNECT_FAILED
        return Error(AttemptFailure(reason, sent=False))
    except aiohttp.ConnectionTimeoutError:
        return Error(AttemptFailure(RetryReason.CONNECT_FAILED, sent=False))
    except TimeoutError:
        own = held.has_waited
        reason = RetryReason.OWN_LIMIT if own else RetryReason.ATTEMPT_TIMEOUT
        return Error(AttemptFailure(reason, sent=True))
    except aiohttp.ClientPayloadError:
        failure = AttemptFailure(
            RetryReason.CONNECTION_LOST, sent=True, crashed=True, has_begun=True
        )
        return Error(failure)
    except LineTooLong:
        return Error(AttemptFailure(RetryReason.SERVER_ERROR, sent=True))
    except (aiohttp.ClientError, ConnectionError):
        failure = AttemptFailure(RetryReason.CONNECTION_LOST, sent=True, crashed=True)
        return Error(failure)


async def is_connection_refused(address, limit=PROBE_TIMEOUT_S):
    """Return whether a TCP connection to the address is refused.

    A refused connection means that the host is up and the process is not. If the
    network is down the attempt times out, and a running process accepts it.

    Parameters
    ----------
    address : str
        `IP:port`.
    limit : float
        Timeout in seconds.
    """
    parsed = parse_address(address)
    if parsed is None or not is_connectable(parsed):
        return False
    try:
        async with asyncio.timeout(limit):
            _, writer = await asyncio.open_connection(*parsed)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def classify_status(response):
    """Return the failure indicated by a response's status, or None.

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
    if not FIRST_FINAL_STATUS <= response.status < SERVER_ERROR_STATUS:
        return AttemptFailure(RetryReason.SERVER_ERROR, sent=True)
    return None


def _is_shutting_down(response):
    closes = response.headers.get("Connection", "").lower() == "close"
    return closes and response.status == UNAVAILABLE_STATUS
