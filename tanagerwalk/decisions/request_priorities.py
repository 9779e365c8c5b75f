"""Priorities of competing requests at the engines.

Each rank of the manifest has a band of the engines' priorities. Within its band, a
request may go behind others of its rank, but not into the band of the next rank.
"""

from dataclasses import dataclass

from .demands import PRIORITY_COUNT

DEFAULT_PRIORITY = 5
# A request with more work than this multiple of the mean goes behind the others of its
# rank.
LONG_WORK_FACTOR = 3.0
# Of the requests that would wait beyond their objective, this part goes behind those of
# the first rank, or among them if even these wait too long: no rank is shut out.
MOVED_UP_SHARE = 0.25
# Share of its timeout: a request with more time left is not moved up.
AGED_TIME_SHARE = 0.5
# Multiples of the latency objective: with less time left than the first, a request is
# moved up by one rank; with less than the second, by two.
SHORT_TIME = 2.0
SHORTEST_TIME = 1.0


@dataclass(frozen=True, slots=True)
class PriorityInputs:
    """What decides on the priority of a request.

    Parameters
    ----------
    rank : int
        Priority by the manifest; 0 is the highest.
    ranks : tuple of int
        All priorities of requests for the service, in order.
    work, mean_work : float
        Work of the request, and of the mean one, in prompt tokens.
    is_over_share : bool
        Whether its account uses more than its fair share.
    time_left, timeout : float
        Seconds until the request expires, and those that its route allows.
    objective : float
        Latency objective in seconds.
    """

    rank: int
    ranks: tuple[int, ...]
    work: float
    mean_work: float
    is_over_share: bool
    time_left: float
    timeout: float
    objective: float


def find_priority(inputs, estimate_wait, draw):
    """Return the priority of a request at an engine, 0 to 9; 0 is served first.

    Parameters
    ----------
    inputs : PriorityInputs
        What decides on it.
    estimate_wait : callable
        Takes a priority and returns the seconds that a request of it would wait.
    draw : float
        Random number from 0 to 1; below `MOVED_UP_SHARE`, a request that would wait too
        long is moved up to the first rank.
    """
    index = inputs.ranks.index(inputs.rank)
    moved = max(0, index - _count_ranks_up(inputs))
    steps = int(inputs.is_over_share) + int(_is_long(inputs))
    if moved < index:
        # Behind the requests that have that rank by the manifest.
        steps = PRIORITY_COUNT
    priority = _place(moved, len(inputs.ranks), steps)
    if inputs.is_over_share or draw >= MOVED_UP_SHARE:
        return priority
    behind_first = min(priority, _place(0, len(inputs.ranks), PRIORITY_COUNT))
    for moved_up in (priority, behind_first):
        if estimate_wait(moved_up) <= inputs.objective:
            return moved_up
    return min(priority, _place(0, len(inputs.ranks), steps=0))


def _count_ranks_up(inputs):
    if inputs.is_over_share or inputs.time_left > AGED_TIME_SHARE * inputs.timeout:
        return 0
    is_short = inputs.time_left < SHORT_TIME * inputs.objective
    is_shortest = inputs.time_left < SHORTEST_TIME * inputs.objective
    return int(is_short) + int(is_shortest)


def _is_long(inputs):
    return inputs.work > LONG_WORK_FACTOR * inputs.mean_work


def _place(index, ranks, steps):
    """Return a priority in the band of a rank, some steps behind its first."""
    first = min(PRIORITY_COUNT - 1, index * PRIORITY_COUNT // ranks)
    last = max(first, (index + 1) * PRIORITY_COUNT // ranks - 1)
    return min(first + steps, last)
