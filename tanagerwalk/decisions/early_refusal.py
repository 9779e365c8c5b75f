"""Refusal of requests that compete for places before they wait in vain."""

from dataclasses import dataclass

from ..outcomes import RefusalReason
from .fair_shares import Standing

# No request is refused while the longest wait is shorter: estimates are too coarse.
MIN_WAIT_S = 0.25
# Expected waits as parts of the remaining time: of the requests that would wait longer
# than the first, a part is refused, which grows with the wait; beyond the second, all.
# All instances learn of the same queue at once, and a threshold would make them refuse
# and accept in turn.
FIRST_REFUSED_WAIT_SHARE = 0.6
LAST_ACCEPTED_WAIT_SHARE = 1.0
# Fair shares left to an account whose requests delay only less urgent ones.
LENIENT_SHARES = 2.0
MIN_RETRY_AFTER_S = 0.2
# Multiples of the wait over which the retries of refused clients are spread.
MIN_RETRY_SPREAD = 0.75
MAX_RETRY_SPREAD = 1.25


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a request can expect while requests compete for places.

    Parameters
    ----------
    wait : float
        Seconds until it is begun.
    prefill_time : float
        Seconds that a server then takes to process its prompt.
    last_wait : float
        Seconds until the least urgent request that comes now is begun.
    standing : Standing
        How its account stands among the others.
    time_left, objective : float
        Time until it expires, and its latency objective, in seconds.
    longest_objective, longest_timeout : float
        The longest latency objective and timeout of requests for the service, in
        seconds.
    """

    wait: float
    prefill_time: float
    last_wait: float
    standing: Standing
    time_left: float
    objective: float
    longest_objective: float
    longest_timeout: float

    @property
    def total_wait(self):
        """Seconds until the first part of its answer."""
        return self.wait + self.prefill_time


def find_early_refusal(prospect, draw):
    """Return why a request is refused at once, as RefusalReason; None if it isn't.

    If an account exceeds its fair share, a part of its requests is refused once their
    wait exceeds their objective, so that the rest equals its share. If only less urgent
    requests wait longer than their objective, the account keeps twice its share. Of the
    other requests, the nearer they would come to their deadlines, the more are refused,
    unless their account keeps to its share and another one does not.

    Parameters
    ----------
    prospect : Prospect
        What the request can expect.
    draw : float
        Random number from 0 to 1.
    """
    if prospect.last_wait < MIN_WAIT_S:
        return None
    over_share = _find_refused_over_share(prospect)
    if draw < over_share:
        return RefusalReason.ACCOUNT_OVER_SHARE
    if draw < over_share + (1.0 - over_share) * _find_refused_for_wait(prospect):
        return RefusalReason.QUEUE_FULL
    return None


def find_late_refusal(prospect):
    """Return why a request is refused that was accepted before and hasn't been sent.

    Only if it can't be begun before its deadline, whatever the estimates were before.

    Parameters
    ----------
    prospect : Prospect
        What the request can expect.
    """
    if prospect.standing.is_crowded_out or prospect.total_wait <= prospect.time_left:
        return None
    return RefusalReason.QUEUE_FULL


def _find_refused_for_wait(prospect):
    """Return the fraction of such requests that is refused for their wait, 0 to 1."""
    if prospect.standing.is_crowded_out:
        return 0.0
    first = FIRST_REFUSED_WAIT_SHARE * prospect.time_left
    last = LAST_ACCEPTED_WAIT_SHARE * prospect.time_left
    if prospect.total_wait >= last:
        return 1.0
    return max(0.0, (prospect.total_wait - first) / (last - first))


def _find_refused_over_share(prospect):
    """Return the fraction of its account's requests that is refused, 0 to 1."""
    excess = prospect.standing.excess
    if prospect.total_wait > prospect.objective:
        return excess
    if prospect.last_wait > prospect.longest_objective:
        return max(0.0, 1.0 - LENIENT_SHARES * (1.0 - excess))
    return 0.0


def choose_retry_delay(prospect, draw):
    """Return the seconds after which a refused client should retry.

    By then the servers have begun what waits now, or it has expired. `draw`, a random
    number from 0 to 1, spreads the clients that are refused together.
    """
    wait = max(prospect.wait, prospect.last_wait - prospect.longest_objective)
    wait = min(wait, prospect.longest_timeout / MAX_RETRY_SPREAD)
    spread = wait * (MIN_RETRY_SPREAD + (MAX_RETRY_SPREAD - MIN_RETRY_SPREAD) * draw)
    return max(MIN_RETRY_AFTER_S, spread)
