"""What backend servers say about themselves in their answers."""

from dataclasses import dataclass

# A server that names a longer time is asked again after this one.
MAX_HOLD_S = 3600.0
# After a hold, requests come back one by one for a while.
RESUME_S = 2.0
RESUME_REQUESTS_PER_S = 4.0


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """A server's notice to those that send it requests.

    Parameters
    ----------
    is_leaving : bool
        Whether the server leaves and wants no new requests.
    hold : float
        Seconds for which it wants no requests; 0 for none.
    limit : float or None
        Requests per second that it takes from all instances; None for any number.
    bearable : float or None
        Rejections per second beyond which it falls over; None for any number.
    """

    is_leaving: bool = False
    hold: float = 0.0
    limit: float | None = None
    bearable: float | None = None

    @property
    def asks_for_rest(self):
        """Whether the server wants no requests, for a while or for good."""
        return self.is_leaving or self.hold > 0.0


def find_hold(retry_after):
    """Return the seconds for which a server that rejected a request is left alone.

    Parameters
    ----------
    retry_after : float or None
        Seconds that the server named; None if it named none.
    """
    if retry_after is None or retry_after <= 0.0:
        return 0.0
    return min(retry_after, MAX_HOLD_S)


def find_resume_limit(since):
    """Return how many requests at a time a server gets after a hold.

    Parameters
    ----------
    since : float
        Seconds since the end of the hold; negative before.

    Returns
    -------
    float
        Infinite once the server is treated like any other.
    """
    if since < 0.0:
        return 0.0
    if since >= RESUME_S:
        return float("inf")
    return 1.0 + RESUME_REQUESTS_PER_S * since
