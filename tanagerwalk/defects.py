"""Containment of exceptions: each is counted and logged where it happened."""

import asyncio
import contextlib
from collections import Counter

import structlog

log = structlog.get_logger(__name__)


class DefectLog:
    """Counts and logs the exceptions that were contained.

    Parameters
    ----------
    event : str
        Event name of the log lines.
    metric : prometheus_client.Counter or None
        Counts them with the place as its label.

    Attributes
    ----------
    counts : collections.Counter
        Contained exceptions by place.
    """

    def __init__(self, event, metric=None):
        self._event = event
        self._metric = metric
        self.counts = Counter()

    def record(self, place, error):
        """Count and log an exception, or an unexpected end without one.

        Parameters
        ----------
        place : str
            Where it happened.
        error : BaseException or None
            The exception.
        """
        self.counts[place] += 1
        if self._metric is not None:
            self._metric.labels(place).inc()
        # Without memory for its log line the defect must still stay contained.
        with contextlib.suppress(MemoryError, RecursionError):
            log.critical(
                self._event, place=place, count=self.counts[place], exc_info=error
            )


class Subscribers:
    """Functions that are called one after another, isolated from one another.

    One that raises is called again by the next `call` or `retry`.

    Parameters
    ----------
    defects : DefectLog
        Records the exceptions.
    """

    def __init__(self, defects):
        self._defects = defects
        self._functions = []
        self._needed = []
        self._failed = []

    def add(self, function, is_needed=False):
        """Add a function.

        Parameters
        ----------
        function : callable
            Takes the arguments of `call`.
        is_needed : bool
            Whether `has_needed` is false after it has failed.
        """
        self._functions.append(function)
        if is_needed:
            self._needed.append(function)

    @property
    def has_needed(self):
        """Whether the last call of each needed function succeeded."""
        return not any(function in self._needed for function in self._failed)

    def call(self, *arguments):
        """Call all functions, whichever of them raise."""
        self._failed = self._call_each(self._functions, arguments)

    def retry(self, *arguments):
        """Call the functions again that failed in the last call."""
        if self._failed:
            self._failed = self._call_each(self._failed, arguments)

    def _call_each(self, functions, arguments):
        return [each for each in functions if not self._succeeds(each, arguments)]

    def _succeeds(self, function, arguments):
        try:
            function(*arguments)
        except Exception as error:
            self._defects.record(_get_name(function), error)
            return False
        return True


def _get_name(function):
    return getattr(function, "__qualname__", repr(function))


def is_cancelled_from_outside():
    """Return whether the running task was cancelled, not only something in it."""
    return asyncio.current_task().cancelling() > 0
