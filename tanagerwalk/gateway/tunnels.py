"""Connections to backend servers through another instance.

An instance that can't connect to a server asks another one to connect for it. The bytes
then pass in authenticated frames over the connection between the two instances. The end
of the server's stream is a frame of its own, so that a broken tunnel never looks like
the orderly end of a response.
"""

import asyncio
import math
from enum import Enum
from functools import partial

import structlog
from expression import Error, Ok

from ..controllers.loop import poll_until
from ..decisions.paths import PathState
from ..decisions.server_notices import ServerNotice, find_hold
from ..ids import BackendServerId
from ..peers.codec import decode
from ..peers.gen.loads.ttypes import TunnelNotice
from ..socket_options import has_pending_reset, set_socket_options
from .connect_faults import ConnectFault
from .connections import open_connection
from .peer_probes import PeerProbes

log = structlog.get_logger(__name__)

MS_PER_S = 1000.0
CHUNK_BYTES = 64 * 1024
# Each tunnel takes two descriptors.
MAX_TUNNELS = 200
# Buffers of a tunnel whose two ends take nothing.
TUNNEL_BYTES = 256 * 1024
# Between two looks for memory for a larger frame.
ROOM_INTERVAL_S = 0.05
SERVER_CONNECT_TIMEOUT_S = 0.25


class TunnelFrame(Enum):
    """Kind of a frame in an open tunnel.

    DATA: bytes of the connection to the server. END: the server has closed it.
    STOPPING: the instance at the other end stops, or the server wants no requests; the
    tunnel should not be reused.
    NOTICE: what the server has said about itself, for the instance connected to it.
    """

    DATA = 1
    END = 2
    STOPPING = 3
    NOTICE = 4


class TunnelFault(Enum):
    """Why an instance opens no tunnel to a server."""

    STOPPING = "stopping"
    TOO_MANY = "too_many"
    UNKNOWN_SERVER = "unknown_server"
    ON_HOLD = "on_hold"
    EVACUATED = "evacuated"
    UNREACHABLE = "unreachable"


