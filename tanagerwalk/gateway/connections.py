"""Outgoing HTTP/1.1 connections, to backend servers and to the store.

An HTTP client library would retry requests based on their method, follow redirects or
decompress bodies. In the gateway the route determines what may be retried, and data
received while no response is pending must be detected, so `httptools` is used directly.
"""

import asyncio
import time
from collections import deque

import httptools
from expression import Error, Ok

from ..bound_sockets import lacks_descriptors
from ..stalls import StallTolerantTimeout
from .connect_faults import ConnectFault
from .memory import (
    HEADER_BYTES,
    MAX_READ_BYTES,
    SMALL_ANSWER_BYTES,
    TIGHT_ANSWER_BYTES,
    TIGHT_READ_BYTES,
    UNCOUNTED,
)
from .response_heads import ConnectionFailure, ResponseHead, match_any_response
from .socket_options import has_pending_reset, set_socket_options

READ_HIGH_WATER_BYTES = 64 * 1024
READ_LOW_WATER_BYTES = 16 * 1024
# Larger bodies of requests are not copied to join them to their heads.
MAX_JOINED_BYTES = 16 * 1024
# Most that a reader gets before other tasks have their turn.
MAX_CHUNK_BYTES = 16 * 1024
# Bytes of a response that are not its body: those of a head that does not end, of
# responses to others, and the framing of a body in tiny pieces.
MAX_OVERHEAD_BYTES = 1024 * 1024
# Most memory that a head takes, with the objects of its headers.
MAX_HEAD_BYTES = 1024 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
NO_BODY_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
# All connections receive into the same memory, as what is received is parsed at once.
READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))
TIGHT_READ_BUFFER = READ_BUFFER[:TIGHT_READ_BYTES]


