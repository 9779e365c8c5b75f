"""The side of tunnels that asks another instance for a connection to a server."""

import asyncio
from collections import deque

import structlog
from expression import Error, Ok

from ..peers.codec import encode
from ..peers.gen.loads.ttypes import TunnelNotice
from ..peers.rpc import MessageKind, PeerClient, RequestFault
from .connect_faults import ConnectFault
from .connections import Connection
from .tunnels import CHUNK_BYTES, MS_PER_S, TunnelFrame

log = structlog.get_logger(__name__)

TUNNEL_TIMEOUT_S = 0.5
# Time in which a new tunnel gets the request that it was opened for.
FIRST_USE_TIMEOUT_S = 0.2


class TunnelClient:
    """Opens connections to backend servers through other instances.

    Parameters
    ----------
    peers : TunnelPeers
        Orders the instances to ask.
    get_peers : callable
        Returns the Peer of each other instance, by incarnation.
    get_address : callable
        Takes an incarnation and returns the `IP:PORT` at which the instance serves
        its peers, or None.
    part : DescriptorPart
        Descriptors that tunnels may use.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, peers, get_peers, get_address, part, clock):
        self._part = part
        self._peers = peers
        self._get_peers = get_peers
        self._get_address = get_address
        self._clock = clock
        self._client = None

    def authenticate(self, secret, own_id):
        """Start to ask other instances, with the key of the fleet."""
        self._client = PeerClient(secret, own_id, TUNNEL_TIMEOUT_S)

    def rank_peers(self, server, allows_peer=None):
        """Return the instances to ask for a connection to a server, in order.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        allows_peer : callable or None
            Takes an incarnation and returns whether that instance may be asked; None
            if all may be.

        Returns
        -------
        list of str
        """
        if self._client is None:
            return []
        peers = self._get_peers()
        if allows_peer is not None:
            peers = {peer_id: p for peer_id, p in peers.items() if allows_peer(peer_id)}
        return self._peers.rank(server.failure_domain, peers, self._clock())

    async def open(self, peer_id, server):
        """Open a connection to a server through an instance.

        Parameters
        ----------
        peer_id : str
            Incarnation of the instance.
        server : RegisteredServer
            The server.

        Returns
        -------
        Result of Connection, or of ConnectFault or str
        """
        address = self._get_address(peer_id)
        if address is None:
            return Error("unknown instance")
        if not self._part.try_reserve():
            return Error(ConnectFault.DESCRIPTORS_FULL)
        connection = None
        try:
            result = await self._open(peer_id, address, server)
            connection = result.ok if result.is_ok() else None
        finally:
            if connection is None:
                self._part.release()
            else:
                connection.on_closed = self._part.release
        return result

    async def _open(self, peer_id, address, server):
        payload = server.id.encode()
        result = await self._client.open_stream(
            address, MessageKind.OPEN_TUNNEL, payload
        )
        if result.is_error() and result.error is RequestFault.DESCRIPTORS_FULL:
            return Error(ConnectFault.DESCRIPTORS_FULL)
        if result.is_error():
            self._peers.record_failure(peer_id, self._clock())
            return Error(f"tunnel {result.error.value}")
        self._peers.record_success(peer_id, self._clock())
        connection = Connection(peer_id)
        connection.connection_made(TunnelTransport(result.ok, connection))
        return Ok(connection)


class TunnelTransport:
    """The part of a transport that Connection uses, over a tunnel.

    What the other instance does not take yet is kept uncopied, and is dropped when the
    tunnel is aborted.

    Parameters
    ----------
    channel : Channel
        Connection to the other instance.
    connection : Connection
        Receives the bytes of the server.
    """

    def __init__(self, channel, connection):
        self._channel = channel
        self._connection = connection
        self._readable = asyncio.Event()
        self._readable.set()
        self._is_used = False
        self._unsent = deque()
        self._send_task = None
        self._read_task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self):
        try:
            await self._read_frames()
        except Exception:
            log.exception("tunnel failed")
            self._channel.close()
        finally:
            # The request would wait for its deadline.
            self._connection.connection_lost(None)

    async def _read_frames(self):
        while True:
            frame = await self._channel.read()
            if frame.is_error():
                return
            await self._readable.wait()
            kind, payload = frame.ok
            if kind == TunnelFrame.DATA.value:
                self._connection.data_received(payload)
            elif kind == TunnelFrame.END.value:
                self._connection.eof_received()
                return
            elif kind == TunnelFrame.STOPPING.value:
                self._retire()

    def _retire(self):
        """Serve no further request; the one that it was opened for may still come."""
        if self._is_used:
            self._connection.retire()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(FIRST_USE_TIMEOUT_S, self._connection.retire)

    def write(self, data):
        """Send bytes to the server."""
        self._is_used = True
        view = memoryview(data)
        for start in range(0, len(view), CHUNK_BYTES):
            self._unsent.append(view[start : start + CHUNK_BYTES])
        if self._send_task is None:
            self._send_next()
        if self._unsent and self._send_task is None:
            self._send_task = asyncio.get_running_loop().create_task(self._send_rest())

    def _send_next(self):
        self._channel.write(TunnelFrame.DATA.value, self._unsent.popleft())

    async def _send_rest(self):
        """Send chunk by chunk as the other instance takes them."""
        try:
            while self._unsent:
                await self._channel.writer.drain()
                self._send_next()
        except OSError:
            # `_read` reports the loss.
            self._unsent.clear()
        finally:
            self._send_task = None

    def get_write_buffer_size(self):
        """Return how many bytes the other instance has not taken yet."""
        unsent = sum(map(len, self._unsent))
        return unsent + self._channel.writer.transport.get_write_buffer_size()

    def is_closing(self):
        """Return whether the connection to the other instance is closed or lost."""
        return self._channel.is_closing

    def send_notice(self, notice):
        """Tell a ServerNotice to the instance that is connected to the server."""
        payload = encode(TunnelNotice(notice.is_leaving, int(notice.hold * MS_PER_S)))
        self._channel.write(TunnelFrame.NOTICE.value, payload)

    def pause_reading(self):
        """Deliver no more bytes until `resume_reading`."""
        self._readable.clear()

    def resume_reading(self):
        """Deliver bytes again."""
        self._readable.set()

    def abort(self):
        """Close the tunnel; the instance at its end then aborts the connection."""
        self._read_task.cancel()
        if self._send_task is not None:
            self._send_task.cancel()
        self._unsent.clear()
        self._channel.abort()

    def get_extra_info(self, name):
        """Return information on the connection to the other instance."""
        return self._channel.writer.get_extra_info(name)
