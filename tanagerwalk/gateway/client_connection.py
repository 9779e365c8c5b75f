"""A client's HTTP/1.1 connection: parsing, queueing and the answers in turn."""

import asyncio
import math
from collections import deque
from dataclasses import dataclass

from ..manifest import ClientLimits
from ..outcomes import Refusal
from ..socket_options import set_client_socket_options, set_reset_on_close
from .body_pace import BodyPace
from .connection_ends import EndCause, find_loss_cause
from .connection_timer import LAST_READ_S, ConnectionTimer
from .handled_request import HandledRequest
from .memory import CONNECTION_BYTES
from .receive_refusals import (
    LimitExceededError,
    build_header_refusal,
    build_memory_refusal,
    build_timeout_refusal,
)
from .request_assembly import RequestAssembly
from .request_handler import STOPPING_REFUSAL
from .request_memory import RequestMemory
from .request_parser import RequestParser
from .requests import RawRequest
from .responder import Responder
from .socket_input import has_unread_input
from .unread_answers import wait_until_taken

WRITE_HIGH_WATER_BYTES = 16 * 1024
MAX_PIPELINED_REQUESTS = 8
# Most that is parsed at once beside the rest of a body whose length is known. The
# parser can't stop within it, so that it bounds the requests beyond those above.
PARSED_BYTES = 1024
# After a refusal, what the client still sends is dropped until it pauses for so long,
# or takes too long in all. Closed with unread bytes, the connection would be reset, and
# the refusal could be lost.
LINGER_S = 2.0
MAX_LINGER_S = 10.0
# Part of the idle timeout that clients are told, so that no request crosses the close.
REUSABLE_SHARE = 0.8
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class _QueuedRequest:
    """A request that waits for those before it, or a Refusal in place of one."""

    content: RawRequest | Refusal
    keep_alive: bool
    memory: RequestMemory


