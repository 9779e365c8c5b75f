"""Refusal of requests that compete for places before they wait in vain."""

from dataclasses import dataclass

from ..outcomes import RefusalReason
from .fair_shares import Standing

# Estimates of shorter waits are too coarse.
MIN_WAIT_S = 0.25
MAX_WAIT_SHARE = 0.8
# Fair shares left to an account whose requests hold up only less urgent ones.
LENIENT_SHARES = 2.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a request can expect while requests compete for places.

    Parameters
    ----------
    wait : float
        Seconds until it is begun.
    reading : float
        Seconds that a server then takes to read its prompt.
    last_wait : float
        Seconds until the least urgent request that comes now is begun.
    standing : Standing
        How its account stands among the others.
    time_left, objective : float
        Seconds until it expires, and its latency objective.
    longest_objective : float
        The longest latency objective of requests for the service.
    """

    wait: float
    reading: float
    last_wait: float
    standing: Standing
    time_left: float
    objective: float
    longest_objective: float

    @property
    def total_wait(self):
        """Seconds until the first part of its answer."""
        return self.wait + self.reading


def find_early_refusal(prospect, draw):
    """Return why a request is refused at once, as RefusalReason; None if it isn't.

    Of the requests of an account beyond its share, a part goes as soon as waits exceed
    the objective, so that what is left is its share. Where only less urgent requests
    wait too long, an account is left twice its share. Of others, those go that would
    miss their deadlines, unless it is another account that crowds them out.

    Parameters
    ----------
    prospect : Prospect
        What the request can expect.
    draw : float
        Random number from 0 to 1.
    """
    if prospect.last_wait < MIN_WAIT_S:
        return None
    if draw < _find_refused_share(prospect):
        return RefusalReason.ACCOUNT_OVER_SHARE
    misses_deadline = prospect.total_wait > MAX_WAIT_SHARE * prospect.time_left
    if misses_deadline and not prospect.standing.is_crowded_out:
        return RefusalReason.QUEUE_FULL
    return None


def _find_refused_share(prospect):
    """Return the part of its account's requests that are refused, 0 to 1."""
    excess = prospect.standing.excess
    if prospect.total_wait > prospect.objective:
        return excess
    if prospect.last_wait > prospect.longest_objective:
        return max(0.0, 1.0 - LENIENT_SHARES * (1.0 - excess))
    return 0.0


def find_drain_time(prospect, draw):
    """Return when a refused client should come back, in seconds.

    By then the servers have done what waits now; `draw`, from 0 to 1, spreads those
    that are refused together.
    """
    wait = max(prospect.wait, prospect.last_wait - prospect.longest_objective)
    spread = wait * (0.75 + 0.5 * draw)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread))
