"""Which versions answer a request: the cheapest plan that meets the quality."""

import math
from dataclasses import dataclass

from expression import Error, Ok

from ..ids import ClassName, VersionName
from ..messages import Plan
from ..outcomes import Refusal, RefusalReason, VersionState

CONFIDENCE_Z = 1.64
EVALUATION_WEIGHT = 50.0
DEFAULT_RATING = 0.5
DEFAULT_RATING_WEIGHT = 2.0
PRIOR_VARIANCE = 0.05
MAX_CASCADE_LATENESS_SHARE = 1.0
RETRY_AFTER_UNAVAILABLE_S = 5.0


@dataclass(slots=True)
class RatingSums:
    """Sums over the ratings of one version at one class; they only grow."""

    count: int = 0
    total: float = 0.0
    squares: float = 0.0
    accepted: int = 0
    accepted_total: float = 0.0

    def add(self, rating, threshold):
        """Add one rating; `threshold` is the class's quality target."""
        self.count += 1
        self.total += rating
        self.squares += rating * rating
        if rating >= threshold:
            self.accepted += 1
            self.accepted_total += rating


@dataclass(frozen=True, slots=True)
class QualityEstimate:
    """Expected rating of a version's answers at one class.

    Parameters
    ----------
    mean : float
        Expected rating, 0 to 1.
    lower : float
        One-sided 95% lower confidence bound of `mean`.
    accept : float
        Expected share of answers that are rated at or above the target.
    accepted_mean : float
        Expected rating of those answers.
    """

    mean: float
    lower: float
    accept: float
    accepted_mean: float


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """What is known when a plan is chosen.

    Parameters
    ----------
    ratings : mapping of (ClassName, VersionName) to RatingSums
        Ratings gathered on the whole fleet.
    available : frozenset of VersionName
        Versions that some backend server has loaded.
    halted : frozenset of (ClassName, VersionName)
        Versions that the router itself stopped.
    exposed : frozenset of (ClassName, VersionName)
        Candidates that may take one more unrated answer.
    durations : callable
        Returns the expected seconds of an attempt for a version name.
    rating_cost : float
        Cost of rating one answer.
    rating_up : bool
        Whether the rating service answers, so that cascades can run.
    """

    ratings: dict[tuple[ClassName, VersionName], RatingSums]
    available: frozenset[VersionName]
    halted: frozenset[tuple[ClassName, VersionName]]
    exposed: frozenset[tuple[ClassName, VersionName]]
    durations: object
    rating_cost: float = 0.0
    rating_up: bool = True


def estimate_quality(version, work_class, sums):
    """Estimate the quality of a version at a class of work.

    Parameters
    ----------
    version : Version
        Its operators' evaluation is the prior.
    work_class : WorkClass
        The class; its target is the threshold of acceptance.
    sums : RatingSums or None
        Ratings gathered so far.

    Returns
    -------
    QualityEstimate
    """
    sums = sums or RatingSums()
    prior = version.evaluated.get(work_class.name)
    weight = DEFAULT_RATING_WEIGHT if prior is None else EVALUATION_WEIGHT
    prior = DEFAULT_RATING if prior is None else prior
    size = sums.count + weight
    mean = (sums.total + prior * weight) / size
    squares = (sums.squares + (prior * prior + PRIOR_VARIANCE) * weight) / size
    variance = max(0.0, squares - mean * mean)
    lower = mean - CONFIDENCE_Z * math.sqrt(variance / size)
    accept = (sums.accepted + prior * weight) / size
    accepted_prior = (1.0 + work_class.quality) / 2.0
    accepted_size = sums.accepted + prior * weight
    accepted_mean = work_class.quality
    if accepted_size > 0:
        accepted_sum = sums.accepted_total + accepted_prior * prior * weight
        accepted_mean = accepted_sum / accepted_size
    return QualityEstimate(mean, max(0.0, lower), accept, accepted_mean)


