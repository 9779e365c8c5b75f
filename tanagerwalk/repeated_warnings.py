"""Log lines for problems that may occur with each request."""

import structlog

log = structlog.get_logger(__name__)

LOG_INTERVAL_S = 5.0


class RepeatedWarning:
    """Logs the occurrences 1, 2, 4, 8 and so on of a problem, with their number.

    Parameters
    ----------
    problem : str
        The event of the log line.

    Attributes
    ----------
    count : int
        Number of occurrences.
    """

    def __init__(self, problem):
        self._problem = problem
        self.count = 0

    def record(self, **details):
        """Count an occurrence, and log it if its number is a power of two."""
        self.count += 1
        if self.count & (self.count - 1) == 0:
            log.warning(self._problem, count=self.count, **details)


class RateLimitedWarning:
    """Logs a problem at most once in LOG_INTERVAL_S, with how often it has occurred.

    Parameters
    ----------
    problem : str
        The event of the log line.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    count : int
        Number of occurrences.
    """

    def __init__(self, problem, clock):
        self._problem = problem
        self._clock = clock
        self._logged_at = float("-inf")
        self.count = 0

    def record(self, **details):
        """Count an occurrence, and log it unless one was logged lately."""
        self.count += 1
        now = self._clock()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.warning(self._problem, count=self.count, **details)
