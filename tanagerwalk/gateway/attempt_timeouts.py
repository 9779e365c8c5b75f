"""Chooses the timeouts of an attempt."""

from ..manifest import Repeatability
from .attempt_plan import AttemptTimeouts

UNRESPONSIVE_TIMEOUT_SHARE = 0.3
MIN_UNRESPONSIVE_TIMEOUT_S = 0.5
MAX_UNRESPONSIVE_TIMEOUT_S = 2.0
STREAM_IDLE_TIMEOUT_S = 2.0
# Clients leave a stream after a gap of these multiples of its latency objective and of
# its objective for the pauses between events.
CLIENT_GAP_PER_OBJECTIVE = 4.0
CLIENT_GAP_PER_GAP_OBJECTIVE = 8.0
# Part of that gap after which another attempt goes on with a stalled stream, so that
# its events come before the client leaves.
RESUMED_GAP_SHARE = 0.5


def choose_timeouts(route, attempts_left, time_left):
    """Return the AttemptTimeouts of the next attempt.

    They are shorter than the deadline only if another attempt may follow. Whether one
    can follow shows only once they are over; see `AttemptPlan.outlasts_silence`.

    Parameters
    ----------
    route : Route
        Route of the request.
    attempts_left : int
        Attempts that may be sent, the next one included.
    time_left : float
        Seconds until the deadline.
    """
    client_gap = _find_client_gap(route)
    if not route.repeatable or attempts_left <= 1:
        return AttemptTimeouts(time_left, time_left, time_left, client_gap, client_gap)
    unresponsive = max(
        MIN_UNRESPONSIVE_TIMEOUT_S, time_left * UNRESPONSIVE_TIMEOUT_SHARE
    )
    unresponsive = min(MAX_UNRESPONSIVE_TIMEOUT_S, unresponsive)
    is_stream = route.repeatability is Repeatability.STREAM
    idle = STREAM_IDLE_TIMEOUT_S if is_stream else time_left
    return AttemptTimeouts(
        min(time_left, unresponsive),
        min(time_left, idle),
        time_left,
        max(STREAM_IDLE_TIMEOUT_S, RESUMED_GAP_SHARE * client_gap),
        client_gap,
    )


def _find_client_gap(route):
    """Return the seconds between two events after which clients leave a stream."""
    return max(
        STREAM_IDLE_TIMEOUT_S,
        CLIENT_GAP_PER_OBJECTIVE * route.objective,
        CLIENT_GAP_PER_GAP_OBJECTIVE * route.gap_objective,
    )
