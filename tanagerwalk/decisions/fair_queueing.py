"""Start-time fair queueing of server time."""


class FairShareClock:
    """Virtual time of each flow, by start-time fair queueing.

    A flow is a client account, or all short or all long classes. A flow that was
    idle starts at the virtual time of the waiting ones, so it can't accumulate
    credit. A flow whose last ticket leaves is removed unless its virtual time is
    ahead of the others, and all are removed once none waits, to bound the memory by
    the flows in use.
    """

    def __init__(self):
        self._times = {}
        self._waiting = {}
        self._virtual_time = 0.0

    def add_ticket(self, flow):
        """Count another waiting ticket of a flow."""
        if flow not in self._waiting:
            self._waiting[flow] = 0
            self._times[flow] = max(self._times.get(flow, 0.0), self._virtual_time)
        self._waiting[flow] += 1

    def remove_ticket(self, flow):
        """Count one waiting ticket of a flow less."""
        self._waiting[flow] -= 1
        if self._waiting[flow] > 0:
            return
        del self._waiting[flow]
        if not self._waiting:
            # No flow waits, so there is nothing to be fair to: reset all times.
            self._times.clear()
            self._virtual_time = 0.0
            return
        if self._times[flow] <= self._virtual_time:
            del self._times[flow]

    def get_time(self, flow):
        """Return the virtual time of a waiting flow; the lowest goes first."""
        return self._times[flow]

    def charge(self, flow, amount):
        """Add granted server time to a waiting flow.

        Parameters
        ----------
        flow : hashable
            The flow; it must have waiting tickets.
        amount : float
            Seconds of server time divided by the weight of the flow.
        """
        self._virtual_time = max(self._virtual_time, self._times[flow])
        self._times[flow] += amount
