"""Network path from one gateway instance to all backend servers, which can be cut."""

import asyncio
from enum import Enum

from expression import Error

from ..gateway.connections import Connection, open_connection

# Time after which the kernel's timeouts end a connection whose peer is out of reach.
DEAD_CONNECTION_TIMEOUT_S = 3.0


class Cut(Enum):
    """How the path is cut.

    SILENT: open connections and new ones hang. RESET: open connections are reset and
    new ones refused. REFUSED: open connections live on and new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"


class ServerPath:
    """Opens the connections of one gateway instance to backend servers.

    Parameters
    ----------
    instance : GatewayInstance
        The instance, which from now on connects through this path.
    """

    def __init__(self, instance):
        self._cut = None
        self._connections = []
        instance.connection_pool.connector.dial = self._dial
        instance.tunnel_server.dial = self._dial

    def cut(self, how):
        """Cut the path."""
        self._cut = how
        if how is Cut.REFUSED:
            return
        loop = asyncio.get_running_loop()
        for connection in self._connections:
            if how is Cut.RESET:
                connection.abort()
            elif not connection.closed:
                _silence(connection)
                loop.call_later(DEAD_CONNECTION_TIMEOUT_S, connection.abort)

    def heal(self):
        """Let new connections through."""
        self._cut = None

    async def _dial(self, address, timeout, create_protocol=Connection):
        if self._cut is Cut.SILENT:
            await asyncio.sleep(timeout)
            return Error("TimeoutError")
        if self._cut is not None:
            return Error("ConnectionRefusedError")
        result = await open_connection(address, timeout, create_protocol)
        if result.is_ok():
            self._connections.append(result.ok)
        return result


class _SilentTransport:
    """Drops what is written to a transport and receives nothing."""

    def __init__(self, transport):
        self._transport = transport
        transport.pause_reading()

    def write(self, data):
        """Drop `data`."""

    def resume_reading(self):
        """Receive nothing, nevertheless."""

    def __getattr__(self, name):
        return getattr(self._transport, name)


def _silence(connection):
    connection._transport = _SilentTransport(connection._transport)
