"""Requests between entry instances: a client with a connection pool."""

import asyncio
import time
from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok

from ..bound_sockets import lacks_descriptors
from ..stalls import StallTolerantTimeout
from .frames import MAX_PAYLOAD_BYTES, Channel

CLIENT_IDLE_TIMEOUT_S = 60.0
MAX_IDLE_CONNECTIONS = 32

# Frame kinds of responses.
STATUS_OK = 254
STATUS_FAILED = 255


class MessageKind(Enum):
    """Kind of a request, sent as the kind of its frame."""

    EXCHANGE = 1
    FETCH_DECLARATION = 2
    KEEP_BILLS = 3
    DROP_BILLS = 4
    FETCH_CHANGES = 5
    OPEN_TUNNEL = 6
    FETCH_MANIFEST = 7


class RequestFault(Enum):
    """Why a request to a peer failed."""

    UNREACHABLE = "unreachable"
    DESCRIPTORS_FULL = "descriptors_full"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    FAILED = "failed"
    TOO_LARGE = "too_large"


def _classify(error):
    if lacks_descriptors(error):
        return RequestFault.DESCRIPTORS_FULL
    return RequestFault.UNREACHABLE


@dataclass(slots=True)
class _Connection:
    address: str
    channel: Channel
    used_at: float = 0.0


class PeerClient:
    """Sends requests to other entry instances over a pool of connections.

    A connection carries one request at a time, so that a large response does not
    delay other requests. If a pooled connection turns out to be broken, the request
    is retried once on a new connection. The peer may already have handled it, so
    handlers must be idempotent.

    Parameters
    ----------
    secret : str
        Secret that all instances share.
    own_id : InstanceId
        Id of this instance, sent to the peer as the sender.
    timeout : float
        Timeout of one request, including a retry, in seconds.
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
            `IP:PORT` of the peer.
        kind : MessageKind
            Kind of request.
        payload : bytes
            Encoded request.

        Returns
        -------
        Result of bytes, or of RequestFault
            After any fault but `TOO_LARGE`, the peer may have handled the request.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            return Error(RequestFault.TOO_LARGE)
        try:
            async with asyncio.timeout(self._timeout):
                return await self._request_with_retry(address, kind, payload)
        except TimeoutError:
            return Error(RequestFault.TIMED_OUT)
        except OSError as error:
            return Error(_classify(error))

    async def open_stream(self, address, kind, payload):
        """Send a request that takes over its connection.

        Parameters
        ----------
        address : str
            `IP:PORT` of the peer.
        kind : MessageKind
            Kind of request.
        payload : bytes
            Encoded request.

        Returns
        -------
        Result of Channel, or of RequestFault
        """
        try:
            async with StallTolerantTimeout(self._timeout):
                connection = await self._connect(address)
                if connection is None:
                    return Error(RequestFault.BROKEN)
                return await self._open_stream_on(connection.channel, kind, payload)
        except TimeoutError:
            return Error(RequestFault.TIMED_OUT)
        except OSError as error:
            return Error(_classify(error))

    async def _open_stream_on(self, channel, kind, payload):
        accepted = False
        try:
            channel.write(kind.value, payload)
            frame = await channel.read()
            accepted = frame.is_ok() and frame.ok[0] == STATUS_OK
        finally:
            if not accepted:
                channel.close()
        if accepted:
            return Ok(channel)
        return Error(RequestFault.BROKEN if frame.is_error() else RequestFault.FAILED)

    async def _request_with_retry(self, address, kind, payload):
        idle = self._take_idle(address)
        if idle is not None:
            result = await self._exchange_frames(idle, kind, payload)
            if result is not None:
                return result
        new = await self._connect(address)
        if new is None:
            return Error(RequestFault.BROKEN)
        result = await self._exchange_frames(new, kind, payload)
        return Error(RequestFault.BROKEN) if result is None else result

    def _take_idle(self, address):
        self._close_idle(time.monotonic() - CLIENT_IDLE_TIMEOUT_S)
        # uvloop raises RuntimeError for a write to a transport that was reset.
        self._idle = [c for c in self._idle if not c.channel.is_closing]
        for connection in reversed(self._idle):
            if connection.address == address:
                self._idle.remove(connection)
                return connection
        return None

    def _close_idle(self, used_before):
        while self._idle and self._idle[0].used_at < used_before:
            self._idle.pop(0).channel.close()

    async def _connect(self, address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        channel = Channel(reader, writer, self._secret)
        try:
            handshake = await channel.handshake_as_client(self._own_id)
        except BaseException:
            channel.close()
            raise
        if handshake.is_error():
            channel.close()
            return None
        return _Connection(address, channel)

    async def _exchange_frames(self, connection, kind, payload):
        """Send a request and return its result, or None if the connection broke."""
        channel = connection.channel
        is_intact = False
        try:
            channel.write(kind.value, payload)
            await channel.writer.drain()
            self.bytes_sent += len(payload)
            frame = await channel.read()
            is_intact = frame.is_ok()
        except ConnectionError:
            return None
        finally:
            if not is_intact:
                channel.close()
        if frame.is_error():
            return None
        status, response = frame.ok
        self.bytes_received += len(response)
        self._return_connection(connection)
        return Ok(response) if status == STATUS_OK else Error(RequestFault.FAILED)

    def _return_connection(self, connection):
        if self._closed:
            connection.channel.close()
            return
        connection.used_at = time.monotonic()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).channel.close()

    async def close(self):
        """Close the pooled connections; those in use close after their request."""
        self._closed = True
        while self._idle:
            self._idle.pop().channel.close()
