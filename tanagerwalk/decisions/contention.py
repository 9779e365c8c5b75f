"""Whether the requests for a service compete for places at its servers."""

from dataclasses import dataclass

# Waiting requests per server.
ENTER_WAITING = 0.25
LEAVE_WAITING = 0.05
# Bounds the changes, each of which is logged.
MIN_STAY_S = 2.0
# With fewer places taken, no request is refused for want of a place.
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
    """

    servers: int = 0
    slots: int = 0
    taken: int = 0
    waiting: int = 0

    def add(self, other):
        """Return the places at the servers of both."""
        return Places(
            self.servers + other.servers,
            self.slots + other.slots,
            self.taken + other.taken,
            self.waiting + other.waiting,
        )

    @property
    def are_scarce(self):
        """Whether requests wait, and half of the places are taken."""
        return self.waiting > 0 and self.taken >= MIN_TAKEN_SHARE * self.slots


class ContentionState:
    """Whether a service is contended; a short lull doesn't end it.

    Attributes
    ----------
    is_contended : bool
        Whether requests compete for places.
    """

    def __init__(self):
        self.is_contended = False
        self._changed_at = float("-inf")

    def update(self, places, now):
        """Take over the Places of the service; return whether the state has changed."""
        bound = LEAVE_WAITING if self.is_contended else ENTER_WAITING
        is_contended = places.are_scarce and places.waiting >= bound * places.servers
        if is_contended is self.is_contended or now - self._changed_at < MIN_STAY_S:
            return False
        self.is_contended = is_contended
        self._changed_at = now
        return True
