"""Selection of the model for requests that leave the choice to the router.

The smallest model is asked first: it is cheap, often good enough, and reports its
confidence. The largest model follows if its answer is likely to be better and the
engines have capacity for it.
"""

from dataclasses import dataclass

from ..ids import ModelName

# Below this confidence, more than half of the answers are not good enough.
CONFIDENCE_THRESHOLD = 50.0
# While requests wait for engines, only answers of low confidence are escalated.
TOLERATED_WAIT_S = 0.06
THRESHOLD_DROP_PER_S = 75.0
MIN_CONFIDENCE_THRESHOLD = 12.0


@dataclass(frozen=True, slots=True)
class ModelChoice:
    """A model that may answer the request.

    Parameters
    ----------
    name : ModelName
        The model.
    cost : float
        Price per 1,000 generated tokens.
    weight : float
        Time per token, relative to the largest model.
    """

    name: ModelName
    cost: float
    weight: float


def find_confidence_threshold(wait):
    """Return the confidence below which the request is escalated.

    Parameters
    ----------
    wait : float
        Current waiting time for an engine, in seconds.
    """
    drop = THRESHOLD_DROP_PER_S * max(0.0, wait - TOLERATED_WAIT_S)
    return max(MIN_CONFIDENCE_THRESHOLD, CONFIDENCE_THRESHOLD - drop)


def is_confident_enough(confidence, wait):
    """Return whether the answer of a smaller model is accepted.

    Parameters
    ----------
    confidence : int or None
        Confidence that the model reported for its answer, 0 to 100, or None.
    wait : float
        Current waiting time for an engine, in seconds.
    """
    return confidence is None or confidence >= find_confidence_threshold(wait)


def plan_models(models, max_attempts):
    """Return the models to ask, in order.

    Models in between are skipped, as they do little better than the smallest one.

    Parameters
    ----------
    models : sequence of ModelChoice
        Models of the route, smallest first.
    max_attempts : int
        Maximum number of backend servers that the request may be sent to.
    """
    if len(models) < 2 or max_attempts < 2:
        return tuple(models[-1:])
    return models[0], models[-1]
