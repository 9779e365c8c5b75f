"""Pool of keep-alive connections to backend servers."""

from ..decisions.paths import PathState

DEFAULT_IDLE_TIMEOUT_S = 4.0
IDLE_TIMEOUT_MARGIN_S = 1.0
MAX_IDLE_TIMEOUT_S = 3600.0
MAX_IDLE_PER_SERVER = 16
# A second after a keep-alive probe that was not answered.
MAX_SILENCE_S = 3.0


class ConnectionPool:
    """Pools idle connections to backend servers, keyed by server id and address.

    A connection belongs to one incarnation of a server and is never used for another.

    Parameters
    ----------
    connector : ServerConnector
        Opens new connections.
    paths : PathTable
        Tells which kept connections are worth using.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    on_lost : callable
        Takes a RegisteredServer that has closed a direct connection which was kept
        after a response.
    """

    def __init__(self, connector, paths, clock):
        self.connector = connector
        self.on_lost = _ignore
        self._paths = paths
        self._clock = clock
        self._idle = {}
        self.opened_count = 0
        connector.on_probed = self.keep

    def acquire_idle(self, server, allows_peer=None):
        """Return a pooled connection to a server, or None.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        allows_peer : callable or None
            Takes an incarnation and returns whether the connection may lead through
            that instance; None if it may lead through all.
        """
        idle = self._idle.get((server.id, server.address), [])
        for connection in reversed(idle.copy()):
            if not self._is_usable(server, connection):
                idle.remove(connection)
                connection.abort()
            elif _is_allowed(connection, allows_peer):
                idle.remove(connection)
                connection.on_lost = None
                return connection
        return None

    def has_idle(self, server, allows_peer=None):
        """Return whether a pooled connection to a server can be used.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        allows_peer : callable or None
            As for `acquire_idle`.
        """
        idle = self._idle.get((server.id, server.address), [])
        return any(
            self._is_usable(server, connection) and _is_allowed(connection, allows_peer)
            for connection in idle
        )

    def _is_usable(self, server, connection):
        """Return whether an idle connection can be used, by the path that works."""
        if not connection.is_reusable() or self._clock() >= connection.idle_until:
            return False
        is_long_idle = self._clock() - connection.idle_since >= MAX_SILENCE_S
        if is_long_idle and connection.measure_silence() >= MAX_SILENCE_S:
            return False
        if connection.via is None:
            return not self._paths.is_doubtful(connection.idle_since)
        return self._paths.get_state(server.id) is not PathState.DIRECT

    async def open(self, server, limit, allows_peer=None):
        """Open a new connection to a server.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        limit : float
            Seconds left until the deadline of the request.
        allows_peer : callable or None
            As for `acquire_idle`.

        Returns
        -------
        Result of Connection, or of ConnectFault or str
        """
        result = await self.connector.connect(server, limit, allows_peer)
        if result.is_ok():
            self.opened_count += 1
        return result

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
        self.keep(server, connection, parse_idle_timeout(head))
        self._watch(server, connection)

    def put_back(self, server, connection):
        """Keep a connection on which nothing was sent since it was acquired or opened.

        One that was kept before expires when it would have without being acquired. It
        is aborted if it is not reusable.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        connection : Connection
            The connection.
        """
        if not connection.is_reusable():
            connection.abort()
            return
        if connection.idle_until is None:
            self.keep(server, connection)
            return
        self._add_idle(server, connection)
        if connection.received:
            self._watch(server, connection)

    def _watch(self, server, connection):
        """Have `on_lost` called if the server closes a direct connection."""
        if connection.via is None:
            connection.on_lost = lambda: self.on_lost(server)

    def keep(self, server, connection, idle_timeout=DEFAULT_IDLE_TIMEOUT_S):
        """Keep a connection that is not in use.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        connection : Connection
            The connection.
        idle_timeout : float
            Seconds for which it may be used.
        """
        connection.idle_since = self._clock()
        connection.idle_until = connection.idle_since + idle_timeout
        self._add_idle(server, connection)

    def _add_idle(self, server, connection):
        idle = self._idle.setdefault((server.id, server.address), [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_SERVER:
            idle.pop(0).abort()

    def close_longest_idle(self):
        """Close the connection that has been kept for longest.

        Returns
        -------
        bool
            Whether there was one.
        """
        kept = [key for key, idle in self._idle.items() if idle]
        if not kept:
            return False
        oldest = min(kept, key=lambda key: self._idle[key][0].idle_since)
        self._idle[oldest].pop(0).abort()
        return True

    def close_idle_to(self, server):
        """Close the idle connections to a server."""
        for connection in self._idle.pop((server.id, server.address), []):
            connection.abort()

    def close(self):
        """Close all idle connections."""
        self.connector.close()
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()


def _ignore(server):
    del server


def _is_allowed(connection, allows_peer):
    via = connection.via
    return allows_peer is None or via is None or allows_peer(via)


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
            stated = min(MAX_IDLE_TIMEOUT_S, float(seconds))
            return max(0.0, stated - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
