"""Splits a stream of server-sent events into complete events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
BLANK_LINES = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event: its bytes and its numeric id, if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    An engine may stop in the middle of an event. No part of that event may reach the
    client, because another engine sends the event again from its start.
    """

    def __init__(self):
        self._buffer = b""

    def feed(self, data):
        """Append bytes and return the events that are now complete."""
        self._buffer += data
        events = []
        while True:
            end = _find_event_end(self._buffer)
            if end is None:
                return events
            raw = self._buffer[:end]
            self._buffer = self._buffer[end:]
            events.append(StreamEvent(raw, _parse_number(raw)))

    @property
    def is_overlong(self):
        """Whether the buffer holds more than one event may have."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def has_partial(self):
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)


def _find_event_end(data):
    ends = [data.find(mark) + len(mark) for mark in BLANK_LINES if mark in data]
    return min(ends) if ends else None


def _parse_number(raw):
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
