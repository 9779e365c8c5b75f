"""Slots in which single requests may be sent to servers that have limits."""

from dataclasses import dataclass

# Length of a slot in seconds, in which a grant arrives and a connection is opened.
SEND_WINDOW_S = 0.1


@dataclass(frozen=True, slots=True)
class SendSlot:
    """The right to send one request to a server with a limit.

    Parameters
    ----------
    life : int
        `hash_life` of the server.
    begins_at, ends_at : float
        Monotonic times between which the request has to be sent, in seconds.
    next_at : float or None
        When the next slot of the same part begins; None if that is independent of when
        the request is sent, or is up to another instance.
    """

    life: int
    begins_at: float
    ends_at: float
    next_at: float | None = None

    def is_open(self, now):
        """Return whether the request may be sent now."""
        return self.begins_at <= now <= self.ends_at
