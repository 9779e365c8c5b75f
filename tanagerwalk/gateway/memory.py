"""Memory that requests and their answers take, bounded over all connections."""

import itertools

import structlog

from ..decisions.resource_budget import ResourceBudget
from ..repeated_warnings import RateLimitedWarning
from .answer_queue import LARGE_ANSWER_SPARE_SHARE, AnswerQueue
from .request_memory import RequestMemory

log = structlog.get_logger(__name__)

# Share of the room of the process that requests and answers may take. The rest is for
# manifests, copies, fragmentation and the last bytes that a paused connection read.
BUDGET_SHARE = 0.6
MIN_CAPACITY_BYTES = 8 * 1024 * 1024
# What others than requests and answers leave to them, whatever they take.
MIN_REMAINING_BYTES = 4 * 1024 * 1024
# Without a limit.
DEFAULT_CAPACITY_BYTES = 64 * 1024 * 1024
# Objects of an open connection, and of a request and its connection to a server.
CONNECTION_BYTES = 4 * 1024
REQUEST_BYTES = 8 * 1024
# Objects of one header: a tuple, two strings of bytes and a place in a list.
HEADER_BYTES = 160
# Objects of one entry of a list in a header: a tuple, a string and a number.
LIST_ENTRY_BYTES = 160
# A peak is over once the use has fallen from above the first to below the second.
PEAK_SHARE = 0.25
CALM_SHARE = 0.125


def find_capacity(room):
    """Return the capacity of the budget in bytes.

    Parameters
    ----------
    room : int or None
        How much the process may grow, in bytes; None without a limit.
    """
    if room is None:
        return DEFAULT_CAPACITY_BYTES
    return max(MIN_CAPACITY_BYTES, int(BUDGET_SHARE * room))


class MemoryBudget:
    """Memory for requests and answers of all connections.

    Requests are refused when it is full. Answers are never refused: reading them stops,
    see AnswerQueue.

    Parameters
    ----------
    capacity : int
        Most that may be in use, in bytes.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    answers : AnswerQueue
        Decides which answers are read on.
    on_peak_over : callable
        Called without arguments when most of what was in use has been released.
    """

    def __init__(self, capacity, clock):
        self._budget = ResourceBudget(capacity)
        self._whole_capacity = capacity
        self.answers = AnswerQueue(self._budget)
        self._numbers = itertools.count()
        self._is_refusing = False
        self._warning = RateLimitedWarning("memory full", clock)
        self._had_peak = False
        self.on_peak_over = _ignore

    @property
    def used(self):
        """Bytes in use."""
        return self._budget.used

    @property
    def capacity(self):
        """Bytes that may be in use."""
        return self._budget.capacity

    def set_aside(self, amount):
        """Reduce the capacity by the bytes that something else takes in all."""
        remaining = self._whole_capacity - amount
        self._budget.capacity = max(MIN_REMAINING_BYTES, remaining)

    def create_request_memory(self):
        """Return the RequestMemory of a new request."""
        return RequestMemory(self, next(self._numbers))

    def reserve(self, amount):
        """Count bytes that are in use already."""
        self._budget.reserve(amount)
        if self._budget.used > PEAK_SHARE * self._budget.capacity:
            self._had_peak = True

    def try_reserve(self, amount, spare):
        """Reserve bytes if they fit and leave a spare part; return whether they do."""
        if not self._budget.try_reserve(amount, spare):
            self._log_refusing()
            return False
        if self._budget.used > PEAK_SHARE * self._budget.capacity:
            self._had_peak = True
        return True

    def fits(self, amount, spare):
        """Return whether bytes fit and leave a spare part."""
        if self.used + amount + spare <= self.capacity:
            return True
        self._log_refusing()
        return False

    def has_room(self, amount):
        """Return whether bytes fit beside the part that stays free for requests."""
        spare = LARGE_ANSWER_SPARE_SHARE * self.capacity
        return self.used + amount + spare <= self.capacity

    def release(self, amount):
        """Give bytes back, and let answers that wait for room go on."""
        self._budget.release(amount)
        if self.answers.has_waiting():
            self.answers.resume_waiting()
        is_calm = self._budget.used < CALM_SHARE * self._budget.capacity
        if is_calm and (self._had_peak or self._is_refusing):
            self._end_peak()

    def _end_peak(self):
        if self._had_peak:
            self._had_peak = False
            self.on_peak_over()
        if self._is_refusing:
            self._is_refusing = False
            log.info("memory has room again", used=self.used, capacity=self.capacity)

    def _log_refusing(self):
        self._is_refusing = True
        self._warning.record(
            used=self.used, capacity=self.capacity, refused=self._budget.refused
        )


def _ignore():
    pass
