"""Refusals of requests that are still being received."""

from ..decisions.attempts import find_retry_after
from ..outcomes import Refusal, RefusalReason

# The client's own is not known before its request has been read.
ASSUMED_CLIENT_TIMEOUT_S = 30.0


class LimitExceededError(Exception):
    """Raised when a request that is being received can't be accepted.

    Parameters
    ----------
    refusal : Refusal
        What the client is told.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


def build_malformed_refusal(detail):
    """Return the Refusal of a request that is not proper HTTP/1.1."""
    return Refusal(RefusalReason.INVALID_REQUEST, f"malformed request: {detail}")


def build_header_refusal(limits):
    """Return the Refusal of a request whose header exceeds the ClientLimits."""
    message = f"the header is larger than {limits.header_size} bytes"
    return Refusal(RefusalReason.HEADER_TOO_LARGE, message)


def build_body_refusal(limits):
    """Return the Refusal of a request whose body exceeds the ClientLimits."""
    message = f"the body is larger than {limits.body_size} bytes"
    return Refusal(RefusalReason.REQUEST_TOO_LARGE, message)


def build_timeout_refusal():
    """Return the Refusal of a request that stopped arriving."""
    message = "the request did not arrive in time"
    return Refusal(RefusalReason.RECEIVE_TIMEOUT, message)


def build_memory_refusal(random):
    """Return the Refusal of a request for which there is no memory now.

    Parameters
    ----------
    random : random.Random
        Spreads the times at which refused clients come back.
    """
    message = "not run: no memory for the request at the moment"
    retry_after = find_retry_after(ASSUMED_CLIENT_TIMEOUT_S, random)
    return Refusal(RefusalReason.MEMORY_FULL, message, retry_after=retry_after)
