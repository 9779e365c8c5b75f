"""Which model answers a request that leaves the choice to the router.

The smallest model is asked first: it is cheap, often good enough, and says itself
when it is not. The largest one follows where its answer is likely to be better and
engines have time for it.
"""

from dataclasses import dataclass

from ..ids import ModelName

# Below this confidence an answer is more often too weak than not.
CONFIDENCE_THRESHOLD = 50.0
# While requests wait for engines, only the weakest answers are worth another run.
TOLERATED_WAIT_S = 0.06
THRESHOLD_DROP_PER_S = 75.0
MIN_CONFIDENCE_THRESHOLD = 12.0


@dataclass(frozen=True, slots=True)
class ModelChoice:
    """A model that may be asked.

    Parameters
    ----------
    name : ModelName
        The model.
    cost : float
        Price of 1,000 generated tokens.
    weight : float
        Time that a token takes, relative to the largest model.
    """

    name: ModelName
    cost: float
    weight: float


def find_confidence_threshold(wait):
    """Return the confidence below which a larger model is asked.

    Parameters
    ----------
    wait : float
        Seconds that a request waits for an engine now.
    """
    drop = THRESHOLD_DROP_PER_S * max(0.0, wait - TOLERATED_WAIT_S)
    return max(MIN_CONFIDENCE_THRESHOLD, CONFIDENCE_THRESHOLD - drop)


def is_confident_enough(confidence, wait):
    """Return whether a smaller model's answer is taken.

    Parameters
    ----------
    confidence : int or None
        The model's opinion of its own answer, 0 to 100; None if it has none.
    wait : float
        Seconds that a request waits for an engine now.
    """
    return confidence is None or confidence >= find_confidence_threshold(wait)


def plan_models(models, max_attempts):
    """Return the models to ask, in order.

    Those in between do little better than the smallest, so the largest one follows.

    Parameters
    ----------
    models : sequence of ModelChoice
        Models of the route, smallest first.
    max_attempts : int
        Most backend servers that the request may be sent to.
    """
    if len(models) < 2 or max_attempts < 2:
        return tuple(models[-1:])
    return models[0], models[-1]
