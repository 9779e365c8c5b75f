"""The HTTP/1.1 listener for clients.

`sanic` is not used because it reads its limits only at startup, whereas the manifest
changes them at run time, and because it does not notify a handler immediately when its
client disconnects. This module drives `httptools`, the parser that `sanic` uses,
directly.
"""

import asyncio
from collections import deque

import httptools

from ..bound_sockets import BACKLOG
from ..manifest import ClientLimits
from ..outcomes import Refusal, RefusalReason
from .requests import RawRequest
from .responder import Responder
from .socket_options import set_client_socket_options

WRITE_HIGH_WATER_BYTES = 256 * 1024
MAX_PIPELINED_REQUESTS = 8
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Listener:
    """Accepts client connections and tracks those that are open.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes a RawRequest and a Responder and sends the
        response.
    refuse : callable
        Takes a Responder and a Refusal and sends the error response.
    get_limits : callable
        Returns the current ClientLimits.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    closing : bool
        Whether responses carry `Connection: close`, so that clients reconnect.
    """

    def __init__(self, handle, refuse, get_limits, clock):
        self.handle = handle
        self.refuse = refuse
        self.get_limits = get_limits
        self.clock = clock
        self.closing = False
        self.connections = set()
        self._server = None

    async def serve(self, sock):
        """Accept connections on a socket that listens."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=BACKLOG
        )

    @property
    def is_open(self):
        """Whether the listener has its port."""
        return self._server is not None

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def in_flight(self):
        """Number of connections with a request in progress."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self):
        """Close all connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_accepting(self):
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()

    def abort(self):
        """Abort every connection immediately."""
        for connection in list(self.connections):
            connection.abort()


class ClientConnection(asyncio.Protocol):
    """A client connection: parses requests and handles them one after another."""

    def __init__(self, listener):
        self._listener = listener
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._limits = ClientLimits()
        self._pending = deque()
        self._handler_task = None
        self._timeout_handle = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._input_ended = False
        self._receiving = False
        self._reset_request()

    def _reset_request(self):
        self._target = b""
        self._headers = []
        self._body = []
        self._header_size = 0
        self._body_size = 0
        self._in_header = True

    @property
    def busy(self):
        """Whether a request is being handled or partially received."""
        return self._handler_task is not None or self._receiving

    # Called by the event loop.

    def connection_made(self, transport):
        """Configure the socket and start the idle timeout."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        set_client_socket_options(transport.get_extra_info("socket"))
        self._listener.connections.add(self)
        self._limits = self._listener.get_limits()
        self._start_timeout(self._limits.idle_timeout, self.close_if_idle)

    def data_received(self, data):
        """Feed received bytes to the parser; they may hold several requests."""
        if self._input_ended:
            return
        if self._in_header:
            self._header_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_and_close(
                _build_malformed_refusal("upgrades are not supported")
            )
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _LimitExceededError):
                self._refuse_and_close(cause.refusal)
            else:
                self._refuse_and_close(_build_malformed_refusal(str(error)))
        if self._receiving and self._in_header:
            self._check_header_size()

    def eof_received(self):
        """Close the connection: a half-closed one is treated as a disconnect."""
        return False

    def connection_lost(self, exc):
        """Cancel the request in progress after the client disconnected."""
        del exc
        self._listener.connections.discard(self)
        self._input_ended = True
        self._pending.clear()
        self._cancel_timeout()
        self._writable.set()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self):
        """Block writers in `wait_writable` until the write buffer has drained."""
        self._writable.clear()

    def resume_writing(self):
        """Unblock the writers that wait in `wait_writable`."""
        self._writable.set()

    # Called by the parser.

    def on_message_begin(self):
        """Reset the parsing state and start the receive timeout."""
        self._reset_request()
        self._receiving = True
        self._limits = self._listener.get_limits()
        self._start_timeout(self._limits.header_timeout, self._on_receive_timeout)

    def on_url(self, url):
        """Append a fragment of the request target."""
        self._target += url

    def on_header(self, name, value):
        """Store a request header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Check the header size and reply to `Expect: 100-continue`."""
        self._in_header = False
        size = sum(len(n) + len(v) + 4 for n, v in self._headers) + len(self._target)
        if size > self._limits.header_size:
            raise _LimitExceededError(_build_header_refusal(self._limits))
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.write(CONTINUE_RESPONSE)

    def on_body(self, data):
        """Append a body fragment and restart the receive timeout."""
        self._body_size += len(data)
        if self._body_size > self._limits.body_size:
            raise _LimitExceededError(_build_body_refusal(self._limits))
        self._body.append(data)
        self._start_timeout(self._limits.header_timeout, self._on_receive_timeout)

    def on_message_complete(self):
        """Queue the complete request for handling."""
        self._cancel_timeout()
        self._receiving = False
        self._in_header = True
        self._header_size = 0
        raw = RawRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            received_at=self._listener.clock(),
        )
        self._pending.append((raw, self._parser.should_keep_alive()))
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading()
        self._handle_next()

    def _pause_reading(self):
        if not self._transport.is_closing():
            self._transport.pause_reading()

    # Request handling.

    def _handle_next(self):
        if self._handler_task is not None or not self._pending:
            return
        raw, keep_alive = self._pending.popleft()
        self._cancel_timeout()
        coroutine = self._handle(raw, keep_alive)
        self._handler_task = asyncio.get_running_loop().create_task(coroutine)

    async def _handle(self, raw, keep_alive):
        """Handle a RawRequest, or send a Refusal that was queued in place of one."""
        is_refused = isinstance(raw, Refusal)
        is_head_request = not is_refused and raw.method == b"HEAD"
        responder = Responder(self, is_head_request, keep_alive)
        try:
            if is_refused:
                self._listener.refuse(responder, raw)
            else:
                await self._listener.handle(raw, responder)
        finally:
            self._handler_task = None
            self._finish_response(responder)

    def _finish_response(self, responder):
        if self._transport.is_closing():
            return
        if not responder.finished:
            self.abort()
            return
        if not responder.keep_alive:
            self._input_ended = True
            self._transport.close()
            return
        self._transport.resume_reading()
        if self._pending:
            self._handle_next()
        elif not self._receiving:
            self._start_timeout(self._limits.idle_timeout, self.close_if_idle)

    def write(self, data):
        """Write bytes to the transport.

        They are dropped if the client has left, of which `connection_lost` tells.
        """
        if not self._transport.is_closing():
            self._transport.write(data)

    async def wait_writable(self):
        """Wait until the write buffer is below its high-water mark."""
        await self._writable.wait()

    @property
    def closes_after_response(self):
        """Whether responses close the connection."""
        return self._listener.closing

    # Refusals, timeouts and closing.

    def _check_header_size(self):
        if self._header_size > self._limits.header_size:
            self._refuse_and_close(_build_header_refusal(self._limits))

    def _refuse_and_close(self, refusal):
        """Stop parsing, handle the queued requests, send the refusal and close."""
        if self._input_ended:
            return
        self._input_ended = True
        self._receiving = False
        self._cancel_timeout()
        self._pending.append((refusal, False))
        self._handle_next()

    def _on_receive_timeout(self):
        message = "the request did not arrive in time"
        self._refuse_and_close(Refusal(RefusalReason.RECEIVE_TIMEOUT, message))

    def close_if_idle(self):
        """Close the connection unless a request is in progress or queued."""
        if not self.busy and not self._pending:
            self._transport.close()

    def abort(self):
        """Reset the connection.

        With an orderly close, a client could mistake a truncated response for a
        complete one.
        """
        self._input_ended = True
        self._transport.abort()

    def _start_timeout(self, seconds, action):
        self._cancel_timeout()
        self._timeout_handle = asyncio.get_running_loop().call_later(seconds, action)

    def _cancel_timeout(self):
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
            self._timeout_handle = None


class _LimitExceededError(Exception):
    """Raised in a parser callback when a request exceeds a size limit."""

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


def _build_malformed_refusal(detail):
    return Refusal(RefusalReason.INVALID_REQUEST, f"malformed request: {detail}")


def _build_header_refusal(limits):
    message = f"the header is larger than {limits.header_size} bytes"
    return Refusal(RefusalReason.HEADER_TOO_LARGE, message)


def _build_body_refusal(limits):
    message = f"the body is larger than {limits.body_size} bytes"
    return Refusal(RefusalReason.REQUEST_TOO_LARGE, message)
