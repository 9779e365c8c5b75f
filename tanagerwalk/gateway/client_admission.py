"""Admits client connections as long as there are descriptors for them."""

import time
from itertools import islice

from ..repeated_warnings import RateLimitedWarning

# A client may just be sending on a connection that has been idle for less.
MIN_IDLE_S = 1.0
# After a pause of the process, many may have a request that has not been read.
MAX_SEARCHED = 16


class ClientAdmission:
    """Counts the connections of clients, and makes room by closing idle ones.

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
    resets : int
        Number of new connections that were reset.
    """

    def __init__(self, part, clock):
        self._part = part
        self._clock = clock
        self._admitted = set()
        # In the order in which they became idle, with the time.
        self._idle = {}
        self._warning = RateLimitedWarning("no descriptors for clients", time.monotonic)
        self.closed_idle = 0
        self.resets = 0

    def admit(self, connection):
        """Return whether a new connection may stay open."""
        if not self._part.try_reserve() and not self._replace_idle():
            self.resets += 1
            self._warning.record(used=self._part.used, resets=self.resets)
            return False
        self._admitted.add(connection)
        self.begin_idle(connection)
        return True

    def _replace_idle(self):
        if not self._close_longest_idle():
            return False
        self.closed_idle += 1
        self._warning.record(used=self._part.used, closed_idle=self.closed_idle)
        return self._part.try_reserve()

    def _close_longest_idle(self):
        """Close the connection that has been idle for longest and has nothing unread.

        Returns
        -------
        bool
            Whether there was one.
        """
        now = self._clock()
        for connection, since in islice(self._idle.items(), MAX_SEARCHED):
            if now - since < MIN_IDLE_S:
                return False
            if connection.give_way():
                self.leave(connection)
                return True
        return False

    def begin_idle(self, connection):
        """Note that a connection has no request, from now on."""
        if connection in self._admitted:
            self._idle[connection] = self._clock()

    def end_idle(self, connection):
        """Note that a request begins to arrive on a connection."""
        self._idle.pop(connection, None)

    def leave(self, connection):
        """Note that a connection is closed, or about to be."""
        self._idle.pop(connection, None)
        if connection in self._admitted:
            self._admitted.discard(connection)
            self._part.release()
