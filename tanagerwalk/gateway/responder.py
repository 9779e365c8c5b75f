"""Serializes HTTP responses to clients."""

import structlog

from .response_heads import NO_BODY_STATUSES

# Larger bodies are not copied to join them to their heads.
MAX_JOINED_BYTES = 16 * 1024
log = structlog.get_logger(__name__)

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Responder:
    """Writes the response to one request.

    Attributes
    ----------
    started : bool
        Whether any part of the response has been sent.
    finished : bool
        Whether the complete response has been sent.
    keep_alive : bool
        Whether the connection stays open for further requests.
    ends_by_stop : bool
        Whether the client has been told that the connection closes for a stop alone.
    client_waits_until : float
        Monotonic time in seconds until which the client waits for the response.
    body_size : int
        Bytes of a complete body that was sent, 0 for a stream.
    request_id : bytes or None
        Id of the request, once it is known.
    received_at : float or None
        Monotonic time in seconds at which the request was received; None for one that
        was refused before its end.
    """

    def __init__(self, connection, is_head_request, keep_alive):
        self._connection = connection
        self.keep_alive = keep_alive
        self.ends_by_stop = False
        self.started = False
        self.finished = False
        self.client_waits_until = 0.0
        self.body_size = 0
        self.request_id = None
        self.received_at = None
        self._chunked = False
        self._has_no_body = is_head_request

    def send(self, status, reason, headers, body):
        """Send a complete response.

        Parameters
        ----------
        status : int
            Status code.
        reason : bytes
            Reason phrase; empty for the standard phrase of the status code.
        headers : list of tuple of (bytes, bytes)
            Response headers, excluding Content-Length and Transfer-Encoding.
        body : bytes
            Response body; not sent for a HEAD request, or with a status without one.
        """
        if self.started:
            # Whatever it is, it has no place in a response that has begun.
            log.error("second response dropped", status=status)
            self._connection.abort()
            return
        self._has_no_body |= status in NO_BODY_STATUSES
        length = (b"Content-Length", str(len(body)).encode())
        head = self._encode_head(status, reason, [*headers, length])
        self.started = True
        self.finished = True
        if self._has_no_body:
            self._connection.write(head)
        elif len(body) <= MAX_JOINED_BYTES:
            self._connection.write(head + body)
        else:
            self.body_size = len(body)
            self._connection.write_parts([head, body])

    def start_stream(self, status, reason, headers, first_chunk):
        """Send the head and the first chunk of a streamed response.

        The response to a HEAD request has no chunks, nor has a status without a body.
        """
        self._has_no_body |= status in NO_BODY_STATUSES
        self._chunked = True
        framing = (b"Transfer-Encoding", b"chunked")
        head = self._encode_head(status, reason, [*headers, framing])
        self.started = True
        self._connection.write(head + self._encode_chunk(first_chunk))

    async def write(self, data):
        """Send a chunk of a streamed response and wait for the write buffer."""
        chunk = self._encode_chunk(data)
        if not chunk:
            return
        self._connection.write(chunk)
        await self._connection.wait_writable()

    def finish_stream(self):
        """Send the terminating chunk of a streamed response."""
        self.finished = True
        if not self._has_no_body:
            self._connection.write(b"0\r\n\r\n")

    def _encode_chunk(self, data):
        if not data or self._has_no_body:
            return b""
        return b"%x\r\n%s\r\n" % (len(data), data)

    def _describe_connection(self):
        """Return the headers that say for how long the connection may be used."""
        if not self.keep_alive:
            return [(b"Connection", b"close")]
        seconds = self._connection.promise_reuse()
        if seconds == 0:
            return []
        return [(b"Keep-Alive", b"timeout=%d" % seconds)]

    def _encode_head(self, status, reason, headers):
        if self.keep_alive and self._connection.closes_after_response:
            self.keep_alive = False
            self.ends_by_stop = True
        headers = [*headers, *self._describe_connection()]
        phrase = reason or REASON_PHRASES.get(status, b"")
        lines = [b"HTTP/1.1 %d %s" % (status, phrase)]
        lines.extend(b"%s: %s" % header for header in headers)
        return b"\r\n".join(lines) + b"\r\n\r\n"
