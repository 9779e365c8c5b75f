"""Serves the requests of other entry instances."""

import asyncio
import time
from collections import Counter

import structlog

from ..bound_sockets import BACKLOG, bind_stream
from .frames import MAX_PAYLOAD_BYTES, Channel, FrameFault
from .rpc import STATUS_FAILED, STATUS_OK

log = structlog.get_logger(__name__)

HANDSHAKE_TIMEOUT_S = 5.0
# Seconds that a handshake has before another connection may take its place.
MIN_HANDSHAKE_S = 0.25
SERVER_IDLE_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 1024
# Longer than any peer waits for its answer.
SEND_TIMEOUT_S = 10.0
# For the last bytes of a connection that is closed.
CLOSE_TIMEOUT_S = 2.0
# Answers under way to all peers together.
MAX_UNSENT_BYTES = 16 * 1024 * 1024


class PeerServer:
    """Serves the requests of other entry instances.

    Parameters
    ----------
    secret : str or None
        Secret that all instances share; None closes every connection.

    Attributes
    ----------
    dropped : Counter of FrameFault
        Number of connections closed because of an invalid frame, by fault.
    reserve : callable
        Returns whether there is a descriptor for one more connection.
    release : callable
        Gives the descriptor back.
    hold_memory : callable
        Takes by how many bytes the answers under way have grown, or shrunk.
    """

    def __init__(self, secret):
        self.secret = secret
        self._handlers = {}
        self._stream_handlers = {}
        self._server = None
        self._connections = set()
        # When connections that have not authenticated themselves yet were opened, the
        # oldest first.
        self._handshakes = {}
        # Connections that were reset, whose descriptors others use.
        self._replaced = set()
        self._is_stopping = False
        self.dropped = Counter()
        self.reserve = _always
        self.release = _ignore
        self.hold_memory = _ignore
        self._unsent_bytes = 0
        self.bytes_received = 0
        self.bytes_sent = 0

    def register_handler(self, kind, handler):
        """Register the handler for requests of a kind.

        Parameters
        ----------
        kind : MessageKind
            Kind of request.
        handler : callable
            Coroutine function that takes the payload (bytes) and the sender
            (InstanceId) and returns the payload of the response. An exception is
            logged and reported to the client as a failed request; an AssertionError
            closes the connection.
        """
        self._handlers[kind.value] = handler

    def register_stream_handler(self, kind, open_stream):
        """Register the handler of requests that take over their connection.

        Parameters
        ----------
        kind : MessageKind
            Kind of request.
        open_stream : callable
            Coroutine function that takes the payload (bytes) and the sender
            (InstanceId). It returns a Result of a coroutine function that takes the
            Channel and uses it until it returns, or of an error text.
        """
        self._stream_handlers[kind.value] = open_stream

    async def start(self, address, port):
        """Start to listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        result = bind_stream((address, port))
        if result.is_error():
            raise result.error
        await self.serve(result.ok)

    async def serve(self, sock):
        """Accept connections on a bound socket."""
        self._server = await asyncio.start_server(
            self._serve, sock=sock, backlog=BACKLOG
        )

    @property
    def port(self):
        """The listening port, or None before `start`."""
        if self._server is None:
            return None
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listener and every connection."""
        if self._server is None:
            return
        self._server.close()
        self._is_stopping = True
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        if self.secret is None or not self._admit():
            writer.close()
            return
        channel = Channel(reader, writer, self.secret)
        self._connections.add(task)
        try:
            fault = await self._serve_requests(channel)
            if fault is not FrameFault.CLOSED:
                self.dropped[fault] += 1
        except (TimeoutError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            try:
                await self._close(channel)
            finally:
                self._release(channel)

    def _admit(self):
        """Return whether there is a descriptor for one more connection.

        If there is none, the connection that has been in its handshake for longest is
        reset, if that is for MIN_HANDSHAKE_S at least, and its descriptor is used.
        """
        if len(self._connections) < MAX_CONNECTIONS and self.reserve():
            return True
        if not self._handshakes:
            return False
        oldest, opened_at = next(iter(self._handshakes.items()))
        if time.monotonic() - opened_at < MIN_HANDSHAKE_S:
            return False
        del self._handshakes[oldest]
        self._replaced.add(oldest)
        oldest.writer.transport.abort()
        return True

    def _release(self, channel):
        if channel not in self._replaced:
            self.release()
        self._replaced.discard(channel)

    async def _shake_hands(self, channel):
        self._handshakes[channel] = time.monotonic()
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                result = await channel.handshake_as_server()
            if result.is_error():
                channel.writer.transport.abort()
            return result
        finally:
            self._handshakes.pop(channel, None)

    async def _serve_requests(self, channel):
        handshake = await self._shake_hands(channel)
        if handshake.is_error():
            return handshake.error
        while True:
            async with asyncio.timeout(SERVER_IDLE_TIMEOUT_S):
                frame = await channel.read()
            if frame.is_error():
                return frame.error
            kind, payload = frame.ok
            if kind in self._stream_handlers:
                await self._serve_stream(channel, kind, payload, handshake.ok)
                return FrameFault.CLOSED
            status, response = await self._dispatch(kind, payload, handshake.ok)
            sent = await self._send(channel, status, response)
            self.bytes_received += len(payload)
            self.bytes_sent += sent
            del payload, response

    async def _send(self, channel, status, response):
        """Send an answer if there is room, and return its size in bytes.

        A peer that doesn't read holds it up until SEND_TIMEOUT_S, so that many could
        fill the memory.
        """
        size = len(response)
        if self._unsent_bytes + size > MAX_UNSENT_BYTES:
            log.warning("too many answers to peers under way", size=size)
            status, response, size = STATUS_FAILED, b"", 0
        self._count_unsent(size)
        try:
            channel.write(status, response)
            del response
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await channel.writer.drain()
        finally:
            self._count_unsent(-size)
        return size

    async def _close(self, channel):
        """Close a connection, and abort it if its last bytes are not taken."""
        channel.close()
        if self._is_stopping:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await channel.writer.wait_closed()
        except (TimeoutError, OSError):
            channel.writer.transport.abort()

    def _count_unsent(self, change):
        self._unsent_bytes += change
        self.hold_memory(change)

    async def _serve_stream(self, channel, kind, payload, sender):
        result = await self._stream_handlers[kind](payload, sender)
        if result.is_error():
            await self._send(channel, STATUS_FAILED, result.error.encode())
            return
        channel.write(STATUS_OK, b"")
        await result.ok(channel)

    async def _dispatch(self, kind, payload, sender):
        handler = self._handlers.get(kind)
        if handler is None:
            return STATUS_FAILED, b""
        try:
            response = await handler(payload, sender)
        except AssertionError:
            raise
        except Exception:
            log.exception("peer request failed", kind=kind, sender=sender)
            return STATUS_FAILED, b""
        if len(response) > MAX_PAYLOAD_BYTES:
            log.error("response to a peer is too large", kind=kind, size=len(response))
            return STATUS_FAILED, b""
        return STATUS_OK, response


def _always():
    return True


def _ignore(*arguments):
    del arguments
