"""Admits client connections as long as there are descriptors for them."""

import time

from ..decisions.client_places import ClientPlaces
from ..repeated_warnings import RateLimitedWarning

# Time for which all new connections are turned away before this counts as full.
FULL_AFTER_S = 1.0


class ClientAdmission:
    """Counts the connections of clients, and makes room by closing some of them.

    `ClientPlaces` decides which ones.

    Parameters
    ----------
    part : DescriptorPart
        Descriptors that clients may use.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    closed_idle : int
        Number of idle connections closed in favour of new ones.
    refused_slow : int
        Number of requests with slow bodies refused in favour of new connections.
    resets : int
        Number of new connections that were reset.
    """

    def __init__(self, part, clock):
        self._part = part
        self._clock = clock
        self._admitted = set()
        self._places = ClientPlaces()
        # Since when no new connection has been admitted, None if the last one was.
        self._full_since = None
        self._warning = RateLimitedWarning("no descriptors for clients", time.monotonic)
        self.closed_idle = 0
        self.refused_slow = 0
        self.resets = 0

    @property
    def is_full(self):
        """Whether new connections are turned away, and have been for a while."""
        if self._full_since is None or self._part.has_room:
            return False
        now = self._clock()
        if now - self._full_since < FULL_AFTER_S:
            return False
        return not self._places.has_candidate(now)

    def admit(self, connection):
        """Return whether a new connection may stay open."""
        if not self._part.try_reserve() and not self._replace_another():
            self._turn_away()
            return False
        self._full_since = None
        self._admitted.add(connection)
        self.begin_idle(connection)
        return True

    def _turn_away(self):
        self.resets += 1
        if self._full_since is None:
            self._full_since = self._clock()
        self._warning.record(used=self._part.used, resets=self.resets)

    def _replace_another(self):
        if self._close_longest_idle():
            self.closed_idle += 1
        elif self._refuse_latest_body():
            self.refused_slow += 1
        else:
            return False
        self._warning.record(
            used=self._part.used,
            closed_idle=self.closed_idle,
            refused_slow=self.refused_slow,
        )
        return self._part.try_reserve()

    def _close_longest_idle(self):
        """Close the connection that has been idle for longest and has nothing unread.

        Returns
        -------
        bool
            Whether there was one.
        """
        for connection in self._places.find_idle(self._clock()):
            if connection.give_way():
                self.leave(connection)
                return True
        return False

    def _refuse_latest_body(self):
        """Refuse the request whose body is the latest and has nothing unread.

        Returns
        -------
        bool
            Whether there was one.
        """
        now = self._clock()
        for connection in self._places.find_late(now):
            if connection.refuse_to_give_way():
                self.leave(connection)
                return True
            self._places.renew_body(connection, now)
        return False

    def begin_idle(self, connection):
        """Note that a connection has no request, from now on."""
        if connection in self._admitted:
            self._places.begin_idle(connection, self._clock())

    def end_idle(self, connection):
        """Note that a request begins to arrive on a connection."""
        self._places.end_idle(connection)

    def begin_body(self, connection, patience):
        """Note that the body of a request is expected; see ClientPlaces."""
        if connection in self._admitted:
            self._places.begin_body(connection, patience, self._clock())

    def add_body(self, connection, size):
        """Note that so many bytes of a body have arrived."""
        self._places.add_body(connection, size, self._clock())

    def renew_body(self, connection):
        """Note that this instance has held up the body on a connection until now."""
        self._places.renew_body(connection, self._clock())

    def end_body(self, connection):
        """Note that no more is expected of the body on a connection."""
        self._places.end_body(connection)

    def leave(self, connection):
        """Note that a connection is closed, or about to be."""
        self._places.leave(connection)
        if connection in self._admitted:
            self._admitted.discard(connection)
            self._part.release()
