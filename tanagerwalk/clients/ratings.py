"""Client of the platform's service that rates answers."""

from dataclasses import dataclass

import aiohttp
import msgspec
from expression import Error, Ok

OK_STATUS = 200
MAX_RETRY_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class RatingFailure:
    """Why an answer got no rating.

    Parameters
    ----------
    message : str
        One line for the log.
    retry_after : float or None
        Seconds that the service asked to wait.
    """

    message: str
    retry_after: float | None = None


class _Rating(msgspec.Struct, frozen=True):
    rating: float


class RatingsClient:
    """Asks for the rating of an answer.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session to call with.
    base_url : str
        Address of the service.
    timeout : float
        Time limit in seconds.
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
            The class of work.
        version : VersionName
            The version that answered.
        payload : dict
            The request.
        text : str
            The answer.

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
                content = await response.read()
                if response.status != OK_STATUS:
                    return Error(_read_failure(response))
                rating = msgspec.json.decode(content, type=_Rating).rating
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            return Error(RatingFailure(f"rating service: {type(error).__name__}"))
        if not 0.0 <= rating <= 1.0:
            return Error(RatingFailure(f"rating service gave {rating}"))
        return Ok(rating)


def _read_failure(response):
    message = f"rating service answered {response.status}"
    try:
        retry_after = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return RatingFailure(message)
    # Also false for a value that is not a number.
    if not retry_after >= 0.0:
        return RatingFailure(message)
    return RatingFailure(message, min(MAX_RETRY_AFTER_S, retry_after))
