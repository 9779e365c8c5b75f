"""Fair shares of server time between those that wait for it."""


class FairShareClock:
    """Virtual time of each party, by start-time fair queueing.

    A party that was idle starts level with those that wait: it may not save up
    server time. Parties that do not wait are forgotten once their virtual time
    is behind the others, so memory is bounded by those who use the system.
    """

    def __init__(self):
        self._times = {}
        self._waiting = {}
        self._floor = 0.0

    def add_ticket(self, flow):
        """Count one more ticket of a party."""
        if flow not in self._waiting:
            self._waiting[flow] = 0
            self._times[flow] = max(self._times.get(flow, 0.0), self._floor)
        self._waiting[flow] += 1

    def remove_ticket(self, flow):
        """Count one ticket of a party less."""
        self._waiting[flow] -= 1
        if self._waiting[flow] > 0:
            return
        del self._waiting[flow]
        if not self._waiting:
            # Nobody waits, so nobody was passed over: all are level again.
            self._times.clear()
            self._floor = 0.0
            return
        if self._times[flow] <= self._floor:
            del self._times[flow]

    def get_time(self, flow):
        """Return the virtual time of a waiting party; the lowest goes first."""
        return self._times[flow]

    def charge(self, flow, amount):
        """Add granted server time to a waiting party.

        Parameters
        ----------
        flow : hashable
            The party; it waits.
        amount : float
            Seconds of server time over the party's weight.
        """
        self._floor = max(self._floor, self._times[flow])
        self._times[flow] += amount
