"""Splits a stream of server-sent events into complete events."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024
# Further blank lines belong to the event before.
BLANK_LINES = re.compile(rb"\n\n+|(?:\r\n){2,}")
MAX_BLANK_LINE_BYTES = 4
# More digits are no number of an event; `int` rejects thousands of them.
MAX_NUMBER_DIGITS = 15


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event: its bytes and its numeric id, if it has one.

    An event without content consists of comments and blank lines.
    """

    data: bytes
    number: int | None
    has_content: bool = True


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    An engine may stop in the middle of an event. No part of that event may reach the
    client, because another engine sends the event again from its start.

    Each byte is copied and searched once, however small the pieces are in which it
    comes.
    """

    def __init__(self):
        self._buffer = bytearray()
        # No blank line begins before.
        self._searched = 0

    def feed(self, data):
        """Append bytes and return the events that are now complete."""
        self._buffer += data
        events = []
        start = 0
        for match in BLANK_LINES.finditer(self._buffer, self._searched):
            raw = bytes(self._buffer[start : match.end()])
            events.append(_parse_event(raw))
            start = match.end()
        # A match keeps the buffer from being resized.
        match = None
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - MAX_BLANK_LINE_BYTES + 1)
        return events

    @property
    def is_overlong(self):
        """Whether the buffer holds more than one event may have."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def has_partial(self):
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)


def _parse_event(raw):
    has_content = False
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return StreamEvent(raw, _parse_digits(value.strip()))
        has_content = has_content or bool(name)
    return StreamEvent(raw, None, has_content)


def _parse_digits(digits):
    if not digits.isdigit() or len(digits) > MAX_NUMBER_DIGITS:
        return None
    return int(digits)
