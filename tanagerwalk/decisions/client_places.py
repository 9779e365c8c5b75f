"""Which connections of clients give way when there are no places for more.

A place is worth most to a client that makes progress. Those without a request go first,
and then those whose bodies have come too slowly for longest.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass
from itertools import islice

# A client may just be sending on a connection that has been idle for less.
MIN_IDLE_S = 1.0
# Bytes of a body that earn its place for another second. Whoever sends a request
# within the receive timeout needs none of them.
MIN_BODY_BYTES_PER_S = 256.0
# After a pause of the process, many may have a request that has not been read.
MAX_SEARCHED = 16
# Searches go through all bodies, and keep so many of them for the time until the next.
SEARCH_INTERVAL_S = 0.05
MAX_FOUND = 256


@dataclass(slots=True)
class _Body:
    """A body that is being received.

    `patience` is the time in seconds that it is borne without a byte, `due_at` the
    monotonic time until which what has come of it has earned its place.
    """

    patience: float
    due_at: float


class ClientPlaces:
    """Knows what the connections of clients do with their places.

    A connection without a request, or whose body has arrived, has no body here. Times
    are monotonic, in seconds.
    """

    def __init__(self):
        # In the order in which they became idle, with the time.
        self._idle = {}
        self._bodies = {}
        # What the last search has found, latest first.
        self._late = deque()
        self._next_search_at = -math.inf

    def begin_idle(self, connection, now):
        """Note that a connection has no request, from now on."""
        self._idle[connection] = now

    def end_idle(self, connection):
        """Note that a request begins to arrive on a connection."""
        self._idle.pop(connection, None)

    def begin_body(self, connection, patience, now):
        """Note that the body of a request is expected on a connection.

        Parameters
        ----------
        connection : object
            Connection of a client.
        patience : float
            Seconds that a client may take for a request.
        now : float
            The current time.
        """
        self._bodies[connection] = _Body(patience, now + patience)

    def add_body(self, connection, size, now):
        """Note that so many bytes of a body have arrived.

        They earn their time, though never more than the patience from now on.
        """
        body = self._bodies.get(connection)
        if body is None:
            return
        earned = body.due_at + size / MIN_BODY_BYTES_PER_S
        body.due_at = min(earned, now + body.patience)

    def renew_body(self, connection, now):
        """Note that this instance has held up the body on a connection until now."""
        body = self._bodies.get(connection)
        if body is not None:
            body.due_at = now + body.patience

    def end_body(self, connection):
        """Note that no more is expected of the body on a connection."""
        self._bodies.pop(connection, None)

    def leave(self, connection):
        """Note that a connection is closed, or about to be."""
        self.end_idle(connection)
        self.end_body(connection)

    def has_candidate(self, now):
        """Return whether any connection may have to give way."""
        longest_idle = next(iter(self._idle.values()), math.inf)
        if now - longest_idle >= MIN_IDLE_S:
            return True
        return any(body.due_at < now for body in self._bodies.values())

    def find_idle(self, now):
        """Yield connections without a request, the longest idle first."""
        for connection, since in list(islice(self._idle.items(), MAX_SEARCHED)):
            if now - since < MIN_IDLE_S:
                return
            yield connection

    def find_late(self, now):
        """Yield connections whose bodies come too slowly, the latest first."""
        self._search(now)
        for _ in range(MAX_SEARCHED):
            if not self._late:
                return
            connection = self._late.popleft()
            if self._is_late(connection, now):
                yield connection

    def _search(self, now):
        if now < self._next_search_at:
            return
        self._next_search_at = now + SEARCH_INTERVAL_S
        late = [each for each in self._bodies if self._is_late(each, now)]
        self._late = deque(heapq.nsmallest(MAX_FOUND, late, self._find_due_time))

    def _find_due_time(self, connection):
        return self._bodies[connection].due_at

    def _is_late(self, connection, now):
        body = self._bodies.get(connection)
        return body is not None and body.due_at < now
