"""What a client has received of its stream, over all attempts."""

from dataclasses import dataclass

CONTENT_TYPE = b"content-type"


@dataclass(slots=True)
class StreamProgress:
    """The part of a stream that the client has received.

    Parameters
    ----------
    last_event : int or None
        Number of the last complete event that was forwarded.
    head_sent : bool
        Whether the status and headers were forwarded.
    status : int
        The status that was forwarded.
    media_type : bytes
        The Content-Type that was forwarded, without parameters.
    has_unnumbered : bool
        Whether an event without a number was forwarded, so that no other server can
        tell what the client has.
    first_event_at : float or None
        Monotonic time at which the first events were forwarded.
    last_event_at : float
        Monotonic time at which the last events were forwarded.
    max_gap : float
        Longest pause between two forwarded events, in seconds.
    """

    last_event: int | None = None
    head_sent: bool = False
    status: int = 0
    media_type: bytes = b""
    has_unnumbered: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0
    max_gap: float = 0.0

    @property
    def can_resume(self):
        """Whether another server can go on where the client's stream ends."""
        return not self.head_sent or not self.has_unnumbered

    def record_head(self, head):
        """Record the ResponseHead that is forwarded to the client."""
        self.head_sent = True
        self.status = head.status
        self.media_type = _get_media_type(head)

    def is_continued_by(self, head):
        """Return whether a successful response may go on with the client's stream.

        Parameters
        ----------
        head : ResponseHead
            Head of the response; the client keeps that of the first one.
        """
        if not self.head_sent:
            return True
        has_same_type = _get_media_type(head) == self.media_type
        return head.status == self.status and has_same_type

    def record_joined(self, joined):
        """Record the JoinedEvents that are forwarded to the client."""
        self.last_event = joined.last_event
        self.has_unnumbered = self.has_unnumbered or joined.has_unnumbered

    def record_events(self, now):
        """Update the times after events were forwarded."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.max_gap = max(self.max_gap, now - self.last_event_at)
        self.last_event_at = now


def _get_media_type(head):
    value = head.get_header(CONTENT_TYPE) or b""
    return value.partition(b";")[0].strip().lower()
