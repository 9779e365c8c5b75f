"""Retry budget of one service: attempts beyond the first of each request."""

from collections import deque


class SlidingRetryBudget:
    """Counts requests and retries of one service in a sliding window.

    The bound applies to all instances together. Each instance limits its retries by
    its own requests, so the sum stays within the bound without coordination. Another
    attempt with a larger model counts as a retry too.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    window : float
        Length of the window in seconds.
    slack : float
        Additional retries allowed in each window.
    """

    def __init__(self, ratio, window, slack):
        self.set_bounds(ratio, window, slack)
        self._requests = deque()
        self._retries = deque()

    def set_bounds(self, ratio, window, slack):
        """Apply new bounds; the counts of the current window are kept.

        Parameters
        ----------
        ratio : float
            Retries allowed for each request.
        window : float
            Length of the window in seconds.
        slack : float
            Additional retries allowed in each window.
        """
        self._ratio = ratio
        self._window = window
        self._slack = slack

    def record_request(self, now):
        """Count the first attempt of a request at monotonic time `now`."""
        self._requests.append(now)
        self._expire(now)

    def record_retry(self, now):
        """Count an attempt beyond the first."""
        self._retries.append(now)
        self._expire(now)

    def record_attempt(self, now, is_retry):
        """Count an attempt, the first of a request or a later one."""
        record = self.record_retry if is_retry else self.record_request
        record(now)

    def withdraw_attempt(self, recorded_at, is_retry):
        """Count an attempt no longer that turned out not to be sent.

        Parameters
        ----------
        recorded_at : float
            Monotonic time at which it was recorded, in seconds.
        is_retry : bool
            Whether it was recorded as a retry.
        """
        times = self._retries if is_retry else self._requests
        # They are in order, and it was recorded lately, or has left the window.
        index = len(times) - 1
        while index >= 0 and times[index] > recorded_at:
            index -= 1
        if index >= 0 and times[index] == recorded_at:
            del times[index]

    @property
    def request_count(self):
        """Number of first attempts in the window."""
        return len(self._requests)

    @property
    def retry_count(self):
        """Number of attempts beyond the first in the window."""
        return len(self._retries)

    def allows(self, now, share=1.0):
        """Return whether another retry fits into a fraction of the budget.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        share : float
            Fraction of the budget that this kind of retry may use.
        """
        self._expire(now)
        limit = share * self._ratio * len(self._requests) + self._slack
        return len(self._retries) + 1 <= limit

    def _expire(self, now):
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
