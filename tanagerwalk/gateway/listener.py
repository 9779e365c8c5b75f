"""The HTTP/1.1 listener for clients.

`sanic` is not used because it reads its limits only at startup, whereas the manifest
changes them at run time, and because it does not notify a handler immediately when its
client disconnects. `ClientConnection` drives `httptools`, the parser that `sanic` uses,
directly.
"""

import asyncio

from ..bound_sockets import BACKLOG
from .client_connection import ClientConnection
from .connection_ends import EndCause, log_unanswered_end

# A body that arrives more slowly gives way to others when the memory is full.
SLOW_BODY_BYTES_PER_S = 64 * 1024
MAX_REFUSED_AT_ONCE = 8
# Searches go through all connections.
ROOM_SEARCH_INTERVAL_S = 0.05


class Listener:
    """Accepts client connections and tracks those that are open.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes a RawRequest and a Responder and sends the
        response.
    refuse : callable
        Takes a Responder and a Refusal and sends the error response.
    get_limits : callable
        Returns the current ClientLimits.
    memory : MemoryBudget
        Memory for requests and answers.
    admission : ClientAdmission
        Decides which connections stay open.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Spreads the times at which refused clients come back.

    Attributes
    ----------
    refusing : bool
        Whether every request is refused by now, so that the next answer is the last
        one, whatever waits behind it.
    closing : bool
        Whether responses carry `Connection: close`, so that clients reconnect.
    on_stalled_reader : callable
        Called without arguments when a client that reads no answer is reset.
    on_unanswered : callable
        Takes an UnansweredEnd when a connection ends while an answer is owed.
    """

    def __init__(self, handle, refuse, get_limits, memory, admission, clock, random):
        self.handle = handle
        self.refuse = refuse
        self.get_limits = get_limits
        self.memory = memory
        self.admission = admission
        self.clock = clock
        self.random = random
        self.closing = False
        self.refusing = False
        self.on_stalled_reader = _ignore
        self.on_unanswered = log_unanswered_end
        self.connections = set()
        self._next_search_at = 0.0
        self._server = None

    async def serve(self, sock):
        """Accept connections on a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=BACKLOG
        )

    @property
    def is_open(self):
        """Whether the listener has its port."""
        if self._server is None:
            return False
        # uvloop gives None for a socket that could not listen.
        return all(each is not None for each in self._server.sockets)

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def in_flight(self):
        """Number of connections with a request in progress."""
        return sum(connection.busy for connection in self.connections)

    def make_room(self, asking):
        """Refuse the requests whose bodies arrive slowest, for the sake of another.

        None of them has been passed on.

        Parameters
        ----------
        asking : ClientConnection
            Connection that receives the other request.

        Returns
        -------
        bool
            Whether any was refused.
        """
        now = self.clock()
        if now < self._next_search_at:
            return False
        self._next_search_at = now + ROOM_SEARCH_INTERVAL_S
        paces = [
            (connection.measure_pace(now), connection)
            for connection in self.connections
            if connection is not asking
        ]
        slow = [item for item in paces if item[0] < SLOW_BODY_BYTES_PER_S]
        slow.sort(key=_get_pace)
        for _, connection in slow[:MAX_REFUSED_AT_ONCE]:
            connection.refuse_slow_body()
        return bool(slow)

    @property
    def is_drained(self):
        """Whether no request is in progress or unread, and every byte has been sent."""
        return not any(c.busy or c.has_unsent or c.has_unread for c in self.connections)

    def close_idle(self):
        """Close all connections without a request in progress or unread."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_accepting(self):
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()

    def abort(self):
        """Abort every connection immediately."""
        for connection in list(self.connections):
            connection.abort(EndCause.PROCESS_END)


def _get_pace(item):
    return item[0]


def _ignore():
    pass
