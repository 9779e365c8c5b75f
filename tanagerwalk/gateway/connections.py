"""Outgoing HTTP/1.1 connections, to backend servers and to the store.

An HTTP client library would retry requests based on their method, follow redirects or
decompress bodies. In the gateway the route determines what may be retried, and data
received while no response is pending must be detected, so `httptools` is used directly.
"""

import asyncio
import time

from expression import Error, Ok

from ..bound_sockets import lacks_descriptors
from ..socket_options import has_pending_reset, measure_silence, set_socket_options
from ..stalls import StallTolerantTimeout
from .answer_queue import (
    MAX_READ_BYTES,
    SMALL_ANSWER_BYTES,
    TIGHT_ANSWER_BYTES,
    TIGHT_READ_BYTES,
)
from .connect_faults import ConnectFault
from .peer_probes import PeerProbes
from .request_memory import UNCOUNTED
from .response_assembly import ResponseAssembly
from .response_heads import ConnectionFailure, match_any_response

READ_HIGH_WATER_BYTES = 64 * 1024
READ_LOW_WATER_BYTES = 16 * 1024
# Larger bodies of requests are not copied to join them to their heads.
MAX_JOINED_BYTES = 16 * 1024
# Most that a reader gets before other tasks have their turn.
MAX_CHUNK_BYTES = 16 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
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
    idle_since, idle_until : float or None
        Monotonic times, in seconds, at which it was last put into a pool and at which
        it expires there; None if it has not been in one.
    loss : str or None
        Name of the error with which it broke, None without one.
    on_closed : callable or None
        Called once without arguments when it is closed.
    on_lost : callable or None
        Called without arguments when the other end closes it, or it breaks.
    """

    def __init__(self, via=None):
        self.via = via
        self.opened_at = time.monotonic()
        self.idle_since = None
        self.idle_until = None
        self.closed = False
        self.loss = None
        self.on_closed = None
        self.on_lost = None
        self.received = False
        self.has_waited = False
        self._transport = None
        self._probes = PeerProbes(None)
        self._responses = ResponseAssembly()
        self._memory = UNCOUNTED
        self._held_size = 0
        self._reads_whole_body = False
        self._is_paused = False
        self._waiter = None
        self._failure = ConnectionFailure.CLOSED

    # Called by the event loop.

    def connection_made(self, transport):
        """Set the socket options that detect a dead peer early."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        self._probes = PeerProbes(sock)

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
        if self._responses.pending_count == 0:
            self._fail(ConnectionFailure.CLOSED)
            return
        self.received = True
        if not self._responses.feed(data):
            self._fail(ConnectionFailure.MALFORMED)
        if self._responses.pending_count == 0:
            self._probes.stop()
        self._count_memory()
        self._pause_if_full()
        self._notify_reader()

    def _count_memory(self):
        """Tell how much memory the head and the body take that were not taken yet."""
        change = self._responses.size - self._held_size
        if change:
            self._held_size += change
            self._memory.hold(change)

    def _pause_if_full(self):
        if not self._is_open or self._is_paused or self._responses.has_body_end:
            return
        is_tight = self._memory.is_tight
        if self._reads_whole_body or self._responses.is_in_head:
            if self._responses.size <= (
                TIGHT_ANSWER_BYTES if is_tight else SMALL_ANSWER_BYTES
            ):
                return
            if self._memory.may_read_on(
                self._resume_transport, self._responses.missing_size
            ):
                return
            self.has_waited = True
        elif len(self._responses.body) <= (
            TIGHT_ANSWER_BYTES if is_tight else READ_HIGH_WATER_BYTES
        ):
            return
        self._is_paused = True
        self._transport.pause_reading()

    def _resume_transport(self):
        self._is_paused = False
        if self._is_open:
            self._transport.resume_reading()

    def eof_received(self):
        """Complete a response that is delimited by the end of the connection."""
        if self._responses.ends_at_close and not self._was_reset():
            self._responses.end_body()
        self._report_lost()
        self._fail(ConnectionFailure.CLOSED)
        return False

    def _was_reset(self):
        # The instance at the other end of a tunnel reports no end after a reset.
        return self.via is None and has_pending_reset(self._transport)

    def connection_lost(self, exc):
        """Fail the pending response."""
        if exc is not None:
            self.loss = type(exc).__name__
        self._report_lost()
        self._fail(ConnectionFailure.CLOSED)

    def _fail(self, failure):
        if self.closed:
            return
        self.closed = True
        self._failure = failure
        self._memory.stop_waiting()
        self._probes.stop()
        self._transport.abort()
        self.report_closed()
        self._notify_reader()

    def report_closed(self):
        """Tell once whoever counts the open connections."""
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    def _report_lost(self):
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None and not self.closed:
            on_lost()

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
        self.received = False
        self.has_waited = False
        self._responses.expect(matches_request, has_no_body)
        self._memory = memory
        self._held_size = 0
        self._reads_whole_body = False
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)
        self._probes.start()
        return Ok(None)

    async def read_head(self):
        """Wait for the head of the response.

        Its memory stays counted until that of its request is released.

        Returns
        -------
        Result of ResponseHead, or of ConnectionFailure
        """
        while not self._responses.heads:
            if self.closed:
                return Error(self._failure)
            await self._wait_for_data()
        head = self._responses.take_head()
        # Its memory stays counted as the request's.
        self._held_size = self._responses.size
        return Ok(head)

    async def read_chunk(self):
        """Wait for the next part of the body, of at most MAX_CHUNK_BYTES.

        Other tasks have their turn before every call returns, even if the server sends
        as fast as it is read.

        Returns
        -------
        Result of bytes, or of ConnectionFailure
            Empty at the end of the body.
        """
        if self._responses.body:
            await asyncio.sleep(0)
        while not self._responses.body:
            if self._responses.has_body_end:
                self._responses.has_body_end = False
                return Ok(b"")
            if self.closed:
                return Error(self._failure)
            await self._wait_for_data()
        chunk = bytes(self._responses.body[:MAX_CHUNK_BYTES])
        del self._responses.body[:MAX_CHUNK_BYTES]
        self._count_memory()
        if self._is_paused and len(self._responses.body) <= READ_LOW_WATER_BYTES:
            self._resume_transport()
        return Ok(chunk)

    async def read_body(self, max_bytes=MAX_BODY_BYTES):
        """Read the remaining body, of at most `max_bytes`.

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
        while not self._responses.has_body_end:
            if len(self._responses.body) > max_bytes:
                self._fail(ConnectionFailure.MALFORMED)
            if self.closed:
                return Error(self._failure)
            await self._wait_for_data()
        self._responses.has_body_end = False
        if len(self._responses.body) > max_bytes:
            self._fail(ConnectionFailure.MALFORMED)
            return Error(ConnectionFailure.MALFORMED)
        body, self._responses.body = self._responses.body, bytearray()
        self._held_size = 0
        self._memory.end_reading()
        return Ok(body)

    def is_reusable(self):
        """Return whether another request can be sent on this connection."""
        is_idle = self._responses.is_empty and not self._has_unsent
        return self._is_open and is_idle and self._responses.keep_alive

    def measure_silence(self):
        """Return for how long the other end has sent nothing, in seconds."""
        sock = self._transport.get_extra_info("socket")
        return 0.0 if sock is None else measure_silence(sock)

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
        self._responses.keep_alive = False
        if self._responses.pending_count == 0:
            self._fail(ConnectionFailure.CLOSED)

    def abort(self):
        """Abort the connection immediately, and drop what hasn't been read."""
        self._fail(ConnectionFailure.CLOSED)
        self._responses.drop()
        self._count_memory()


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
