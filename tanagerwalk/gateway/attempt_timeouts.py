"""Chooses the timeouts of an attempt."""

from ..manifest import Repeatability
from .exchange import AttemptTimeouts

UNRESPONSIVE_TIMEOUT_SHARE = 0.3
MIN_UNRESPONSIVE_TIMEOUT_S = 0.5
MAX_UNRESPONSIVE_TIMEOUT_S = 2.0
STREAM_IDLE_TIMEOUT_S = 2.0


def choose_timeouts(route, attempts_left, time_left):
    """Return the AttemptTimeouts of the next attempt.

    They are shorter than the deadline only if another attempt can follow.

    Parameters
    ----------
    route : Route
        Route of the request.
    attempts_left : int
        Attempts that may be sent, the next one included.
    time_left : float
        Seconds until the deadline.
    """
    if not route.repeatable or attempts_left <= 1:
        return AttemptTimeouts(time_left, time_left, time_left)
    unresponsive = max(
        MIN_UNRESPONSIVE_TIMEOUT_S, time_left * UNRESPONSIVE_TIMEOUT_SHARE
    )
    unresponsive = min(MAX_UNRESPONSIVE_TIMEOUT_S, unresponsive)
    is_stream = route.repeatability is Repeatability.STREAM
    idle = STREAM_IDLE_TIMEOUT_S if is_stream else time_left
    return AttemptTimeouts(
        min(time_left, unresponsive), min(time_left, idle), time_left
    )
