"""Assembles responses from what the parser finds in the bytes of a connection."""

from collections import deque

import httptools

from .memory import HEADER_BYTES
from .response_heads import NO_BODY_STATUSES, ResponseHead, match_any_response

# Bytes of a response that are not its body: those of a head that does not end, of
# responses to others, and the framing of a body in tiny pieces.
MAX_OVERHEAD_BYTES = 1024 * 1024
# Most memory that a head takes, with the objects of its headers.
MAX_HEAD_BYTES = 1024 * 1024
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


class ResponseAssembly:
    """The responses of one connection, parsed but not read yet.

    Attributes
    ----------
    heads : collections.deque of ResponseHead
        Heads that have not been read.
    body : bytearray
        What has not been read of a body.
    has_body_end : bool
        Whether `body` is all that is left of it.
    is_in_head : bool
        Whether the head is still to come, or to be completed.
    pending_count : int
        Number of requests whose responses are incomplete.
    keep_alive : bool
        Whether another request can be sent after this one.
    """

    def __init__(self):
        self.heads = deque()
        self.body = bytearray()
        self.has_body_end = False
        self.is_in_head = True
        self.pending_count = 0
        self.keep_alive = True
        self._parser = httptools.HttpResponseParser(self)
        self._overhead_bytes = 0
        self._head_size = 0
        # Whether the last data had the end of a header, a head or a message.
        self._has_progress = False
        self._headers = []
        self._reason = b""
        self._body_size = None
        self._body_ends_at_close = False
        self._has_no_body = False
        self._is_discarding = False
        self._is_unfit = False
        self._matches_request = match_any_response

    def expect(self, matches_request, has_no_body):
        """Expect the response to another request.

        Parameters
        ----------
        matches_request : callable
            Takes a ResponseHead and returns whether it belongs to the request.
        has_no_body : bool
            Whether the response has no body regardless of its headers.
        """
        self._matches_request = matches_request
        self._has_no_body = has_no_body
        self._overhead_bytes = 0
        self._head_size = 0
        self.is_in_head = True
        self.pending_count += 1

    def feed(self, data):
        """Parse received bytes.

        Returns
        -------
        bool
            False if they are malformed, have a status or a transfer coding that isn't
            known, or too many of them are no part of a body.
        """
        self._overhead_bytes += len(data)
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        if self._is_unfit:
            return False
        if self.is_in_head and not self._is_discarding and not self._has_progress:
            # A part of a long header, which the parser keeps.
            self._head_size += len(data)
        is_overlong = self._overhead_bytes > MAX_OVERHEAD_BYTES
        return not is_overlong and self._head_size <= MAX_HEAD_BYTES

    def take_head(self):
        """Return the first head that has not been read."""
        self._head_size = 0
        return self.heads.popleft()

    def end_body(self):
        """Mark the body, and so the response, as complete."""
        self.has_body_end = True
        self.pending_count -= 1
        # It holds on to the request, and the connection may be kept for long.
        self._matches_request = match_any_response

    def drop(self):
        """Let go of what hasn't been read, and of the request.

        The parser and this object refer to each other, and would keep their memory
        until the next garbage collection.
        """
        self._parser = None
        self.body = bytearray()
        self._headers = []
        self._head_size = 0
        self._matches_request = match_any_response

    @property
    def size(self):
        """Bytes of memory that the head and the body take that were not read yet."""
        return self._head_size + len(self.body)

    @property
    def missing_size(self):
        """Bytes of the body that are still to come, or None if that is not known."""
        if self.is_in_head or self._body_size is None:
            return None
        return max(0, self._body_size - len(self.body))

    @property
    def ends_at_close(self):
        """Whether the expected response is delimited by the end of the connection."""
        return self._body_ends_at_close and self.pending_count > 0

    @property
    def is_empty(self):
        """Whether nothing is expected, and nothing is left to read."""
        return (
            self.pending_count == 0
            and not self.body
            and not self.has_body_end
            and not self.heads
        )

    # Called by the parser.

    def on_message_begin(self):
        """Clear the headers of the previous message."""
        self._headers = []
        self._reason = b""
        if self.pending_count == 0:
            # An extra response to the same request; no caller is waiting for it.
            self.keep_alive = False

    def on_status(self, status):
        """Append a fragment of the reason phrase."""
        self._reason += status

    def on_header(self, name, value):
        """Store a response header."""
        self._has_progress = True
        if self._is_discarding:
            # A trailer.
            return
        self._headers.append((name.lower(), value))
        self._head_size += HEADER_BYTES + len(name) + len(value)

    def on_headers_complete(self):
        """Queue the response head and determine how its body is delimited."""
        self._has_progress = True
        if self.pending_count == 0:
            return
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._is_unfit = True
            return
        if status < FIRST_FINAL_STATUS:
            self._drop_head()
            return
        head = ResponseHead(status, self._reason, self._headers)
        self._is_discarding = not self._matches_request(head)
        if self._is_discarding:
            # A late response to an earlier request; the expected one follows.
            self.keep_alive = False
            self._drop_head()
            return
        self.is_in_head = False
        self.keep_alive = self.keep_alive and self._parser.should_keep_alive()
        has_body = status not in NO_BODY_STATUSES and not self._has_no_body
        if has_body and head.has_unknown_coding:
            # What would be passed on is coded, and wouldn't say so.
            self._is_unfit = True
            return
        framed = head.get_header(b"content-length") or head.get_header(
            b"transfer-encoding"
        )
        self._body_size = head.content_length
        self._body_ends_at_close = has_body and framed is None
        self.heads.append(head)
        if self._has_no_body:
            # The parser can't be told, and would wait for the length in the head.
            self.keep_alive = False
            self.end_body()

    def _drop_head(self):
        """Let go of a head that is not that of the expected response."""
        self._headers = []
        self._head_size = 0

    def on_body(self, data):
        """Append a fragment of the body."""
        if self.pending_count == 0 or self._is_discarding:
            return
        self._overhead_bytes -= len(data)
        self.body += data

    def on_message_complete(self):
        """Mark the end of the body."""
        self._has_progress = True
        final = self._parser.get_status_code() >= FIRST_FINAL_STATUS
        if self._is_discarding:
            self._is_discarding = False
            return
        if final and self.pending_count and not self._body_ends_at_close:
            self.end_body()
