"""Log lines for problems that may occur with each request."""

import structlog

log = structlog.get_logger(__name__)


class RepeatedWarning:
    """Logs the occurrences 1, 2, 4, 8 and so on of a problem, with their number.

    Parameters
    ----------
    problem : str
        The event of the log line.
    """

    def __init__(self, problem):
        self._problem = problem
        self.count = 0

    def record(self, **details):
        """Count an occurrence, and log it if its number is a power of two."""
        self.count += 1
        if self.count & (self.count - 1) == 0:
            log.warning(self._problem, count=self.count, **details)
