"""Hedging: sending a slow idempotent call to a second backend server."""

from collections import deque

WINDOW_SIZE = 200
HEDGE_QUANTILE = 0.95
REFRESH_EVERY = 20


class HedgeDelays:
    """Hedge delays: the observed 95th percentile of call durations per class."""

    def __init__(self):
        self._windows = {}
        self._delays = {}

    def record(self, work_class, seconds):
        """Record the duration of one answered call.

        Parameters
        ----------
        work_class : ClassName
            The class of work.
        seconds : float
            Time from the first attempt to the answer.
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
        """Return the hedge delay in seconds; None before `REFRESH_EVERY` calls."""
        return self._delays.get(work_class)


class _DurationWindow:
    def __init__(self):
        self.durations = deque(maxlen=WINDOW_SIZE)
        self.recorded = 0


def may_hedge(work_class, suspect, budget):
    """Return whether a slow call may be sent to a second backend server now.

    Parameters
    ----------
    work_class : WorkClass
        Hedging requires that its declaration allows hedges and that it is idempotent.
    suspect : bool
        Whether the request was in flight on a server that crashed; such a request is
        never hedged.
    budget : RetryBudget
        Hedge budget; one token is taken if the call may be hedged.
    """
    if not (work_class.hedge and work_class.idempotent) or suspect:
        return False
    return budget.try_withdraw()
