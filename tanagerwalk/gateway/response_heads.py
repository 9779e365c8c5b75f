"""Heads of responses, and why one may not be complete."""

from dataclasses import dataclass
from enum import Enum

# No body follows them, whatever the head says.
NO_BODY_STATUSES = frozenset({204, 304})


class ConnectionFailure(Enum):
    """Why a connection ended before the response was complete."""

    CLOSED = "closed"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of a response; header names are in lower case."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    def get_header(self, name):
        """Return the first value of the header `name` (in lower case), or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def content_length(self):
        """The size of the body in bytes that the head states, or None."""
        value = self.get_header(b"content-length")
        return int(value) if value is not None and value.isdigit() else None

    @property
    def has_unknown_coding(self):
        """Whether the body has another transfer coding than being in chunks."""
        return any(
            key == b"transfer-encoding" and value.strip().lower() != b"chunked"
            for key, value in self.headers
        )


def match_any_response(head):
    """Accept every response as the one to the pending request."""
    del head
    return True
