"""The load that a backend server reports in its answers."""

from dataclasses import dataclass

# What a neighbour on the same machine can plausibly do to a server; a report beyond it
# counts as the nearest bound.
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 4.0


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Requests at a backend server, and how fast its machine is at the moment.

    Parameters
    ----------
    running, waiting : int
        Number of requests.
    slots : int
        Number of requests that the server processes concurrently.
    slowdown : float or None
        How long work takes at this moment, relative to what is usual: 2.0 is half as
        fast. None if the server doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def plausible_slowdown(self):
        """The slowdown within plausible bounds; 1.0 if it isn't reported."""
        return 1.0 if self.slowdown is None else bound_slowdown(self.slowdown)


def bound_slowdown(slowdown):
    """Return a slowdown within MIN_SLOWDOWN and MAX_SLOWDOWN."""
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def find_slowdown(load):
    """Return the plausible slowdown in an EngineLoad; 1.0 for None."""
    return 1.0 if load is None else load.plausible_slowdown
