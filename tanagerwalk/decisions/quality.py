"""Estimates the rating and the length of a version's answers."""

import math
from dataclasses import dataclass

from .evidence import Counts

CONFIDENCE_Z = 1.64
EVALUATION_WEIGHT = 50.0
DEFAULT_RATING = 0.5
DEFAULT_RATING_WEIGHT = 2.0
PRIOR_VARIANCE = 0.05
TOKENS_WEIGHT = 5.0
# An answer whose rating is further below the class's target is worse than a refusal.
TOLERABLE_MARGIN = 0.2


@dataclass(frozen=True, slots=True)
class QualityEstimate:
    """Expected rating and length of a version's answers for one class.

    Parameters
    ----------
    mean : float
        Expected rating, 0 to 1.
    lower : float
        One-sided 95% lower confidence bound of `mean`.
    accept_rate : float
        Expected share of answers that are rated at or above the target.
    accept_rate_lower : float
        One-sided 95% lower confidence bound of `accept_rate`.
    accepted_mean : float
        Expected rating of the answers at or above the target.
    tokens : float
        Expected number of generated tokens.
    """

    mean: float
    lower: float
    accept_rate: float
    accept_rate_lower: float
    accepted_mean: float
    tokens: float


def estimate_quality(version, work_class, counts=None):
    """Estimate the quality of a version for a class of work.

    Parameters
    ----------
    version : Version
        The version; its operators' evaluation is the prior.
    work_class : WorkClass
        The class; answers rated at or above its target are accepted.
    counts : Counts or None
        Evidence gathered so far.

    Returns
    -------
    QualityEstimate
    """
    counts = counts or Counts()
    prior = version.evaluated.get(work_class.name)
    weight = DEFAULT_RATING_WEIGHT if prior is None else EVALUATION_WEIGHT
    prior = DEFAULT_RATING if prior is None else prior
    size = counts.count + weight
    mean = (counts.total + prior * weight) / size
    squares = (counts.squares + (prior * prior + PRIOR_VARIANCE) * weight) / size
    lower = mean - _find_margin(max(0.0, squares - mean * mean), size)
    accept_rate = (counts.accepted + prior * weight) / size
    accept_rate_lower = accept_rate - _find_margin(
        accept_rate * (1.0 - accept_rate), size
    )
    return QualityEstimate(
        mean,
        max(0.0, lower),
        accept_rate,
        max(0.0, accept_rate_lower),
        _find_accepted_mean(work_class.quality, prior * weight, counts),
        _find_tokens(work_class, counts),
    )


def is_tolerable(rating, work_class):
    """Return whether an answer below the target is still better than a refusal."""
    return rating >= work_class.quality - TOLERABLE_MARGIN


def _find_margin(variance, size):
    return CONFIDENCE_Z * math.sqrt(variance / size)


def _find_accepted_mean(target, prior_accepted, counts):
    size = counts.accepted + prior_accepted
    if size <= 0.0:
        return target
    return (counts.accepted_total + (1.0 + target) / 2.0 * prior_accepted) / size


def _find_tokens(work_class, counts):
    size = counts.answers + TOKENS_WEIGHT
    return (counts.tokens + work_class.tokens * TOKENS_WEIGHT) / size
