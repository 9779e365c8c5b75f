"""Client of plain services: one HTTP call, passed through."""

from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from expression import Error, Ok

from ..decisions.servers import LoadReport
from .attempts import REQUEST_ID_HEADER, build_timeout, classify_status, run_attempt
from .http import build_url
from .loads import parse_load

IDEMPOTENCY_HEADER = "Idempotency-Key"


@dataclass(frozen=True, slots=True)
class ServiceAttempt:
    """One call to be sent to a plain service.

    Parameters
    ----------
    attempt : AttemptId
        Unique name of the attempt.
    address : str
        `IP:port` of the server.
    work_class : ClassName
        Becomes the path of the call.
    payload : dict
        The caller's JSON body.
    idempotent : bool
        Whether the call may run twice.
    idempotency_key : str or None
        Passed on to the service.
    """

    attempt: str
    address: str
    work_class: str
    payload: dict[str, Any]
    idempotent: bool
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceOutcome:
    """A whole response of a plain service."""

    status: int
    content: bytes
    content_type: str


class ServiceClient:
    """Calls plain services.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that keeps connections open.
    unpooled_http : aiohttp.ClientSession
        Session that makes a connection for each call. A kept connection may be
        closed by the server just as a call is written to it, which would leave a
        non-idempotent call in doubt.
    retries : RetrySettings
        Time limits.
    """

    def __init__(self, http, unpooled_http, retries):
        self._http = http
        self._unpooled_http = unpooled_http
        self._timeout = build_timeout(retries)

    async def call(self, attempt, deadline):
        """Run one attempt.

        Parameters
        ----------
        attempt : ServiceAttempt
            What to send, and where.
        deadline : float
            Seconds that the attempt may take.

        Returns
        -------
        Result of ServiceOutcome, or of AttemptFailure
        """
        return await run_attempt(self._exchange(attempt), deadline)

    async def _exchange(self, attempt):
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: attempt.attempt,
        }
        if attempt.idempotency_key:
            headers[IDEMPOTENCY_HEADER] = attempt.idempotency_key
        http = self._http if attempt.idempotent else self._unpooled_http
        async with http.post(
            build_url(attempt.address, f"/{attempt.work_class}"),
            data=msgspec.json.encode(attempt.payload),
            allow_redirects=False,
            headers=headers,
            timeout=self._timeout,
        ) as response:
            content = await response.read()
            failure = classify_status(response)
            if failure is not None:
                return Error(failure)
            return Ok(ServiceOutcome(response.status, content, response.content_type))

    async def read_load(self, address, timeout, models=True):
        """Read a service's load; it has no models to read.

        Returns
        -------
        Result of LoadReport, or of str
        """
        del models
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._http.get(
                f"http://{address}/metrics", timeout=limit
            ) as response:
                running, waiting = parse_load(await response.text())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Error(f"service {address}: {type(error).__name__}")
        return Ok(LoadReport(running, waiting))
