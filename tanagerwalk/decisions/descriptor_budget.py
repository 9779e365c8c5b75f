"""How the descriptors of a process are divided among its kinds of connections."""

from enum import Enum

from .resource_budget import ResourceBudget


class DescriptorKind(Enum):
    """What a descriptor is used for.

    CLIENT: connections of clients. SERVER: connections to backend servers, in use and
    kept. PEER: connections of other instances, and tunnels. OTHER: listeners, probes,
    the store, and questions to other instances.
    """

    CLIENT = "client"
    SERVER = "server"
    PEER = "peer"
    OTHER = "other"


# Descriptors that the limit of the settings reserves for files.
RESERVED_FOR_FILES = 200
# Descriptors of the process itself: streams, event loop, what libraries open.
RESERVED_FOR_PROCESS = 32
MIN_CAPACITY = 16
# Part of the capacity that no other kind can take. The rest is for whoever needs it.
OWN_SHARES = {
    DescriptorKind.CLIENT: 0.4,
    DescriptorKind.SERVER: 0.25,
    DescriptorKind.PEER: 0.1,
    DescriptorKind.OTHER: 0.05,
}


def find_descriptor_capacity(max_descriptors, system_limit):
    """Return how many descriptors connections may take.

    Parameters
    ----------
    max_descriptors : int
        Limit of the settings, some of it reserved for files.
    system_limit : int
        Limit of the operating system for this process.
    """
    capacity = min(
        max_descriptors - RESERVED_FOR_FILES, system_limit - RESERVED_FOR_PROCESS
    )
    return max(MIN_CAPACITY, capacity)


class DescriptorBudget:
    """Divides the capacity among the kinds, so that none can starve another.

    Parameters
    ----------
    capacity : int
        Descriptors that connections may take.

    Attributes
    ----------
    total : ResourceBudget
        What is in use of all kinds.
    parts : dict of DescriptorKind to DescriptorPart
        What is in use of each kind.
    """

    def __init__(self, capacity):
        self.total = ResourceBudget(capacity)
        self.parts = {
            kind: DescriptorPart(self, int(share * capacity))
            for kind, share in OWN_SHARES.items()
        }

    def find_spare(self, part):
        """Return how many descriptors have to stay free for the other kinds."""
        others = (each for each in self.parts.values() if each is not part)
        return sum(max(0, each.own - each.used) for each in others)


class DescriptorPart:
    """The descriptors of one kind.

    Parameters
    ----------
    budget : DescriptorBudget
        The budget that it belongs to.
    own : int
        Descriptors that no other kind can take.

    Attributes
    ----------
    used : int
        Descriptors in use.
    refused : int
        Number of reservations that were refused.
    """

    def __init__(self, budget, own):
        self._budget = budget
        self.own = own
        self.used = 0
        self.refused = 0

    @property
    def has_room(self):
        """Whether a descriptor is free for this kind."""
        return self._budget.total.has_room(1, self._budget.find_spare(self))

    def try_reserve(self):
        """Reserve a descriptor, and return whether there was one."""
        if not self._budget.total.try_reserve(1, self._budget.find_spare(self)):
            self.refused += 1
            return False
        self.used += 1
        return True

    def release(self):
        """Give back a descriptor."""
        self.used -= 1
        self._budget.total.release(1)
