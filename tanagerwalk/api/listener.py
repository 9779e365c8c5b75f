"""Starting and stopping of an HTTP listener."""

import socket
import uuid

from sanic import Sanic

MAX_RESPONSE_TIME_S = 24 * 3600
BACKLOG = 1024


class Listener:
    """A sanic application on a socket of its own.

    Parameters
    ----------
    name : str
        For the application's name.
    """

    def __init__(self, name):
        self.app = Sanic(f"{name}-{uuid.uuid4().hex[:8]}", configure_logging=False)
        self.app.config.MOTD = False
        self.app.config.ACCESS_LOG = False
        # The rewriting of sanic's methods works for one application only.
        self.app.config.TOUCHUP = False
        # The filter chain bounds every request by its class's patience.
        self.app.config.RESPONSE_TIMEOUT = MAX_RESPONSE_TIME_S
        self._server = None
        self.port = 0

    async def start(self, address, port):
        """Listen on an IP number; port 0 lets the kernel choose.

        Raises
        ------
        OSError
            If the address is not to be had.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
        self.port = sock.getsockname()[1]
        self._server = await self.app.create_server(
            sock=sock, backlog=BACKLOG, return_asyncio_server=True
        )
        await self._server.startup()

    async def stop(self):
        """Take no more connections; those that are open stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self):
        """Close the connections on which no request is under way.

        Returns
        -------
        int
            Connections that are still open, for a request or for unsent bytes.
        """
        if self._server is None:
            return 0
        connections = self._server.connections
        for connection in list(connections):
            connection.close_if_idle()
        return len(connections)
