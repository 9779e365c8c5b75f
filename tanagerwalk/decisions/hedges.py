"""When a late idempotent call is sent to a second server."""

from collections import deque

WINDOW_SIZE = 200
HEDGE_QUANTILE = 0.95
REFRESH_EVERY = 20


class HedgeDelays:
    """Observed 95th percentile of the duration of each class's calls."""

    def __init__(self):
        self._windows = {}
        self._delays = {}

    def record(self, work_class, seconds):
        """Take the duration of one answered call.

        Parameters
        ----------
        work_class : ClassName
            The class.
        seconds : float
            From the first attempt to the answer.
        """
        window = self._windows.get(work_class)
        if window is None:
            window = self._windows[work_class] = _DurationWindow()
        window.durations.append(seconds)
        window.recorded += 1
        if window.recorded % REFRESH_EVERY == 0:
            ordered = sorted(window.durations)
            self._delays[work_class] = ordered[int(len(ordered) * HEDGE_QUANTILE)]

    def get_delay(self, work_class):
        """Return seconds to wait before a hedge; None while too little is known."""
        return self._delays.get(work_class)


class _DurationWindow:
    def __init__(self):
        self.durations = deque(maxlen=WINDOW_SIZE)
        self.recorded = 0


def may_hedge(work_class, suspect, budget):
    """Return whether a late call may go to a second server now.

    Parameters
    ----------
    work_class : WorkClass
        Its declaration must allow hedges, and it must be idempotent.
    suspect : bool
        Whether the request was in flight in a crash; then it is never hedged.
    budget : RetryBudget
        Hedges that are left; one is spent if the answer is yes.
    """
    if not (work_class.hedge and work_class.idempotent) or suspect:
        return False
    return budget.try_withdraw()
