"""Decision which events of a response continue a client's stream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JoinedEvents:
    """The events of a response, up to the first that does not follow.

    Parameters
    ----------
    data : bytes
        Bytes of the events that follow.
    last_event : int or None
        Number of the client's last event after them.
    has_unnumbered : bool
        Whether an event with content has no number.
    is_whole : bool
        Whether all of the events follow.
    """

    data: bytes
    last_event: int | None
    has_unnumbered: bool
    is_whole: bool


def join_consecutive(events, last_event, is_resumed):
    """Join the events that continue a client's stream.

    Parameters
    ----------
    events : list of StreamEvent
        Events of a response, in order.
    last_event : int or None
        Number of the client's last event, if it has one.
    is_resumed : bool
        Whether the response goes on with the stream of another one. Only numbers prove
        that its events do.

    Returns
    -------
    JoinedEvents
    """
    parts = []
    has_unnumbered = False
    for event in events:
        is_unproven = is_resumed and event.number is None
        if is_unproven or not _follows(event, last_event):
            return JoinedEvents(b"".join(parts), last_event, has_unnumbered, False)
        is_unnumbered = event.number is None and event.has_content
        has_unnumbered = has_unnumbered or is_unnumbered
        if event.number is not None:
            last_event = event.number
        parts.append(event.data)
    return JoinedEvents(b"".join(parts), last_event, has_unnumbered, True)


def _follows(event, last):
    """Return whether an event is unnumbered or directly follows number `last`."""
    return event.number is None or last is None or event.number == last + 1