class Connection(asyncio.BufferedProtocol):
    """A client connection that carries one request at a time, without pipelining.

    Parameters
    ----------
    via : str or None
        Incarnation of the instance through which the server is reached; None for a
        direct connection.

    Attributes
    ----------
    closed : bool
        Whether the connection has been closed or aborted.
    received : bool
        Whether any data was received since the last request was sent.
    has_waited : bool
        Whether the last response has waited for memory of this instance.
    opened_at : float
        Monotonic time at which it was opened, in seconds.
    on_closed : callable or None
        Called once without arguments when it is closed.
    """

    def __init__(self, via=None):
        self.via = via
        self.opened_at = time.monotonic()
        self.closed = False
        self.on_closed = None
        self.received = False
        self.has_waited = False
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._response_heads = deque()
        self._body = bytearray()
        self._memory = UNCOUNTED
        self._head_size = 0
        self._is_in_head = True
        self._held_size = 0
        self._reads_whole_body = False
        self._has_body_end = False
        self._is_paused = False
        self._overhead_bytes = 0
        self._waiter = None
        self._failure = ConnectionFailure.CLOSED
        self._clean_end = False
        self._headers = []
        self._reason = b""
        self._body_size = None
        self._body_ends_at_close = False
        self._has_no_body = False
        self._pending_responses = 0
        self._discarding = False
        self._matches_request = match_any_response
        self._keep_alive = True

    # Called by the event loop.

    def connection_made(self, transport):
        """Set the socket options that detect a dead peer early."""
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint):
        """Return memory for what comes next: little while memory is tight."""
        del sizehint
        return TIGHT_READ_BUFFER if self._memory.is_tight else READ_BUFFER

    def buffer_updated(self, nbytes):
        """Take what was received into the buffer."""
        self.data_received(READ_BUFFER[:nbytes])

    def data_received(self, data):
        """Feed received bytes to the parser; abort if no response is pending."""
        if self.closed:
            return
        if self._pending_responses == 0:
            self._fail(ConnectionFailure.CLOSED)
            return
        self.received = True
        self._overhead_bytes += len(data)
        head_size = self._head_size
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(ConnectionFailure.MALFORMED)
        if self._is_in_head and self._head_size == head_size:
            # A part of a long header, which the parser keeps.
            self._head_size += len(data)
        is_overlong = self._overhead_bytes > MAX_OVERHEAD_BYTES
        if is_overlong or self._head_size > MAX_HEAD_BYTES:
            self._fail(ConnectionFailure.MALFORMED)
        self._count_memory()
        self._pause_if_full()
        self._notify_reader()

    def _count_memory(self):
        """Tell how much memory the head and the body take that were not taken yet."""
        change = self._head_size + len(self._body) - self._held_size
        if change:
            self._held_size += change
            self._memory.hold(change)

    def _pause_if_full(self):
        if not self._is_open or self._is_paused or self._has_body_end:
            return
        is_tight = self._memory.is_tight
        if self._reads_whole_body or self._is_in_head:
            if self._head_size + len(self._body) <= (
                TIGHT_ANSWER_BYTES if is_tight else SMALL_ANSWER_BYTES
            ):
                return
            if self._memory.may_read_on(self._resume_transport, self._missing_size):
                return
            self.has_waited = True
        elif len(self._body) <= (
            TIGHT_ANSWER_BYTES if is_tight else READ_HIGH_WATER_BYTES
        ):
            return
        self._is_paused = True
        self._transport.pause_reading()

    @property
    def _missing_size(self):
        """Bytes of the body that are still to come, or None if that is not known."""
        if self._is_in_head or self._body_size is None:
            return None
        return max(0, self._body_size - len(self._body))

    def _resume_transport(self):
        self._is_paused = False
        if self._is_open:
            self._transport.resume_reading()

    def eof_received(self):
        """Complete a response that is delimited by the end of the connection."""
        if (
            self._body_ends_at_close
            and self._pending_responses
            and not has_pending_reset(self._transport)
        ):
            self._end_body()
        self._fail(ConnectionFailure.CLOSED)
        return False

    def connection_lost(self, exc):
        """Fail the pending response."""
        del exc
        self._fail(ConnectionFailure.CLOSED)

    # Called by the parser.

    def on_message_begin(self):
        """Clear the headers of the previous message."""
        self._headers = []
        self._reason = b""
        if self._pending_responses == 0:
            # An extra response to the same request; no caller is waiting for it.
            self._keep_alive = False

    def on_status(self, status):
        """Append a fragment of the reason phrase."""
        self._reason += status

    def on_header(self, name, value):
        """Store a response header."""
        self._headers.append((name.lower(), value))
        self._head_size += HEADER_BYTES + len(name) + len(value)

    def on_headers_complete(self):
        """Queue the response head and determine how its body is delimited."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self._pending_responses == 0:
            return
        head = ResponseHead(status, self._reason, self._headers)
        self._discarding = not self._matches_request(head)
        if self._discarding:
            # A late response to an earlier request; the expected one follows.
            self._keep_alive = False
            return
        self._is_in_head = False
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        framed = head.get_header(b"content-length") or head.get_header(
            b"transfer-encoding"
        )
        has_body = status not in NO_BODY_STATUSES and not self._has_no_body
        self._body_size = head.content_length
        self._body_ends_at_close = has_body and framed is None
        self._response_heads.append(head)
        if self._has_no_body:
            # The parser can't be told, and would wait for the length in the head.
            self._keep_alive = False
            self._end_body()

    def on_body(self, data):
        """Append a fragment of the body."""
        if self._pending_responses == 0 or self._discarding:
            return
        self._overhead_bytes -= len(data)
        self._body += data

    def on_message_complete(self):
        """Mark the end of the body."""
        final = self._parser.get_status_code() >= FIRST_FINAL_STATUS
        if self._discarding:
            self._discarding = False
            return
        if final and self._pending_responses and not self._body_ends_at_close:
            self._end_body()

    def _end_body(self):
        self._has_body_end = True
        self._pending_responses -= 1
        # It holds on to the request, and the connection may be kept for long.
        self._matches_request = match_any_response

    def _fail(self, failure):
        if self.closed:
            return
        self.closed = True
        self._failure = failure
        self._memory.stop_waiting()
        self._transport.abort()
        self.report_closed()
        self._notify_reader()

    def report_closed(self):
        """Tell once whoever counts the open connections."""
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    def _notify_reader(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def _is_open(self):
        # A reset closes the transport some turns before `connection_lost` is called.
        return not self.closed and not self._transport.is_closing()

    async def _wait_for_data(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # Public interface.

    def send(
        self,
        head,
        body=b"",
        has_no_body=False,
        matches_request=match_any_response,
        memory=UNCOUNTED,
    ):
        """Send a request.

        Parameters
        ----------
        head : bytes
            The head of the request, or all of it.
        body : bytes
            The body of the request.
        has_no_body : bool
            Whether the response has no body regardless of its headers, as for HEAD.
        matches_request : callable
            Takes a ResponseHead and returns whether it belongs to this request.
        memory : RequestMemory or UncountedMemory
            Counts what is held of the response.

        Returns
        -------
        Result of None, or of ConnectionFailure
            With an error nothing was written: the connection has been lost, which may
            happen right after it was opened.
        """
        if not self._is_open:
            # uvloop raises RuntimeError for a write to a connection that was lost.
            self._fail(ConnectionFailure.CLOSED)
            return Error(ConnectionFailure.CLOSED)
        self._matches_request = matches_request
        self.received = False
        self.has_waited = False
        self._overhead_bytes = 0
        self._has_no_body = has_no_body
        self._pending_responses += 1
        self._memory = memory
        self._head_size = 0
        self._is_in_head = True
        self._held_size = 0
        self._reads_whole_body = False
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)
        return Ok(None)

    async def read_head(self):
        """Wait for the head of the response.

        Its memory stays counted until that of its request is released.

        Returns
        -------
        Result of ResponseHead, or of ConnectionFailure
        """
        while not self._response_heads:
            if self.closed:
                return Error(self._failure)
            await self._wait_for_data()
        self._held_size -= self._head_size
        self._head_size = 0
        return Ok(self._response_heads.popleft())

    async def read_chunk(self):
        """Wait for the next part of the body, of at most MAX_CHUNK_BYTES.

        Other tasks have their turn before every call returns, even if the server sends
        as fast as it is read.

        Returns
        -------
        Result of bytes, or of ConnectionFailure
            Empty at the end of the body.
        """
        if self._body:
            await asyncio.sleep(0)
        while not self._body:
            if self._has_body_end:
                self._has_body_end = False
                return Ok(b"")
            if self.closed:
                return Error(self._failure)
            await self._wait_for_data()
        chunk = bytes(self._body[:MAX_CHUNK_BYTES])
        del self._body[:MAX_CHUNK_BYTES]
        self._count_memory()
        if self._is_paused and len(self._body) <= READ_LOW_WATER_BYTES:
            self._resume_transport()
        return Ok(chunk)

    async def read_body(self):
        """Read the remaining body, of at most MAX_BODY_BYTES.

        Its memory stays counted until that of its request is released.

        Returns
        -------
        Result of bytes-like, or of ConnectionFailure
        """
        self._reads_whole_body = True
        if self._is_paused:
            self._is_paused = False
            self._pause_if_full()
            if not self._is_paused:
                self._resume_transport()
        while not self._has_body_end:
            if len(self._body) > MAX_BODY_BYTES:
                self._fail(ConnectionFailure.MALFORMED)
            if self.closed:
                return Error(self._failure)
            await self._wait_for_data()
        self._has_body_end = False
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(ConnectionFailure.MALFORMED)
            return Error(ConnectionFailure.MALFORMED)
        body, self._body = self._body, bytearray()
        self._held_size = 0
        self._memory.end_reading()
        return Ok(body)

    def is_reusable(self):
        """Return whether another request can be sent on this connection."""
        is_idle = (
            self._pending_responses == 0
            and not self._body
            and not self._has_body_end
            and not self._response_heads
        )
        return self._is_open and is_idle and self._keep_alive and not self._has_unsent

    @property
    def _has_unsent(self):
        """Whether a part of the last request waits for the server to take it."""
        return self._transport.get_write_buffer_size() > 0

    def send_notice(self, notice):
        """Tell a ServerNotice to the instance through which the server is reached."""
        if self.via is not None and not self.closed:
            self._transport.send_notice(notice)

    def retire(self):
        """Serve no further request; close now if there is none."""
        self._keep_alive = False
        if self._pending_responses == 0:
            self._fail(ConnectionFailure.CLOSED)

    def abort(self):
        """Abort the connection immediately, and drop what hasn't been read."""
        self._fail(ConnectionFailure.CLOSED)
        # The parser refers to the connection. Without it, and what it holds of a head,
        # nothing stays until the garbage collector comes by.
        self._parser = None
        self._body = bytearray()
        self._headers = []
        self._head_size = 0
        self._count_memory()
        # It holds on to the request.
        self._matches_request = match_any_response


async def open_connection(address, timeout, create_protocol=Connection):
    """Open a TCP connection.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    timeout : float
        Connect timeout in seconds.
    create_protocol : callable
        Returns the protocol of the connection.

    Returns
    -------
    Result of asyncio.Protocol, or of ConnectFault or str
        The error is the name of the exception, or says that this process can't connect.
    """
    loop = asyncio.get_running_loop()
    try:
        async with StallTolerantTimeout(timeout):
            _, protocol = await loop.create_connection(create_protocol, *address)
    except (OSError, TimeoutError) as error:
        if lacks_descriptors(error):
            return Error(ConnectFault.DESCRIPTORS_FULL)
        return Error(type(error).__name__)
    return Ok(protocol)
