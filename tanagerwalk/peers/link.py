"""Requests between entry instances: a server and a client with kept connections."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import structlog
from expression import Error, Ok

from .frames import MAX_PAYLOAD_BYTES, Channel, FrameFault

log = structlog.get_logger(__name__)

HELLO_LIMIT_S = 5.0
SERVER_IDLE_LIMIT_S = 120.0
CLIENT_IDLE_LIMIT_S = 60.0
MAX_IDLE_CONNECTIONS = 32
MAX_CONNECTIONS = 1024

_ANSWERED = 254
_FAILED = 255


class MessageKind(Enum):
    """What a request asks for."""

    EXCHANGE = 1
    FETCH_DECLARATION = 2
    KEEP_BILLS = 3
    DROP_BILLS = 4


class LinkFault(Enum):
    """Why a request to a peer gave no answer."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    FAILED = "failed"
    TOO_LARGE = "too_large"


class PeerServer:
    """Answers the requests of other entry instances.

    Parameters
    ----------
    secret : str
        Shared by the fleet.

    Attributes
    ----------
    dropped : Counter of FrameFault
        Connections dropped for a bad frame.
    """

    def __init__(self, secret):
        self._secret = secret
        self._handlers = {}
        self._server = None
        self._connections = set()
        self.dropped = Counter()
        self.bytes_received = 0
        self.bytes_sent = 0

    def handle(self, kind, handler):
        """Answer requests of a kind.

        Parameters
        ----------
        kind : MessageKind
            The kind.
        handler : callable
            Coroutine function of payload (bytes) and sender (InstanceId) that
            returns the answer's payload.
        """
        self._handlers[kind.value] = handler

    async def start(self, address, port):
        """Listen.

        Raises
        ------
        OSError
            If the address is not to be had.
        """
        self._server = await asyncio.start_server(self._serve, address, port)

    @property
    def port(self):
        """The listening port; None before the start."""
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
        channel = Channel(reader, writer, self._secret)
        if len(self._connections) >= MAX_CONNECTIONS:
            channel.close()
            return
        self._connections.add(task)
        try:
            fault = await self._answer_all(channel)
            if fault is not FrameFault.CLOSED:
                self.dropped[fault] += 1
        except (TimeoutError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            channel.close()

    async def _answer_all(self, channel):
        async with asyncio.timeout(HELLO_LIMIT_S):
            welcomed = await channel.welcome()
        if welcomed.is_error():
            return welcomed.error
        while True:
            async with asyncio.timeout(SERVER_IDLE_LIMIT_S):
                frame = await channel.read()
            if frame.is_error():
                return frame.error
            kind, payload = frame.ok
            status, answer = await self._answer(kind, payload, welcomed.ok)
            channel.write(status, answer)
            await channel.writer.drain()
            self.bytes_received += len(payload)
            self.bytes_sent += len(answer)

    async def _answer(self, kind, payload, sender):
        handler = self._handlers.get(kind)
        if handler is None:
            return _FAILED, b""
        try:
            answer = await handler(payload, sender)
        except AssertionError:
            raise
        except Exception:
            log.exception("peer request failed", kind=kind, sender=sender)
            return _FAILED, b""
        if len(answer) > MAX_PAYLOAD_BYTES:
            log.error("answer to a peer is too large", kind=kind, size=len(answer))
            return _FAILED, b""
        return _ANSWERED, answer


@dataclass(slots=True)
class _Connection:
    address: str
    channel: Channel
    used_at: float = 0.0


class PeerClient:
    """Sends requests to other entry instances over kept connections.

    A connection carries one request at a time, so a large answer delays no other
    request. A request is sent again once, on a new connection, if the kept one had
    been closed; its handler must be idempotent.

    Parameters
    ----------
    secret : str
        Shared by the fleet.
    own_id : InstanceId
        What the receiver sees as the sender.
    timeout : float
        Time limit of one request, in seconds.
    """

    def __init__(self, secret, own_id, timeout):
        self._secret = secret
        self._own_id = own_id
        self._timeout = timeout
        self._idle = []
        self._closed = False
        self.bytes_sent = 0
        self.bytes_received = 0

    async def request(self, address, kind, payload):
        """Send one request.

        Parameters
        ----------
        address : str
            `IP:port` of the peer.
        kind : MessageKind
            What is asked for.
        payload : bytes
            The request.

        Returns
        -------
        Result of bytes, or of LinkFault
            Every fault but `TOO_LARGE` leaves open whether the peer acted.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            return Error(LinkFault.TOO_LARGE)
        try:
            async with asyncio.timeout(self._timeout):
                return await self._send(address, kind, payload)
        except TimeoutError:
            return Error(LinkFault.TIMED_OUT)
        except OSError:
            return Error(LinkFault.UNREACHABLE)

    async def _send(self, address, kind, payload):
        kept = self._take_idle(address)
        if kept is not None:
            result = await self._ask(kept, kind, payload)
            if result is not None:
                return result
        fresh = await self._connect(address)
        if fresh is None:
            return Error(LinkFault.BROKEN)
        result = await self._ask(fresh, kind, payload)
        return Error(LinkFault.BROKEN) if result is None else result

    def _take_idle(self, address):
        self._drop_idle(time.monotonic() - CLIENT_IDLE_LIMIT_S)
        for connection in reversed(self._idle):
            if connection.address == address:
                self._idle.remove(connection)
                return connection
        return None

    def _drop_idle(self, used_before):
        while self._idle and self._idle[0].used_at < used_before:
            self._idle.pop(0).channel.close()

    async def _connect(self, address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        channel = Channel(reader, writer, self._secret)
        try:
            greeted = await channel.greet(self._own_id)
        except BaseException:
            channel.close()
            raise
        if greeted.is_error():
            channel.close()
            return None
        return _Connection(address, channel)

    async def _ask(self, connection, kind, payload):
        """Return the answer, or None if the connection broke."""
        channel = connection.channel
        keep = False
        try:
            channel.write(kind.value, payload)
            await channel.writer.drain()
            self.bytes_sent += len(payload)
            frame = await channel.read()
            keep = frame.is_ok()
        except ConnectionError:
            return None
        finally:
            if not keep:
                channel.close()
        if frame.is_error():
            return None
        status, answer = frame.ok
        self.bytes_received += len(answer)
        self._keep(connection)
        return Ok(answer) if status == _ANSWERED else Error(LinkFault.FAILED)

    def _keep(self, connection):
        if self._closed:
            connection.channel.close()
            return
        connection.used_at = time.monotonic()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).channel.close()

    async def close(self):
        """Close the kept connections."""
        self._closed = True
        while self._idle:
            self._idle.pop().channel.close()
