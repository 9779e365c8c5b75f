"""Client of the platform's service that rates answers."""

import aiohttp
import msgspec
from expression import Error, Ok


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
        Result of float, or of str
            The rating, 0 to 1, or one line for the log.
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
                if response.status != 200:
                    return Error(f"rating service answered {response.status}")
                rating = msgspec.json.decode(content, type=_Rating).rating
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            return Error(f"rating service: {type(error).__name__}")
        if not 0.0 <= rating <= 1.0:
            return Error(f"rating service gave {rating}")
        return Ok(rating)
