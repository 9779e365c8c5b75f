"""Pool of keep-alive connections to backend servers."""

from dataclasses import dataclass

import structlog
from expression import Error

from .connections import open_connection

log = structlog.get_logger(__name__)

DEFAULT_IDLE_TIMEOUT_S = 4.0
IDLE_TIMEOUT_MARGIN_S = 1.0
MAX_IDLE_PER_SERVER = 16
MS_PER_S = 1000.0


@dataclass(slots=True)
class _IdleConnection:
    connection: object
    expires_at: float


class ConnectionPool:
    """Pools idle connections to backend servers, keyed by server id and address.

    A connection belongs to one incarnation of a server and is never used for another.

    Parameters
    ----------
    connect_timeout : float
        Connect timeout in seconds.
    paths : PathTable
        Records which servers this instance can connect to.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    connect : callable
        Opens a TCP connection, like `open_connection`.
    """

    def __init__(self, connect_timeout, paths, clock):
        self._connect_timeout = connect_timeout
        self._paths = paths
        self._clock = clock
        self.connect = open_connection
        self._idle = {}
        self.opened_count = 0

    def acquire_idle(self, server):
        """Return a pooled connection to a server, or None.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        """
        idle = self._idle.get((server.id, server.address), [])
        while idle:
            entry = idle.pop()
            if entry.connection.is_reusable() and self._clock() < entry.expires_at:
                return entry.connection
            entry.connection.abort()
        return None

    async def open(self, server, limit):
        """Open a new connection to a server.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        limit : float
            Seconds left until the deadline of the request.

        Returns
        -------
        Result of Connection, or of str
        """
        timeout = min(self._connect_timeout, limit)
        if timeout <= 0.0:
            return Error("no time left")
        result = await self.connect(server.address, timeout)
        if result.is_error():
            self._record_failure(server, result.error)
            return result
        self.opened_count += 1
        self._record_opened(server)
        return result

    def _record_failure(self, server, cause):
        if self._paths.record_failure(server.id, self._clock()):
            log.info(
                "server unreachable",
                server=server.id,
                service=server.service,
                cause=cause,
            )

    def _record_opened(self, server):
        lost_for = self._paths.record_opened(server.id, self._clock())
        if lost_for is not None:
            log.info(
                "server reachable again",
                server=server.id,
                service=server.service,
                after_ms=round(lost_for * MS_PER_S),
            )

    def release(self, server, connection, head):
        """Return a connection to the pool, or abort it if it is not reusable.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        connection : Connection
            The connection.
        head : ResponseHead
            Head of the last response on the connection.
        """
        if not connection.is_reusable():
            connection.abort()
            return
        expires_at = self._clock() + parse_idle_timeout(head)
        idle = self._idle.setdefault((server.id, server.address), [])
        idle.append(_IdleConnection(connection, expires_at))
        if len(idle) > MAX_IDLE_PER_SERVER:
            idle.pop(0).connection.abort()

    def close_idle_to(self, server):
        """Close the idle connections to a server that is gone."""
        self._paths.forget(server.id)
        for entry in self._idle.pop((server.id, server.address), []):
            entry.connection.abort()

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for entry in idle:
                entry.connection.abort()
        self._idle.clear()


def parse_idle_timeout(head):
    """Return how long a connection may stay idle in the pool, in seconds.

    A timeout from the `Keep-Alive` header is reduced by a margin, so that the pool
    drops the connection before the server closes it.

    Parameters
    ----------
    head : ResponseHead
        Head of the last response on the connection.
    """
    value = head.get_header(b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_TIMEOUT_S
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