def is_allowed(declaration, account, version_name, in_session):
    """Return whether a version may start work for a client account now.

    Parameters
    ----------
    declaration : Declaration
        The newest declaration known.
    account : ClientAccountId
        Name of the client account.
    version_name : VersionName
        The version.
    in_session : bool
        Whether the work continues a session that already has this version.
    """
    known = declaration.client_accounts.get(account)
    version = declaration.versions.get(version_name)
    if known is None or version is None or version_name not in known.versions:
        return False
    if version.state is VersionState.DRAINING:
        return in_session
    return version.state is not VersionState.WITHDRAWN


def choose_plan(declaration, account, work_class, inputs):
    """Choose the plan for a request that has no session yet.

    Parameters
    ----------
    declaration : Declaration
        The newest declaration known.
    account : ClientAccount
        The caller's client account.
    work_class : WorkClass
        The class of work.
    inputs : PlanInputs
        Ratings, availability and halts.

    Returns
    -------
    Result of Plan, or of Refusal
        The cheapest plan that meets the quality and lateness targets. Where none
        does, the plan of the best quality among those that are in time.
    """
    usable = [
        declaration.versions[name]
        for name in sorted(account.versions)
        if _is_usable(declaration, account, work_class, name, inputs)
    ]
    plans = _list_plans(usable, work_class, inputs)
    if not plans:
        return Error(
            Refusal(
                RefusalReason.NO_ALLOWED_VERSION,
                f'no version allowed to the account serves class "{work_class.name}"',
                retry_after=RETRY_AFTER_UNAVAILABLE_S,
            )
        )
    exposing = [plan for plan in plans if plan.candidate is not None]
    if exposing:
        return Ok(min(exposing, key=lambda plan: plan.cost))
    good = [plan for plan in plans if plan.quality >= work_class.quality]
    if good:
        return Ok(min(good, key=lambda plan: plan.cost))
    return Ok(max(plans, key=lambda plan: plan.quality))


def _is_usable(declaration, account, work_class, name, inputs):
    if not is_allowed(declaration, account.name, name, in_session=False):
        return False
    if name not in inputs.available or (work_class.name, name) in inputs.halted:
        return False
    version = declaration.versions[name]
    if version.evaluated and work_class.name not in version.evaluated:
        return False
    if version.state is VersionState.CANDIDATE:
        return (work_class.name, name) in inputs.exposed
    return True


def _list_plans(usable, work_class, inputs):
    estimates = {
        version.name: estimate_quality(
            version, work_class, inputs.ratings.get((work_class.name, version.name))
        )
        for version in usable
    }
    plans = [_plan_single(v, work_class, estimates[v.name]) for v in usable]
    released = [v for v in usable if v.state is VersionState.RELEASED]
    if not inputs.rating_up:
        return plans
    for cheap in released:
        for strong in released:
            if cheap.cost >= strong.cost:
                continue
            plan = _plan_cascade(cheap, strong, work_class, estimates, inputs)
            if plan is not None:
                plans.append(plan)
    return plans


def _plan_single(version, work_class, estimate):
    candidate = None
    if version.state is VersionState.CANDIDATE:
        candidate = version.name
    cost = version.cost * work_class.tokens / 1000.0
    return Plan((version.name,), cost, estimate.lower, candidate)


def _plan_cascade(cheap, strong, work_class, estimates, inputs):
    slow = inputs.durations(cheap.name) + inputs.durations(strong.name)
    if slow > work_class.lateness * MAX_CASCADE_LATENESS_SHARE:
        return None
    first = estimates[cheap.name]
    escalate = 1.0 - first.accept
    tokens = work_class.tokens / 1000.0
    cost = (cheap.cost + escalate * strong.cost) * tokens + inputs.rating_cost
    margin = estimates[strong.name].mean - estimates[strong.name].lower
    quality = first.accept * first.accepted_mean
    quality += escalate * (estimates[strong.name].lower)
    return Plan((cheap.name, strong.name), cost, quality - margin * escalate)
