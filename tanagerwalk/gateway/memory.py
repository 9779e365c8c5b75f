"""Memory that requests and their answers take, bounded over all connections."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from ..decisions.resource_budget import ResourceBudget

log = structlog.get_logger(__name__)

# Share of the room of the process that requests and answers may take. The rest is for
# manifests, copies, fragmentation and the last bytes that a paused connection read.
BUDGET_SHARE = 0.6
MIN_CAPACITY_BYTES = 8 * 1024 * 1024
# Without a limit.
DEFAULT_CAPACITY_BYTES = 64 * 1024 * 1024
# Part of the capacity that stays free for small requests when large ones come, for
# answers when requests come, and for requests when large answers come.
LARGE_REQUEST_SPARE_SHARE = 0.45
SMALL_REQUEST_SPARE_SHARE = 0.15
LARGE_ANSWER_SPARE_SHARE = 0.45
# Part of the capacity that stays free when an answer goes on beside one that was read
# whole from its server and that its client has not taken.
UNREAD_ANSWER_SPARE_SHARE = 0.25
SMALL_REQUEST_BYTES = 64 * 1024
# What an answer may hold without asking, so that small ones don't wait; less of it
# once answers have no room left, as many may wait then.
SMALL_ANSWER_BYTES = 64 * 1024
TIGHT_ANSWER_BYTES = 16 * 1024
# A connection to a server may receive so much before it is paused.
MAX_READ_BYTES = 64 * 1024
TIGHT_READ_BYTES = 16 * 1024
# Objects of an open connection, and of a request and its connection to a server.
CONNECTION_BYTES = 4 * 1024
REQUEST_BYTES = 8 * 1024
# Objects of one header: a tuple, two strings of bytes and a place in a list.
HEADER_BYTES = 160
# Objects of one entry of a list in a header: a tuple, a string and a number.
LIST_ENTRY_BYTES = 160
LOG_INTERVAL_S = 5.0
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

    Requests are refused when it is full. Answers, which a server has made or makes, are
    never: reading them stops, and goes on in the order of their requests. One answer at
    a time may go beyond the capacity, so that there is always one that goes on. Once it
    has been read whole, and while its client takes it, the next one goes on if it
    leaves room for small requests.

    Parameters
    ----------
    capacity : int
        Most that may be in use, in bytes.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    on_peak_over : callable
        Called without arguments when most of what was in use has been released.
    """

    def __init__(self, capacity, clock):
        self._budget = ResourceBudget(capacity)
        self._clock = clock
        self._numbers = itertools.count()
        self._waiting = {}
        self._exceeding = None
        self._has_exceeding_ended = False
        self._is_refusing = False
        self._logged_at = None
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

    @property
    def waiting_count(self):
        """Number of answers that are not read on for lack of room."""
        return len(self._waiting)

    def has_waiting(self):
        """Return whether answers are not read on for lack of room."""
        return bool(self._waiting)

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
        if self._waiting:
            self._resume_waiting()
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
        now = self._clock()
        self._is_refusing = True
        if self._logged_at is None or now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.warning(
                "memory full",
                used=self.used,
                capacity=self.capacity,
                refused=self._budget.refused,
            )

    # Answers.

    @property
    def is_tight(self):
        """Whether answers have no room left."""
        return self._answer_room <= 0

    def may_read_on(self, memory, resume, missing_size=None):
        """Return whether an answer may grow; if not, `resume` is called once it may.

        Parameters
        ----------
        memory : RequestMemory
            Memory of its request.
        resume : callable
            Called without arguments.
        missing_size : int or None
            Bytes that the answer still gets, if they are known.
        """
        if self._answer_room > 0:
            return True
        if self._exceeding is None:
            self._exceeding = memory
        if self._exceeding is memory:
            self._has_exceeding_ended = False
            return True
        if self._has_exceeding_ended and self._fits_unread(missing_size):
            self._exceeding = memory
            self._has_exceeding_ended = False
            return True
        self._waiting[memory] = _WaitingAnswer(resume, missing_size)
        return False

    def end_reading(self, memory):
        """Note that an answer has been read whole, and let the next one go on."""
        if self._exceeding is memory:
            self._has_exceeding_ended = True
            self._replace_ended()

    def _replace_ended(self):
        """Let the oldest answer go on if that beyond the capacity is only unread."""
        if not self._has_exceeding_ended or not self._waiting:
            return
        oldest = min(self._waiting, key=_get_number)
        if self._fits_unread(self._waiting[oldest].missing_size):
            self._exceeding = oldest
            self._has_exceeding_ended = False
            self._waiting.pop(oldest).resume()

    def _fits_unread(self, missing_size):
        if missing_size is None:
            return False
        limit = (1.0 - UNREAD_ANSWER_SPARE_SHARE) * self.capacity
        return self.used + missing_size <= limit

    def stop_waiting(self, memory):
        """Forget that an answer waits for room."""
        self._waiting.pop(memory, None)

    def leave(self, memory):
        """Let the next answer go beyond the capacity instead of one that has ended."""
        self._waiting.pop(memory, None)
        if self._exceeding is not memory:
            return
        self._exceeding = None
        self._has_exceeding_ended = False
        if self._waiting:
            self._exceeding = min(self._waiting, key=_get_number)
            self._waiting.pop(self._exceeding).resume()

    @property
    def _answer_room(self):
        capacity = self._budget.capacity
        return (1.0 - LARGE_ANSWER_SPARE_SHARE) * capacity - self._budget.used

    def _resume_waiting(self):
        for _ in range(int(self._answer_room // MAX_READ_BYTES)):
            if not self._waiting:
                return
            oldest = min(self._waiting, key=_get_number)
            self._waiting.pop(oldest).resume()
        self._replace_ended()


@dataclass(frozen=True, slots=True)
class _WaitingAnswer:
    """How to read on an answer, and how many bytes it still gets, if known."""

    resume: Callable[[], None]
    missing_size: int | None


class RequestMemory:
    """Memory of one request and its answers; has one owner, who releases it.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that it is taken from.
    number : int
        Place in the order of requests.
    """

    __slots__ = ("_budget", "_is_released", "number", "size")

    def __init__(self, budget, number):
        self._budget = budget
        self._is_released = False
        self.number = number
        self.size = 0

    def try_grow(self, amount):
        """Reserve bytes of the request; return whether they fit."""
        if not self._budget.try_reserve(amount, self._find_spare(amount)):
            return False
        self.size += amount
        return True

    def fits(self, amount):
        """Return whether so many more bytes of the request would fit now."""
        return self._budget.fits(amount, self._find_spare(amount))

    def _find_spare(self, amount):
        is_large = self.size + amount > SMALL_REQUEST_BYTES
        share = LARGE_REQUEST_SPARE_SHARE if is_large else SMALL_REQUEST_SPARE_SHARE
        return int(share * self._budget.capacity)

    def hold(self, amount):
        """Count bytes of an answer that have been read; negative for released ones."""
        if self._is_released:
            return
        self.size += amount
        if amount >= 0:
            self._budget.reserve(amount)
        else:
            self._budget.release(-amount)

    def shrink_to(self, size):
        """Release what goes beyond a size in bytes."""
        if self.size > size:
            self.hold(size - self.size)

    def may_read_on(self, resume, missing_size=None):
        """Return whether an answer may be read on; see MemoryBudget."""
        return self._is_released or self._budget.may_read_on(self, resume, missing_size)

    def end_reading(self):
        """Note that the answer has been read whole; see MemoryBudget."""
        self._budget.end_reading(self)

    @property
    def is_tight(self):
        """Whether answers have no room left."""
        return self._budget.is_tight

    def stop_waiting(self):
        """Forget that an answer waits for room."""
        self._budget.stop_waiting(self)

    def release(self):
        """Release everything; once is enough, and more often does no harm."""
        if self._is_released:
            return
        self._is_released = True
        size, self.size = self.size, 0
        self._budget.leave(self)
        self._budget.release(size)


class UncountedMemory:
    """Stands for the memory of a request that has no client, such as the store's."""

    is_tight = False

    def hold(self, amount):
        """Count nothing."""

    def may_read_on(self, resume, missing_size=None):
        """Let every answer go on."""
        del resume, missing_size
        return True

    def end_reading(self):
        """Do nothing: no answer waits."""

    def stop_waiting(self):
        """Do nothing: no answer waits."""


UNCOUNTED = UncountedMemory()


def _get_number(memory):
    return memory.number


def _ignore():
    pass
