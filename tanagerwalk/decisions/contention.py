"""Whether requests compete for places at some servers."""

from dataclasses import dataclass

# Share of the slots in use from which a service is contended; with fewer, queues come
# from uneven placement.
ENTER_TAKEN_SHARE = 0.75
# Waiting requests per server.
ENTER_WAITING = 0.25
LEAVE_WAITING = 0.05
# Least time between two changes of the state, each of which is logged.
MIN_STAY_S = 2.0
# With a smaller share of the slots in use, no request is refused for want of a place.
MIN_TAKEN_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Places:
    """Places of requests at one or several servers.

    Parameters
    ----------
    servers : int
        Number of servers.
    slots : int
        Requests that the servers process at once.
    taken : int
        Requests at the servers.
    waiting : int
        Those of them that wait for a slot.
    in_use : int
        Slots in use; a long queue at one server fills none at others.
    """

    servers: int = 0
    slots: int = 0
    taken: int = 0
    waiting: int = 0
    in_use: int = 0

    def compare_queues(self, others):
        """Return the mean queue at these servers as a multiple of that at others.

        1 where nothing waits at the others, or without servers.
        """
        if not others.waiting or not self.servers:
            return 1.0
        return (self.waiting / self.servers) / (others.waiting / others.servers)

    @property
    def use(self):
        """The part of the slots that is in use, 0 to 1."""
        return min(1.0, self.taken / self.slots) if self.slots else 0.0

    @property
    def are_scarce(self):
        """Whether requests wait, and half of the slots are in use."""
        return self.waiting > 0 and self.in_use >= MIN_TAKEN_SHARE * self.slots


def sum_places(places):
    """Return the Places at all servers, given those at each or at groups of them."""
    return Places(
        sum(each.servers for each in places),
        sum(each.slots for each in places),
        sum(each.taken for each in places),
        sum(each.waiting for each in places),
        sum(each.in_use for each in places),
    )


class ContentionState:
    """Whether some servers are contended; a change is kept for MIN_STAY_S.

    Attributes
    ----------
    is_contended : bool
        Whether requests compete for places.
    """

    def __init__(self):
        self.is_contended = False
        self._changed_at = float("-inf")

    def update(self, places, now):
        """Take over the Places at the servers; return whether the state has changed."""
        is_contended = _is_contended(places, self.is_contended)
        if is_contended is self.is_contended or now - self._changed_at < MIN_STAY_S:
            return False
        self.is_contended = is_contended
        self._changed_at = now
        return True


def _is_contended(places, was_contended):
    if was_contended:
        return places.are_scarce and (places.waiting >= LEAVE_WAITING * places.servers)
    return (
        places.taken >= ENTER_TAKEN_SHARE * places.slots
        and places.waiting >= ENTER_WAITING * places.servers
    )
