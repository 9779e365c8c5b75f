"""Sequential tests: their false alarm rate is bounded, however often they are run.

Each test bets against the hypothesis that a mean in [0, 1] lies on the good side
of a bound. The wealth of the bets is a nonnegative supermartingale while the
hypothesis holds, so it reaches `1 / alpha` with probability `alpha` at most. The
logarithm of the wealth is a sum over observations, so the sums of several instances
can be added in any order.
"""

import math

STAKES = (0.25, 0.5, 0.9)
SMALLEST_BOUND = 0.01
INITIAL_LOG_WEALTH = (0.0,) * len(STAKES)


def bet_below(rating, floor):
    """Return the log growth of bets that the mean is below `floor`, for each stake.

    Parameters
    ----------
    rating : float
        One observation, 0 to 1.
    floor : float
        Smallest mean that counts as good.

    Returns
    -------
    tuple of float
        One growth for each of `STAKES`.
    """
    # The largest deviation is 1 - floor, so a bet loses its stake at most.
    scale = 1.0 / max(1.0 - floor, SMALLEST_BOUND)
    return tuple(math.log1p(stake * scale * (floor - rating)) for stake in STAKES)


def bet_on_events(events, trials, ceiling):
    """Return the log wealth of bets that an event is more frequent than `ceiling`.

    Parameters
    ----------
    events, trials : int
        Number of events, and of trials in which one could occur.
    ceiling : float
        Largest rate of a good version, between 0 and 1.

    Returns
    -------
    tuple of float
        One log wealth for each of `STAKES`.
    """
    ceiling = min(max(ceiling, SMALLEST_BOUND), 1.0 - SMALLEST_BOUND)
    scale = 1.0 / ceiling
    return tuple(
        events * math.log1p(stake * scale * (1.0 - ceiling))
        + (trials - events) * math.log1p(-stake * scale * ceiling)
        for stake in STAKES
    )


def mix_wealths(wealths):
    """Return the log wealth if the initial wealth is split evenly over all stakes.

    Parameters
    ----------
    wealths : sequence of float
        Log wealth for each of `STAKES`.
    """
    highest = max(wealths)
    total = sum(math.exp(wealth - highest) for wealth in wealths)
    return highest + math.log(total / len(wealths))


def reaches_limit(wealths, limit):
    """Return whether the mixed log wealth has reached `limit`."""
    return max(wealths) >= limit and mix_wealths(wealths) >= limit


def add_wealths(first, second):
    """Return the log wealth of two independent series of bets combined."""
    return tuple(map(float.__add__, first, second))
