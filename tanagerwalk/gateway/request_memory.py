"""Memory that one request and its answers take."""

# Part of the capacity that stays free for small requests when large ones come, and for
# answers when requests come.
LARGE_REQUEST_SPARE_SHARE = 0.45
SMALL_REQUEST_SPARE_SHARE = 0.15
SMALL_REQUEST_BYTES = 64 * 1024


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
        """Return whether an answer may be read on; see AnswerQueue."""
        if self._is_released:
            return True
        return self._budget.answers.may_read_on(self, resume, missing_size)

    def end_reading(self):
        """Note that the answer has been read whole; see AnswerQueue."""
        self._budget.answers.end_reading(self)

    @property
    def is_tight(self):
        """Whether answers have no room left."""
        return self._budget.answers.is_tight

    def stop_waiting(self):
        """Forget that an answer waits for room."""
        self._budget.answers.stop_waiting(self)

    def release(self):
        """Release everything; once is enough, and more often does no harm."""
        if self._is_released:
            return
        self._is_released = True
        size, self.size = self.size, 0
        self._budget.answers.leave(self)
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
