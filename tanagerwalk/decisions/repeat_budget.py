"""The budget of attempts beyond the first of each request, for each service."""

from collections import deque


class RepeatBudget:
    """Counts requests and repeated attempts of one service in a sliding window.

    All instances share the bound. Each keeps its own repeats within the bound for its
    own requests, so that the sum holds without any talk between them.

    Parameters
    ----------
    ratio : float
        Repeats that one request allows.
    window : float
        Length of the window in seconds.
    slack : float
        Repeats that are allowed on top, in each window.
    """

    def __init__(self, ratio, window, slack):
        self.set_bounds(ratio, window, slack)
        self._requests = deque()
        self._repeats = deque()

    def set_bounds(self, ratio, window, slack):
        """Put changed bounds in force; what was counted stays counted.

        Parameters
        ----------
        ratio : float
            Repeats that one request allows.
        window : float
            Length of the window in seconds.
        slack : float
            Repeats that are allowed on top, in each window.
        """
        self._ratio = ratio
        self._window = window
        self._slack = slack

    def record_request(self, now):
        """Count a request's first attempt at monotonic time `now`."""
        self._requests.append(now)
        self._expire(now)

    def record_repeat(self, now):
        """Count an attempt beyond the first."""
        self._repeats.append(now)
        self._expire(now)

    def allows(self, now, share=1.0):
        """Return whether one more repeat fits into a share of the budget.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        share : float
            Part of the budget that the kind of repeat may use up.
        """
        self._expire(now)
        limit = share * self._ratio * len(self._requests) + self._slack
        return len(self._repeats) + 1 <= limit

    def _expire(self, now):
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
