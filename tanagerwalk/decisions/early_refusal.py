"""Refusal of requests that compete for places before they wait in vain."""

from dataclasses import dataclass

from ..outcomes import RefusalReason

# Estimates of shorter waits are too coarse.
MIN_WAIT_S = 0.25
MAX_WAIT_SHARE = 0.8
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
    excess : float
        Part of its account's work that is beyond the account's fair share.
    time_left, objective : float
        Seconds until it expires, and its latency objective.
    """

    wait: float
    reading: float
    excess: float
    time_left: float
    objective: float


def find_early_refusal(prospect, draw):
    """Return why a request is refused at once, as RefusalReason; None if it isn't.

    Of the requests of an account beyond its share, a part goes as soon as waits exceed
    the objective, so that what is left is its share; of others, those that would miss
    their deadlines.

    Parameters
    ----------
    prospect : Prospect
        What the request can expect.
    draw : float
        Random number from 0 to 1.
    """
    if prospect.wait < MIN_WAIT_S:
        return None
    total = prospect.wait + prospect.reading
    if draw < prospect.excess and total > prospect.objective:
        return RefusalReason.ACCOUNT_OVER_SHARE
    if total > MAX_WAIT_SHARE * prospect.time_left:
        return RefusalReason.QUEUE_FULL
    return None


def find_drain_time(prospect, draw):
    """Return when a refused client should come back, in seconds.

    By then the servers have done what waits now; `draw`, from 0 to 1, spreads those
    that are refused together.
    """
    spread = prospect.wait * (0.75 + 0.5 * draw)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread))
