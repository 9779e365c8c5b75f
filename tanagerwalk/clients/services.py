"""Client for plain services, to which calls are passed through."""

import sys
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from expression import Error, Ok

from ..addresses import parse_address
from ..decisions.servers import LoadReport
from ..memory import Memory
from ..messages import AttemptFailure
from ..outcomes import RetryReason
from .attempts import REQUEST_ID_HEADER, build_timeout, classify_status, run_attempt
from .http import build_url, read_body
from .loads import parse_load

IDEMPOTENCY_HEADER = "Idempotency-Key"


@dataclass(frozen=True, slots=True)
class ServiceAttempt:
    """Request of one attempt at a plain service.

    Parameters
    ----------
    attempt : AttemptId
        Unique id of the attempt, sent as `X-Request-Id`.
    address : str
        `IP:port` of the server.
    work_class : ClassName
        Class of work, used as the path of the call.
    payload : dict
        JSON body from the caller.
    idempotent : bool
        Whether the call may safely run twice.
    idempotency_key : str or None
        Sent to the service as `Idempotency-Key`.
    """

    attempt: str
    address: str
    work_class: str
    payload: dict[str, Any]
    idempotent: bool
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceOutcome:
    """Complete response of a plain service."""

    status: int
    content: bytes
    content_type: str


class ServiceClient:
    """Sends calls to plain services and reads their load.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session with keep-alive connections.
    unpooled_http : aiohttp.ClientSession
        Session that opens a new connection for each call, used for calls that are
        not idempotent. The server may close a keep-alive connection just as a call
        is written to it, and then it is unknown whether the call ran.
    retries : RetrySettings
        Timeouts.
    memory : Memory or None
        Counts the answers that are being received; None to count none.
    """

    def __init__(self, http, unpooled_http, retries, memory=None):
        self._memory = memory or Memory(sys.maxsize)
        self._http = http
        self._unpooled_http = unpooled_http
        self._timeout = build_timeout(retries)

    async def call(self, attempt, deadline):
        """Run one attempt.

        Parameters
        ----------
        attempt : ServiceAttempt
            The request and the server's address.
        deadline : float
            Timeout of the attempt in seconds.

        Returns
        -------
        Result of ServiceOutcome, or of AttemptFailure
        """
        held = self._memory.hold_answer()
        return await run_attempt(self._exchange(attempt, held), deadline, held)

    async def _exchange(self, attempt, held):
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: attempt.attempt,
        }
        if attempt.idempotency_key:
            headers[IDEMPOTENCY_HEADER] = attempt.idempotency_key
        if parse_address(attempt.address) is None:
            return Error(AttemptFailure(RetryReason.CONNECT_FAILED, sent=False))
        http = self._http if attempt.idempotent else self._unpooled_http
        async with http.post(
            build_url(attempt.address, f"/{attempt.work_class}"),
            data=msgspec.json.encode(attempt.payload),
            allow_redirects=False,
            headers=headers,
            timeout=self._timeout,
        ) as response:
            content = await read_body(response, held)
            failure = classify_status(response)
            if failure is not None:
                return Error(failure)
            return Ok(ServiceOutcome(response.status, content, response.content_type))

    async def read_load(self, address, timeout, models=True):
        """Read a service's load.

        The signature is that of `EngineClient.read_load`; `models` is ignored, as
        services have none.

        Returns
        -------
        Result of LoadReport, or of str
            The error is one line for the log.
        """
        del models
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._http.get(
                f"http://{address}/metrics", timeout=limit
            ) as response:
                page = await read_body(response)
            running, waiting = parse_load(page.decode(errors="replace"))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Error(
                f"cannot read load of service {address}: {type(error).__name__}"
            )
        return Ok(LoadReport(running, waiting))
