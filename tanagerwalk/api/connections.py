"""Connections of clients that keep within the limits of the process."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass

import structlog
from sanic.exceptions import SanicException
from sanic.http import Http
from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from ..memory import Memory, estimate_body_bytes
from ..outcomes import Refusal, RefusalReason

log = structlog.get_logger(__name__)

MEMORY_RETRY_AFTER_S = 1.0
RECEIVE_RETRY_AFTER_S = 1.0
# Memory of the objects for one received piece of a body, which may be a few bytes.
PIECE_BYTES = 64
# A connection whose head takes longer to arrive gives way to new ones.
MIN_HEAD_S = 1.0
# Pieces of a body after which other connections have their turn.
PIECES_PER_TURN = 16
# Bytes sent ahead, while a request runs, for which a connection gives way to new ones.
AHEAD_BYTES = 16 * 1024
# Socket buffer for unread answers; what exceeds it stays in the memory of the process.
SEND_BUFFER_BYTES = 128 * 1024


class RefusedError(SanicException):
    """A request that is refused before its body has been received.

    Parameters
    ----------
    refusal : Refusal
        The response to it.
    """

    quiet = True

    def __init__(self, refusal):
        super().__init__(refusal.message, status_code=refusal.http_status)
        self.refusal = refusal


@dataclass(slots=True)
class ConnectionBounds:
    """Limits that the connections of one listener keep, and what went over them.

    Parameters
    ----------
    memory : Memory
        Counts the bytes of bodies and of unread answers.
    max_connections : int
        Most connections that may be open.
    receive_timeout : float
        Longest time for a head, and longest silence within a body, in seconds.
    read_timeout : float
        Longest time in seconds that a client may read nothing of what waits for it.
    closed_idle, reset_new, reset_stalled : int
        Connections closed in favour of new ones, new ones that were reset unread, and
        clients reset as they had stopped reading.
    """

    memory: Memory
    max_connections: int
    receive_timeout: float
    read_timeout: float
    closed_idle: int = 0
    reset_new: int = 0
    reset_stalled: int = 0


class BoundedHttp(Http):
    """HTTP exchange whose body is reserved in memory before it is received."""

    __slots__ = ("_bounds", "_is_refused", "_piece_count", "_reserved", "head_since")

    def __init__(self, protocol):
        super().__init__(protocol)
        self._bounds = protocol.bounds
        self._reserved = 0
        self._is_refused = False
        self._piece_count = 0
        # Monotonic time at which the present head began to arrive, or None.
        self.head_since = None

    def init_for_request(self):
        """Give back what the previous request took."""
        super().init_for_request()
        self.release()
        self._is_refused = False

    @property
    def memory(self):
        """Memory of the process."""
        return self._bounds.memory

    def release(self):
        """Give back all reserved bytes."""
        if self._reserved:
            self._bounds.memory.release(self._reserved)
            self._reserved = 0

    def try_reserve(self, amount):
        """Reserve more bytes for the request; return whether they fit."""
        if not self._bounds.memory.try_reserve(amount):
            return False
        self._reserved += amount
        return True

    def reserve(self, amount):
        """Count bytes that the request takes already."""
        self._bounds.memory.reserve(amount)
        self._reserved += amount

    async def http1_request_header(self):
        """Receive the head, and reserve what its body will take.

        Raises
        ------
        RefusedError
            If there is no room for the body, or the head has not come in time.
        """
        # Other connections run between the requests that a client has sent ahead.
        await asyncio.sleep(0)
        self.head_since = self.protocol.loop.time()
        try:
            async with asyncio.timeout(self._bounds.receive_timeout):
                await super().http1_request_header()
        except TimeoutError:
            self.keep_alive = False
            raise RefusedError(make_receive_refusal()) from None
        finally:
            self.head_since = None
        # A larger body is refused as soon as it is read.
        if self.request_bytes and self.request_bytes <= self.request_max_size:
            self._reserve_body(self.request_bytes)

    async def read(self):
        """Read a part of the body.

        Raises
        ------
        RefusedError
            If there is no room for it, or the client has stopped sending.
        """
        before = self.request_bytes
        self._piece_count += 1
        if self._piece_count % PIECES_PER_TURN == 0:
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(self._bounds.receive_timeout):
                data = await super().read()
        except TimeoutError:
            self.request_body = None
            self.keep_alive = False
            raise RefusedError(make_receive_refusal()) from None
        grown = self.request_bytes - before
        if data and not self._is_refused:
            self._reserve_body(grown, PIECE_BYTES)
        return data

    def _reserve_body(self, size, overhead=0):
        amount = estimate_body_bytes(size) + overhead
        if self.try_reserve(amount):
            return
        self._is_refused = True
        self.keep_alive = False
        raise RefusedError(make_memory_refusal(self._bounds.memory, amount))


class BoundedConnection(HttpProtocol):
    """Connection that is within the limits of its listener's ConnectionBounds."""

    HTTP_CLASS = BoundedHttp
    __slots__ = ("_last_http", "_sending", "_stall_timer", "_unread", "bounds")

    def __init__(self, **options):
        super().__init__(**options)
        self.bounds = self.app.ctx.bounds
        self._unread = 0
        self._sending = 0
        self._stall_timer = None

    def connection_made(self, transport):
        """Accept a connection, if need be in place of another one."""
        super().connection_made(transport)
        # The client may have left already.
        with contextlib.suppress(OSError, ValueError):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if len(self.connections) <= self.bounds.max_connections:
            return
        other = self._find_replaceable()
        if other is not None:
            self.bounds.closed_idle += 1
            other.drop()
            return
        self.bounds.reset_new += 1
        self.drop()

    def _find_replaceable(self):
        """Return the connection that is idle longest, or one that misbehaves."""
        others = [c for c in self.connections if c is not self]
        idle = [c for c in others if c.is_idle()]
        if idle:
            return min(idle, key=lambda connection: connection.last_used)
        slow = [c for c in others if c.head_age >= MIN_HEAD_S]
        if slow:
            return max(slow, key=lambda connection: connection.head_age)
        return next((c for c in others if c.sends_ahead), None)

    @property
    def last_used(self):
        """Monotonic time at which something was sent or received."""
        return self._time

    def is_idle(self):
        """Return whether no request is being received or answered."""
        is_between = self.http is None or self.http.stage is Stage.IDLE
        return is_between and not self.recv_buffer and not self._unread

    @property
    def head_age(self):
        """Seconds since the head began that is being received, 0 without one."""
        if self.http is None or self.http.head_since is None:
            return 0.0
        return self.loop.time() - self.http.head_since

    @property
    def sends_ahead(self):
        """Whether many requests wait here for the one that runs."""
        if self.http is None or self.http.request_body is not None:
            return False
        return len(self.recv_buffer) >= AHEAD_BYTES

    def drop(self):
        """Close the connection at once."""
        self.connections.discard(self)
        self.abort()

    async def connection_task(self):
        """Serve the connection, and give back what its last request took."""
        try:
            await super().connection_task()
        finally:
            self._release_last()

    async def receive_more(self):
        """Receive more, unless the connection was dropped while it was idle."""
        if self.transport is None and self.http.stage is Stage.IDLE:
            raise asyncio.CancelledError
        await super().receive_more()

    def _setup_connection(self, *arguments, **options):
        super()._setup_connection(*arguments, **options)
        self._last_http = self._http

    def _release_last(self):
        self._last_http.release()

    async def send(self, data):
        """Send a part of a response."""
        self._sending = len(data)
        await super().send(data)

    def pause_writing(self):
        """Count what the client has not read, and watch whether it reads on."""
        super().pause_writing()
        size = self.transport.get_write_buffer_size()
        # What is sent stays in memory as a whole until its last byte is read.
        self._set_unread(max(size, self._sending))
        self._watch_reader(size)

    def resume_writing(self):
        """Give back what the client has read."""
        super().resume_writing()
        self._set_unread(0)
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _set_unread(self, size):
        self.bounds.memory.change_unread(size - self._unread)
        self._unread = size

    def _watch_reader(self, size):
        self._stall_timer = self.loop.call_later(
            self.bounds.read_timeout, self._check_reader, size
        )

    def _check_reader(self, earlier):
        """Reset a client that has read nothing since the last check."""
        if self.transport is None:
            return
        size = self.transport.get_write_buffer_size()
        if size < earlier:
            self._watch_reader(size)
            return
        self.bounds.reset_stalled += 1
        log.info("reader stopped", unread=size, seconds=self.bounds.read_timeout)
        self.abort()


def make_memory_refusal(memory, amount):
    """Return the refusal of a request for which memory has no room."""
    can_fit = memory.can_ever_fit(amount)
    return Refusal(
        RefusalReason.MEMORY_FULL,
        "this instance has no memory left for the request",
        retry_after=MEMORY_RETRY_AFTER_S if can_fit else None,
    )


def make_receive_refusal():
    """Return the refusal of a request that has not come as a whole."""
    return Refusal(
        RefusalReason.RECEIVE_TIMEOUT,
        "the request did not come in time",
        retry_after=RECEIVE_RETRY_AFTER_S,
    )