class ClientConnection(asyncio.Protocol):
    """A client connection: parses requests and handles them one after another.

    The next one is handled once the client has taken the answer to the one before.
    """

    def __init__(self, listener):
        self._listener = listener
        self._transport = None
        self._parser = RequestParser(self)
        self._limits = ClientLimits()
        self._pending = deque()
        self._handler_task = None
        self._assembly = None
        # Received, but not parsed before some of the queued requests are answered.
        self._unparsed = b""
        self._pace = BodyPace(listener.clock)
        self._has_new_body = False
        self._owes_continue = False
        self._handled = HandledRequest(listener)
        self._timer = ConnectionTimer()
        self._writable = asyncio.Event()
        self._writable.set()
        self._input_ended = False
        # Whether the client has been told that no further request is handled.
        self._has_announced_end = False
        self._linger_ends_at = None
        # Whether another connection needs the place of this one.
        self._gives_way = False
        # Seconds.
        self._promised_reuse = 0
        self._end_cause = None

    @property
    def busy(self):
        """Whether a request is being handled or partially received."""
        return self._handler_task is not None or self._assembly is not None

    @property
    def has_unsent(self):
        """Whether the client hasn't taken all bytes that were written for it."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def has_unread(self):
        """Whether bytes wait in the socket that may belong to a request."""
        return not self._input_ended and has_unread_input(self._transport)

    # Called by the event loop.

    def connection_made(self, transport):
        """Configure the socket and start the idle timeout."""
        self._transport = transport
        # Tells when the client has left an answer, and when it has taken all of it.
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES, low=0)
        set_client_socket_options(transport.get_extra_info("socket"))
        self._listener.connections.add(self)
        self._listener.memory.reserve(CONNECTION_BYTES)
        if not self._listener.admission.admit(self):
            set_reset_on_close(transport.get_extra_info("socket"))
            self.abort(EndCause.NO_ROOM)
            return
        self._limits = self._listener.get_limits()
        self._await_request()

    def data_received(self, data):
        """Parse received bytes until enough requests are queued; keep the rest."""
        if self._linger_ends_at is not None:
            self._linger()
            return
        view = memoryview(data)
        start = 0
        while start < len(view) and not self._input_ended:
            if len(self._pending) >= MAX_PIPELINED_REQUESTS:
                self._keep_unparsed(bytes(view[start:]))
                return
            size = PARSED_BYTES
            if self._assembly is not None:
                size = max(size, self._assembly.missing_size)
            self._parse(view[start : start + size])
            start += size

    def _keep_unparsed(self, data):
        """Keep bytes for later; the client can't do anything about the delay."""
        self._listener.memory.reserve(len(data))
        self._unparsed = data
        self._timer.cancel()

    def _take_unparsed(self):
        data, self._unparsed = self._unparsed, b""
        self._listener.memory.release(len(data))
        return data

    def _read_on(self):
        """Parse what is left, and read again if that is not too much already."""
        data = self._take_unparsed()
        if data and not self._input_ended:
            self.data_received(data)
            if self._assembly is not None and not self._timer.is_set:
                self._await_rest()
        if not self._unparsed and len(self._pending) < MAX_PIPELINED_REQUESTS:
            self._transport.resume_reading()

    def _await_rest(self):
        if not self._owes_continue and not self._unparsed:
            self._timer.start(self._limits.header_timeout, self._on_receive_timeout)

    def _parse(self, data):
        try:
            self._parser.feed(data)
            self._check_framing()
        except LimitExceededError as error:
            self._refuse_and_close(error.refusal)
        if self._assembly is None or self._assembly.is_in_head:
            return
        if self._owes_continue:
            self._timer.cancel()
        elif self._has_new_body:
            # Once for all fragments: a body may come in chunks of one byte.
            self._has_new_body = False
            self._timer.start(self._limits.header_timeout, self._on_receive_timeout)

    def eof_received(self):
        """Close the connection: a half-closed one is treated as a disconnect."""
        self._note_end(EndCause.CLIENT_CLOSED)
        return False

    def connection_lost(self, exc):
        """Cancel the request in progress after the client disconnected."""
        self._note_end(find_loss_cause(exc) or EndCause.CLIENT_CLOSED)
        is_partial = self._assembly is not None
        end = self._handled.describe_end(
            self._end_cause, len(self._pending), is_partial
        )
        if end is not None:
            self._listener.on_unanswered(end)
        self._listener.connections.discard(self)
        self._listener.admission.leave(self)
        self._input_ended = True
        self._timer.cancel()
        self._writable.set()
        self._drop_received()
        self._take_unparsed()
        for queued in self._pending:
            queued.memory.release()
        self._pending.clear()
        self._listener.memory.release(CONNECTION_BYTES)
        if self._handler_task is None:
            self._handled.release()
            return
        # A task that is cancelled before its first step doesn't release anything.
        self._handler_task.add_done_callback(lambda _: self._handled.release())
        self._handler_task.cancel()

    def pause_writing(self):
        """Block writers in `wait_writable` until the write buffer is empty."""
        self._writable.clear()

    def resume_writing(self):
        """Unblock the writers in `wait_writable`, or take the next request."""
        self._writable.set()
        if self._handled.is_unread and not self._transport.is_closing():
            self._handled.release()
            self._continue()

    # Called by the parser.

    def on_message_begin(self):
        """Start to assemble a request, and the receive timeout."""
        self._listener.admission.end_idle(self)
        self._limits = self._listener.get_limits()
        memory = self._listener.memory.create_request_memory()
        self._pace.stop()
        self._assembly = RequestAssembly(
            self._limits, memory, self._listener.random, self._make_room
        )
        self._timer.start(self._limits.header_timeout, self._on_receive_timeout)

    def on_url(self, url):
        """Append a fragment of the request target."""
        self._assembly.add_target(url)

    def on_header(self, name, value):
        """Store a request header."""
        self._assembly.add_header(name, value)

    def on_headers_complete(self):
        """Check the sizes, reserve memory and reply to `Expect: 100-continue`."""
        self._pace.start()
        self._listener.admission.begin_body(self, self._limits.header_timeout)
        if not self._assembly.complete_head():
            return
        if not self._handled.is_set:
            self.write(CONTINUE_RESPONSE)
            return
        # It would end up inside the answer to another request. Until that has ended,
        # the client waits, and so do the limits of time for its body.
        self._owes_continue = True

    def on_body(self, data):
        """Append a body fragment; a client may send it without `100 Continue`."""
        self._owes_continue = False
        self._assembly.add_body(data)
        self._has_new_body = True
        self._listener.admission.add_body(self, len(data))

    def on_message_complete(self):
        """Queue the complete request for handling."""
        self._timer.cancel()
        self._owes_continue = False
        assembly, self._assembly = self._assembly, None
        self._listener.admission.end_body(self)
        raw = assembly.build(self._parser.method, self._listener.clock())
        keep_alive = self._parser.keep_alive
        if not keep_alive:
            # The client has said that this is its last request.
            self._input_ended = True
        self._pending.append(_QueuedRequest(raw, keep_alive, assembly.memory))
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading()
        self._handle_next()

    def _make_room(self):
        return self._listener.make_room(self)

    def measure_pace(self, now):
        """Return how fast the body of a request arrived since it was last measured.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Bytes per second, infinite without an unfinished body, for one that hasn't
            been expected for long, and while this instance keeps it waiting.
        """
        is_held_up = self._owes_continue or len(self._pending) >= MAX_PIPELINED_REQUESTS
        if self._assembly is None or is_held_up:
            return math.inf
        return self._pace.measure(self._assembly.body_size, now)

    def refuse_slow_body(self):
        """Refuse a request whose body arrives slowly, for the sake of others."""
        self._refuse_and_close(build_memory_refusal(self._listener.random))

    def _pause_reading(self):
        if not self._transport.is_closing():
            self._transport.pause_reading()

    # Request handling.

    def _handle_next(self):
        if self._handled.is_set or not self._pending:
            return
        queued = self._pending.popleft()
        self._handled.begin(queued.memory)
        coroutine = self._handle(queued.content, queued.keep_alive)
        self._handler_task = asyncio.get_running_loop().create_task(coroutine)

    async def _handle(self, raw, keep_alive):
        """Handle a RawRequest, or send a Refusal that was queued in place of one."""
        is_refused = isinstance(raw, Refusal)
        is_head_request = not is_refused and raw.method == b"HEAD"
        responder = Responder(self, is_head_request, keep_alive)
        responder.received_at = None if is_refused else raw.received_at
        self._handled.responder = responder
        try:
            if is_refused:
                self._listener.refuse(responder, raw)
            elif self._has_announced_end:
                self._listener.refuse(responder, STOPPING_REFUSAL)
            else:
                await self._listener.handle(raw, responder)
        finally:
            self._handler_task = None
            self._finish_response(responder, is_refused)

    def _finish_response(self, responder, is_refused):
        if self._transport.is_closing():
            self._handled.release()
            return
        if not responder.finished:
            has_begun = responder.started
            self.abort(EndCause.BROKEN_OFF if has_begun else EndCause.NO_ANSWER)
            self._handled.release()
            return
        self._handled.responder = None
        if not self._writable.is_set():
            self._handled.watch_unread(
                self._transport,
                self._limits.idle_timeout,
                responder,
                self._reset_stalled,
            )
        if responder.ends_by_stop:
            self._has_announced_end = True
        elif not responder.keep_alive:
            self._input_ended = True
            self._close(is_refused)
            return
        if not self._handled.is_unread:
            self._handled.release()
            self._continue()

    def _close(self, still_sends):
        """Close once everything has been taken; drop what the client still sends."""
        self._note_end(EndCause.AFTER_ANSWER)
        may_linger = still_sends and not self._gives_way
        if not may_linger or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        self._linger_ends_at = self._listener.clock() + MAX_LINGER_S
        self._listener.admission.begin_idle(self)
        self._linger()

    def _close_once_read(self):
        """Close behind an announced end; whole requests that wait are refused first."""
        if has_unread_input(self._transport):
            self._timer.start(LAST_READ_S, self._close_once_read)
            return
        self._input_ended = True
        is_partial = self._assembly is not None
        self._drop_received()
        self._close(is_partial)

    def _linger(self):
        """Close once the client has stopped sending for a moment."""
        left = max(0.0, self._linger_ends_at - self._listener.clock())
        self._timer.start(min(LINGER_S, left), self._transport.close)

    def _continue(self):
        """Take the next request, or wait for it."""
        if self._input_ended and not self._pending:
            return
        self._read_on()
        if self._handled.is_set:
            return
        self._listener.admission.renew_body(self)
        if self._pending:
            self._handle_next()
        elif self._has_announced_end:
            self._close_once_read()
        elif self._owes_continue:
            self._owes_continue = False
            self.write(CONTINUE_RESPONSE)
            self._timer.start(self._limits.header_timeout, self._on_receive_timeout)
        elif self._assembly is None:
            self._listener.admission.begin_idle(self)
            self._await_request()

    def _reset_stalled(self):
        self._listener.on_stalled_reader()
        self.abort(EndCause.STALLED_READER)

    def _drop_received(self):
        """Release what has been received of a request that will not be handled."""
        if self._assembly is not None:
            self._assembly.memory.release()
            self._assembly = None
            self._listener.admission.end_body(self)
            self._owes_continue = False

    def write(self, data):
        """Write bytes to the transport.

        They are dropped if the client has left, of which `connection_lost` tells.
        """
        if not self._transport.is_closing():
            self._transport.write(data)

    def write_parts(self, parts):
        """Write a list of bytes to the transport, without a copy of them all."""
        if not self._transport.is_closing():
            self._transport.writelines(parts)

    async def wait_writable(self):
        """Wait until the write buffer is empty; reset a client that takes nothing."""
        await wait_until_taken(
            self._transport, self._writable, self._listener.clock, self._reset_stalled
        )

    @property
    def closes_after_response(self):
        """Whether a response that begins now closes the connection.

        It does in a stop, unless another request is there or begins to arrive.
        """
        if not self._listener.closing:
            return False
        if self._listener.refusing:
            return True
        has_more = self._pending or self._unparsed or self._assembly is not None
        return not (has_more or has_unread_input(self._transport))

    def promise_reuse(self):
        """Return for how long the client may use the connection again.

        From now on the idle timeout is at least as long.

        Returns
        -------
        int
            Whole seconds, 0 for no promise.
        """
        self._promised_reuse = int(
            REUSABLE_SHARE * self._listener.get_limits().idle_timeout
        )
        return self._promised_reuse

    # Refusals, timeouts and closing.

    def _check_framing(self):
        """Check the size of what has arrived beside bodies, also between requests."""
        size = self._parser.framing_size
        if self._assembly is None:
            if size > self._limits.header_size:
                raise LimitExceededError(build_header_refusal(self._limits))
        elif self._assembly.is_in_head:
            self._assembly.check_partial_head(size)
        else:
            self._assembly.check_framing(size)

    def _refuse_and_close(self, refusal):
        """Stop parsing, handle the queued requests, send the refusal and close."""
        if self._input_ended:
            return
        self._input_ended = True
        self._timer.cancel()
        self._drop_received()
        memory = self._listener.memory.create_request_memory()
        self._pending.append(_QueuedRequest(refusal, False, memory))
        self._handle_next()

    def _on_receive_timeout(self):
        """Refuse the request; what waits in the socket is read before."""
        if has_unread_input(self._transport):
            self._timer.start(LAST_READ_S, self._refuse_late)
            return
        self._refuse_late()

    def _refuse_late(self):
        self._refuse_and_close(build_timeout_refusal())

    def _await_request(self):
        self._timer.start_idle(self._get_idle_timeout, self._close_after_timeout)

    def _get_idle_timeout(self):
        promised = self._promised_reuse / REUSABLE_SHARE
        return max(self._listener.get_limits().idle_timeout, promised)

    def _close_after_timeout(self):
        if has_unread_input(self._transport):
            self._timer.start(LAST_READ_S, self._close_after_timeout)
            return
        self.close_if_idle()

    def close_if_idle(self):
        """Close the connection unless a request is in progress, queued or unread.

        Returns
        -------
        bool
            Whether it has been closed.
        """
        has_request = self.busy or self._pending or self._handled.is_unread
        if has_request or has_unread_input(self._transport):
            return False
        self._note_end(EndCause.IDLE)
        self._transport.close()
        return True

    def give_way(self):
        """Close for the sake of another connection, if idle or after a refusal.

        Returns
        -------
        bool
            Whether it has been closed.
        """
        if self._linger_ends_at is None:
            return self.close_if_idle()
        self._transport.close()
        return True

    def refuse_to_give_way(self):
        """Refuse a request whose body is late, and close for another connection.

        Returns
        -------
        bool
            Whether it has been refused; not while another request is in progress on the
            connection, nor if bytes are unread.
        """
        has_other = self._handled.is_set or self._pending or self._input_ended
        if has_other or self._assembly is None or has_unread_input(self._transport):
            return False
        self._gives_way = True
        self._refuse_and_close(build_timeout_refusal())
        return True

    def abort(self, cause=EndCause.BROKEN_OFF):
        """Reset the connection.

        With an orderly close, a client could mistake a truncated response for a
        complete one.

        Parameters
        ----------
        cause : EndCause
            Why it is reset.
        """
        self._note_end(cause)
        self._input_ended = True
        self._transport.abort()

    def _note_end(self, cause):
        """Keep why the connection ends; what comes after that is only its effect."""
        if self._end_cause is None:
            self._end_cause = cause
