"""Serves the requests of other entry instances."""

import asyncio
from collections import Counter

import structlog

from ..bound_sockets import BACKLOG, bind_stream
from .frames import MAX_PAYLOAD_BYTES, Channel, FrameFault
from .rpc import STATUS_FAILED, STATUS_OK

log = structlog.get_logger(__name__)

HANDSHAKE_TIMEOUT_S = 5.0
SERVER_IDLE_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 1024


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
    """

    def __init__(self, secret):
        self.secret = secret
        self._handlers = {}
        self._stream_handlers = {}
        self._server = None
        self._connections = set()
        self.dropped = Counter()
        self.reserve = _always
        self.release = _ignore
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
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        is_full = len(self._connections) >= MAX_CONNECTIONS
        if self.secret is None or is_full or not self.reserve():
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
            self.release()
            channel.close()

    async def _serve_requests(self, channel):
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            handshake = await channel.handshake_as_server()
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
            channel.write(status, response)
            await channel.writer.drain()
            self.bytes_received += len(payload)
            self.bytes_sent += len(response)

    async def _serve_stream(self, channel, kind, payload, sender):
        result = await self._stream_handlers[kind](payload, sender)
        if result.is_error():
            channel.write(STATUS_FAILED, result.error.encode())
            await channel.writer.drain()
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


def _ignore():
    pass
