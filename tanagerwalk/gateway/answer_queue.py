"""Answers that wait for memory, and the one that may go beyond the capacity."""

from collections.abc import Callable
from dataclasses import dataclass

# Part of the capacity that stays free for requests when large answers come.
LARGE_ANSWER_SPARE_SHARE = 0.45
# Part of the capacity that stays free when an answer goes on beside one that was read
# whole from its server and that its client has not taken.
UNREAD_ANSWER_SPARE_SHARE = 0.25
# What an answer may hold without asking, so that small ones don't wait; less of it
# once answers have no room left, as many may wait then.
SMALL_ANSWER_BYTES = 64 * 1024
TIGHT_ANSWER_BYTES = 16 * 1024
# A connection to a server may receive so much before it is paused.
MAX_READ_BYTES = 64 * 1024
TIGHT_READ_BYTES = 16 * 1024


class AnswerQueue:
    """Decides which answers are read on from their servers.

    Reading stops once answers have no room left, and goes on in the order of their
    requests. One answer at a time may go beyond the capacity, so that there is always
    one that goes on. Once it has been read whole, and while its client takes it, the
    next one goes on if it leaves room for small requests.

    Parameters
    ----------
    budget : ResourceBudget
        Counts the bytes that requests and answers take.
    """

    def __init__(self, budget):
        self._budget = budget
        self._waiting = {}
        self._exceeding = None
        self._is_exceeding_read = False

    @property
    def waiting_count(self):
        """Number of answers that are not read on for lack of room."""
        return len(self._waiting)

    def has_waiting(self):
        """Return whether answers are not read on for lack of room."""
        return bool(self._waiting)

    @property
    def is_tight(self):
        """Whether answers have no room left."""
        return self._room <= 0

    @property
    def _room(self):
        limit = (1.0 - LARGE_ANSWER_SPARE_SHARE) * self._budget.capacity
        return limit - self._budget.used

    def may_read_on(self, memory, resume, missing_size=None):
        """Return whether an answer may grow.

        If not, queue it and call `resume` once it may.

        Parameters
        ----------
        memory : RequestMemory
            Memory of its request.
        resume : callable
            Called without arguments.
        missing_size : int or None
            Bytes that the answer still gets, if they are known.
        """
        if not self.is_tight:
            return True
        if self._may_exceed(memory, missing_size):
            self._let_exceed(memory)
            return True
        self._waiting[memory] = _WaitingAnswer(resume, missing_size)
        return False

    def end_reading(self, memory):
        """Note that an answer has been read whole, and let the next one go on."""
        if self._exceeding is memory:
            self._is_exceeding_read = True
            self._replace_read()

    def stop_waiting(self, memory):
        """Forget that an answer waits for room."""
        self._waiting.pop(memory, None)

    def leave(self, memory):
        """Forget an answer that has ended, and let the next one exceed the capacity."""
        self._waiting.pop(memory, None)
        if self._exceeding is not memory:
            return
        self._let_exceed(None)
        if self._waiting:
            self._let_exceed(self._find_oldest())
            self._resume(self._exceeding)

    def resume_waiting(self):
        """Let as many answers go on as there is room for."""
        for _ in range(int(self._room // MAX_READ_BYTES)):
            if not self._waiting:
                return
            self._resume(self._find_oldest())
        self._replace_read()

    def _may_exceed(self, memory, missing_size):
        if self._exceeding is None or self._exceeding is memory:
            return True
        return self._is_exceeding_read and self._fits_unread(missing_size)

    def _fits_unread(self, missing_size):
        """Return whether an answer of known size fits beside the unread one."""
        if missing_size is None:
            return False
        limit = (1.0 - UNREAD_ANSWER_SPARE_SHARE) * self._budget.capacity
        return self._budget.used + missing_size <= limit

    def _replace_read(self):
        """Let the oldest answer go on if it may.

        It may once the one beyond the capacity has been read.
        """
        if not self._is_exceeding_read or not self._waiting:
            return
        oldest = self._find_oldest()
        if self._fits_unread(self._waiting[oldest].missing_size):
            self._let_exceed(oldest)
            self._resume(oldest)

    def _let_exceed(self, memory):
        self._exceeding = memory
        self._is_exceeding_read = False

    def _find_oldest(self):
        return min(self._waiting, key=_get_number)

    def _resume(self, memory):
        self._waiting.pop(memory).resume()


@dataclass(frozen=True, slots=True)
class _WaitingAnswer:
    """How to read on an answer, and how many bytes it still gets, if known."""

    resume: Callable[[], None]
    missing_size: int | None


def _get_number(memory):
    return memory.number
