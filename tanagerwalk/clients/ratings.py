"""Client for the platform's rating service."""

from dataclasses import dataclass

import aiohttp
import msgspec
from expression import Error, Ok

from ..documents import decode_json
from .http import read_body

OK_STATUS = 200
MAX_RETRY_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class RatingFailure:
    """Reason why an answer was not rated.

    Parameters
    ----------
    message : str
        One-line description for the log.
    retry_after : float or None
        Seconds to wait, from the service's `Retry-After` header.
    """

    message: str
    retry_after: float | None = None


class _Rating(msgspec.Struct, frozen=True):
    rating: float


class RatingsClient:
    """Requests ratings of answers.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session used for all calls.
    base_url : str
        URL of the service.
    timeout : float
        Timeout in seconds.
    """

    def __init__(self, http, base_url, timeout):
        self._http = http
        self._url = base_url.rstrip("/") + "/rate"
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def rate(self, work_class, version, payload, text):
        """Rate one answer.

        Parameters
        ----------
        work_class : ClassName
            Class of work of the request.
        version : VersionName
            Version that generated the answer.
        payload : dict
            Payload of the request.
        text : str
            Text of the answer.

        Returns
        -------
        Result of float, or of RatingFailure
            The rating, 0 to 1.
        """
        body = {
            "class": work_class,
            "version": version,
            "messages": payload.get("messages", []),
            "answer": text,
        }
        try:
            async with self._http.post(
                self._url, json=body, timeout=self._timeout
            ) as response:
                content = await read_body(response)
                if response.status != OK_STATUS:
                    return Error(_read_failure(response))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Error(
                RatingFailure(f"rating service failed: {type(error).__name__}")
            )
        decoded = decode_json(content, _Rating)
        if decoded.is_error():
            return Error(RatingFailure(f"rating is malformed: {decoded.error}"))
        rating = decoded.ok.rating
        if not 0.0 <= rating <= 1.0:
            return Error(RatingFailure(f"rating {rating} is not between 0 and 1"))
        return Ok(rating)


def _read_failure(response):
    message = f"rating service returned HTTP status {response.status}"
    try:
        retry_after = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return RatingFailure(message)
    # The comparison is also false for NaN.
    if not retry_after >= 0.0:
        return RatingFailure(message)
    return RatingFailure(message, min(MAX_RETRY_AFTER_S, retry_after))
