"""HTTP listener based on sanic."""

import uuid

from sanic import Sanic

from ..bound_sockets import bind_stream
from .connections import BoundedConnection

MAX_RESPONSE_TIME_S = 24 * 3600
BACKLOG = 1024


class Listener:
    """Runs a sanic application on its own socket.

    Parameters
    ----------
    name : str
        Prefix of the application's name, which must be unique in the process.
    bounds : ConnectionBounds
        Limits of its connections.
    """

    def __init__(self, name, bounds):
        self.app = Sanic(f"{name}-{uuid.uuid4().hex[:8]}", configure_logging=False)
        self.app.ctx.bounds = bounds
        self.app.config.MOTD = False
        self.app.config.ACCESS_LOG = False
        # TOUCHUP rewrites sanic's methods, which works for one application only.
        self.app.config.TOUCHUP = False
        # The filter chain enforces a deadline per request: the `patience` of its
        # class. Sanic's own timeout only has to be longer than any of them.
        self.app.config.RESPONSE_TIMEOUT = MAX_RESPONSE_TIME_S
        # The same holds for unread answers, which `read_timeout` ends.
        self.app.config.GRACEFUL_TCP_CLOSE_TIMEOUT = MAX_RESPONSE_TIME_S
        self._server = None
        self.port = 0

    async def start(self, address, port):
        """Listen on an IP address; with port 0 the kernel chooses a free port.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        bound = bind_stream((address, port))
        if bound.is_error():
            raise bound.error
        sock = bound.ok
        self.port = sock.getsockname()[1]
        self._server = await self.app.create_server(
            sock=sock,
            backlog=BACKLOG,
            return_asyncio_server=True,
            protocol=BoundedConnection,
        )
        await self._server.startup()

    async def stop(self):
        """Stop accepting connections; open ones are kept."""
        if self._server is not None:
            self._server.close()

    def close_idle(self):
        """Close the connections that have no request in progress.

        Returns
        -------
        int
            Number of connections still open: those with a request in progress or
            unsent data, and those whose close has not completed.
        """
        if self._server is None:
            return 0
        connections = self._server.connections
        for connection in list(connections):
            connection.close_if_idle()
        return len(connections)
