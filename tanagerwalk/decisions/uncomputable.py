"""What counts for a server whose load can't be computed."""

import functools
import math

from ..repeated_warnings import RepeatedWarning

# What arithmetic raises for numbers that it doesn't take.
NUMBER_FAULTS = (ArithmeticError, ValueError)
# Load of a server, relative to one that is fully used, with which it comes last.
UNCOMPUTABLE_LOAD = 1e6

_warning = RepeatedWarning("load can't be computed")


def replace_if_uncomputable(substitute):
    """Return a decorator that confines a fault in an estimate to its server.

    Parameters
    ----------
    substitute : float
        What counts instead of an exception, or of a number that isn't finite.

    Returns
    -------
    callable
        Takes a method that takes a ServerUsage and more, and returns a number.
    """

    def wrap(estimate):
        @functools.wraps(estimate)
        def estimate_or_replace(self, usage, *args, **kwargs):
            try:
                load = estimate(self, usage, *args, **kwargs)
            except NUMBER_FAULTS as error:
                problem = repr(error)
            else:
                if math.isfinite(load):
                    return load
                problem = repr(load)
            _warning.record(server=usage.server.id, problem=problem)
            return substitute

        return estimate_or_replace

    return wrap


rank_last_if_uncomputable = replace_if_uncomputable(UNCOMPUTABLE_LOAD)
