"""Tail of the binomial distribution."""

import math

# Terms of a falling sum below this share of it don't change it.
NEGLIGIBLE_SHARE = 1e-12


def is_tail_below(level, bad, answers, rate):
    """Return whether `bad` or more failures in `answers` trials are that improbable.

    Parameters
    ----------
    level : float
        Probability, below a half.
    bad, answers : int
        Numbers of failures and of trials.
    rate : float
        Probability of each failure.
    """
    if bad <= rate * answers:
        # The median is about there.
        return False
    odds = rate / (1.0 - rate)
    term = math.exp(
        math.lgamma(answers + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(answers - bad + 1)
        + bad * math.log(rate)
        + (answers - bad) * math.log1p(-rate)
    )
    total = 0.0
    for count in range(bad, answers + 1):
        total += term
        if total >= level:
            return False
        if term <= NEGLIGIBLE_SHARE * total:
            break
        term *= odds * (answers - count) / (count + 1)
    return True