class TunnelServer:
    """Connects to backend servers for other instances.

    Parameters
    ----------
    servers : ServerPool
        The registered servers; no other address is connected to.
    paths : PathTable
        Tells which servers this instance can't connect to either.
    memory : MemoryBudget
        Memory for the buffers of tunnels.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    dial : callable
        Opens a TCP connection, like `open_connection`.
    """

    def __init__(self, servers, paths, memory, clock):
        self._servers = servers
        self._paths = paths
        self._memory = memory
        self._clock = clock
        self._channels = {}
        self._stopping = False
        self.dial = open_connection

    @property
    def tunnel_count(self):
        """Number of open tunnels."""
        return len(self._channels)

    def stop_accepting(self):
        """Open no more tunnels, and ask the other ends not to reuse the open ones."""
        self._stopping = True
        _ask_for_no_reuse(self._channels)

    def retire(self, server_id):
        """Ask the other ends not to reuse the tunnels to a server.

        Parameters
        ----------
        server_id : BackendServerId
            A server that wants no requests, for a while or for good.
        """
        _ask_for_no_reuse(
            channel
            for channel, tunnel_server_id in self._channels.items()
            if tunnel_server_id == server_id
        )

    async def open(self, payload, sender):
        """Connect to the server whose id is the payload of a request.

        Returns
        -------
        Result of callable, or of str
            Coroutine function that serves the tunnel on a Channel, or the fault.
        """
        server_id = BackendServerId(payload.decode("utf-8", "replace"))
        result = await self._connect(server_id)
        if result.is_error():
            fault = result.error.value
            log.info("tunnel refused", server=server_id, peer=sender, fault=fault)
            return Error(fault)
        stream = result.ok
        return Ok(lambda channel: self._serve(channel, stream, server_id))

    async def _connect(self, server_id):
        if self._stopping:
            return Error(TunnelFault.STOPPING)
        if self.tunnel_count >= MAX_TUNNELS:
            return Error(TunnelFault.TOO_MANY)
        usage = self._servers.find(server_id)
        if usage is None or not usage.is_in_service:
            return Error(TunnelFault.UNKNOWN_SERVER)
        if usage.is_evacuated:
            return Error(TunnelFault.EVACUATED)
        if usage.held_until > self._clock():
            return Error(TunnelFault.ON_HOLD)
        if self._paths.get_state(server_id) is not PathState.DIRECT:
            return Error(TunnelFault.UNREACHABLE)
        if not self._memory.has_room(TUNNEL_BYTES):
            return Error(TunnelFault.TOO_MANY)
        result = await self.dial(
            usage.server.address, SERVER_CONNECT_TIMEOUT_S, _ServerStream
        )
        if result.is_ok():
            return result
        if isinstance(result.error, ConnectFault):
            return Error(TunnelFault.TOO_MANY)
        return Error(TunnelFault.UNREACHABLE)

    async def _serve(self, channel, stream, server_id):
        sock = channel.writer.get_extra_info("socket")
        set_socket_options(sock)
        probes = PeerProbes(sock)
        probes.start()
        self._channels[channel] = server_id
        self._memory.reserve(TUNNEL_BYTES)
        pumps = [
            asyncio.create_task(self._forward_requests(channel, stream, server_id)),
            asyncio.create_task(_forward_responses(stream, channel)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._channels[channel]
            self._memory.release(TUNNEL_BYTES)
            probes.stop()
            stream.abort()
            for pump in pumps:
                pump.cancel()
            _log_defects(await asyncio.gather(*pumps, return_exceptions=True))

    async def _forward_requests(self, channel, stream, server_id):
        """Write what comes through the tunnel to the server, until the tunnel ends."""
        memory = _FrameMemory(self._memory)
        try:
            await self._forward_frames(channel, stream, server_id, memory)
        finally:
            memory.release()

    async def _forward_frames(self, channel, stream, server_id, memory):
        while True:
            frame = await channel.read(wait_for_room=memory.reserve)
            if frame.is_error():
                return
            kind, payload = frame.ok
            if kind == TunnelFrame.DATA.value:
                if stream.writer.transport.is_closing():
                    return
                stream.writer.write(payload)
                await stream.writer.drain()
            elif kind == TunnelFrame.NOTICE.value:
                self._record_notice(server_id, payload)
            memory.release()

    def _record_notice(self, server_id, payload):
        result = decode(TunnelNotice, payload)
        if result.is_error():
            log.warning("malformed notice", server=server_id, problem=result.error)
            return
        hold = find_hold((result.ok.hold_ms or 0) / MS_PER_S)
        notice = ServerNotice(bool(result.ok.is_leaving), hold)
        if self._servers.record_notice(server_id, notice, self._clock()):
            log.info("server leaving", server=server_id, told_by="tunnel")


class _FrameMemory:
    """Memory of a frame that is larger than the buffers of its tunnel.

    Instances of earlier releases send whole bodies in one frame.
    """

    def __init__(self, budget):
        self._budget = budget
        self._size = 0

    async def reserve(self, size):
        """Wait until there is room for a frame, and count it."""
        if size <= CHUNK_BYTES:
            return
        has_room = partial(self._budget.has_room, size)
        await poll_until(has_room, ROOM_INTERVAL_S, math.inf)
        self._budget.reserve(size)
        self._size = size

    def release(self):
        """Release the memory of the frame."""
        if self._size:
            size, self._size = self._size, 0
            self._budget.release(size)


def _ask_for_no_reuse(channels):
    for channel in channels:
        channel.write(TunnelFrame.STOPPING.value, b"")


def _log_defects(results):
    """Log what is neither a cancellation nor the loss of a connection."""
    for result in results:
        if isinstance(result, Exception) and not isinstance(result, OSError):
            log.error("tunnel failed", problem=repr(result))


async def _forward_responses(stream, channel):
    """Write what the server sends to the tunnel, until it closes the connection."""
    while data := await stream.reader.read(CHUNK_BYTES):
        channel.write(TunnelFrame.DATA.value, data)
        await channel.writer.drain()
    if not stream.was_reset:
        channel.write(TunnelFrame.END.value, b"")
        await channel.writer.drain()


class _ServerStream(asyncio.StreamReaderProtocol):
    """Reader and writer of a connection to a server."""

    def __init__(self):
        self.reader = asyncio.StreamReader(limit=CHUNK_BYTES)
        self.writer = None
        self.was_reset = False
        self.closed = False
        self.on_closed = None
        self._probes = PeerProbes(None)
        super().__init__(self.reader)

    def connection_made(self, transport):
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        self._probes = PeerProbes(sock)
        self._probes.start()
        loop = asyncio.get_running_loop()
        self.writer = asyncio.StreamWriter(transport, self, self.reader, loop)

    def eof_received(self):
        self.was_reset = has_pending_reset(self.writer.transport)
        return super().eof_received()

    def connection_lost(self, exc):
        super().connection_lost(exc)
        self._probes.stop()
        self.closed = True
        self.report_closed()

    def report_closed(self):
        """Tell once whoever counts the open connections."""
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    def abort(self):
        """Abort the connection immediately."""
        self.writer.transport.abort()
