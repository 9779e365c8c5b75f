"""Chooses the versions that answer a request: the cheapest good enough plan."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from expression import Error, Ok

from ..ids import VersionName
from ..messages import Plan
from ..outcomes import Refusal, RefusalReason, VersionState
from .evidence import Counts
from .quality import estimate_quality

RETRY_AFTER_UNAVAILABLE_S = 5.0
# Largest share of the traffic that all candidates of a class may get together.
MAX_CANDIDATES_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """Input for the choice of a plan.

    Parameters
    ----------
    evidence : callable
        Returns the fleet-wide Counts of a version for the class.
    available : frozenset of VersionName
        Versions that at least one backend server has loaded.
    halted : frozenset of VersionName
        Versions that were halted for the class because of their evidence.
    exposed : mapping of VersionName to float
        Candidates with a free exposure unit, each with the share of the class's
        traffic that it may get.
    durations : callable
        Returns the expected duration of an attempt in seconds, by version name.
    draw : float
        Random number from 0 to 1 that decides whether a candidate gets the
        request.
    time_left : float
        Seconds until the answer counts as late.
    rating_cost, rating_time : float
        Cost and duration in seconds of rating one answer.
    cascades : bool
        Whether cascades are possible: an answer can be rated before it is sent.
    excluded : frozenset of VersionName
        Versions that refused this request before anything was sent.
    """

    available: frozenset[VersionName]
    durations: Callable[[VersionName], float]
    evidence: Callable[[VersionName], Counts] = lambda _version: Counts()
    halted: frozenset[VersionName] = frozenset()
    exposed: Mapping[VersionName, float] = field(default_factory=dict)
    draw: float = 1.0
    time_left: float = float("inf")
    rating_cost: float = 0.0
    rating_time: float = 0.0
    cascades: bool = True
    excluded: frozenset[VersionName] = frozenset()


def is_allowed(declaration, account, version_name, in_session):
    """Return whether a version may take new work of a client account.

    Parameters
    ----------
    declaration : Declaration
        The newest declaration known.
    account : ClientAccountId
        Name of the client account.
    version_name : VersionName
        The version.
    in_session : bool
        Whether the work continues a session that already uses this version.
    """
    known = declaration.client_accounts.get(account)
    version = declaration.versions.get(version_name)
    if known is None or version is None or version_name not in known.versions:
        return False
    if version.state is VersionState.DRAINING:
        return in_session
    return version.state is not VersionState.WITHDRAWN


def serves(version, work_class_name):
    """Return whether a version is meant for a class of work.

    A version without any evaluation serves every class.
    """
    return not version.evaluated or work_class_name in version.evaluated


def choose_plan(declaration, account, work_class, inputs):
    """Choose the plan for a request without a session.

    Parameters
    ----------
    declaration : Declaration
        The newest declaration known.
    account : ClientAccount
        The caller's client account.
    work_class : WorkClass
        The class of work.
    inputs : PlanInputs
        Evidence, availability and halts.

    Returns
    -------
    Result of Plan, or of Refusal
        A candidate's plan for its share of the traffic. Otherwise the cheapest
        plan that meets the quality and lateness targets; if none does, plans that
        finish in time come first, then those of better quality.
    """
    usable = [
        declaration.versions[name]
        for name in sorted(account.versions)
        if _is_usable(declaration, account, work_class.name, name, inputs)
    ]
    released = [v for v in usable if v.state is VersionState.RELEASED]
    candidate = _draw_candidate(usable, released, inputs)
    if candidate is not None:
        estimate = _estimate(candidate, work_class, inputs)
        return Ok(_plan_single(candidate, estimate, inputs))
    if not released:
        return Error(
            Refusal(
                RefusalReason.NO_ALLOWED_VERSION,
                f'no version allowed to the account serves class "{work_class.name}"',
                retry_after=RETRY_AFTER_UNAVAILABLE_S,
            )
        )
    plans = _list_plans(released, work_class, inputs)
    return Ok(min(plans, key=lambda plan: _rank(plan, work_class, inputs)))


def _is_usable(declaration, account, work_class_name, name, inputs):
    if not is_allowed(declaration, account.name, name, in_session=False):
        return False
    if name not in inputs.available or name in inputs.halted:
        return False
    return name not in inputs.excluded and serves(
        declaration.versions[name], work_class_name
    )


def _draw_candidate(usable, released, inputs):
    """Return the candidate whose part of [0, 1) contains the draw, or None.

    If no released version is usable, the first candidate is returned instead of None.
    """
    candidates = [v for v in usable if v.name in inputs.exposed]
    candidates = [v for v in candidates if v.state is VersionState.CANDIDATE]
    total = sum(inputs.exposed[version.name] for version in candidates)
    scale = min(1.0, MAX_CANDIDATES_SHARE / total) if total > 0.0 else 0.0
    reached = 0.0
    for version in candidates:
        reached += inputs.exposed[version.name] * scale
        if inputs.draw < reached:
            return version
    return candidates[0] if candidates and not released else None


def _rank(plan, work_class, inputs):
    in_time = plan.duration <= inputs.time_left
    if plan.quality >= work_class.quality and in_time:
        return (0, plan.cost, len(plan.steps), plan.steps)
    return (1, not in_time, -plan.quality, plan.cost, plan.steps)


def _list_plans(released, work_class, inputs):
    # Estimated once per version, since there are many more cascades than versions.
    estimates = {v.name: _estimate(v, work_class, inputs) for v in released}
    plans = [_plan_single(v, estimates[v.name], inputs) for v in released]
    # A cascade may run a request twice, so the class has to be idempotent.
    if not inputs.cascades or not work_class.idempotent:
        return plans
    for cheap in released:
        for strong in released:
            if cheap.cost < strong.cost:
                plans.append(_plan_cascade(cheap, strong, estimates, inputs))
    return plans


def _estimate(version, work_class, inputs):
    return estimate_quality(version, work_class, inputs.evidence(version.name))


def _plan_single(version, estimate, inputs):
    candidate = None
    if version.state is VersionState.CANDIDATE:
        candidate = version.name
    cost = version.cost * estimate.tokens / 1000.0
    duration = inputs.durations(version.name)
    return Plan((version.name,), cost, estimate.lower, candidate, duration)


def _plan_cascade(cheap, strong, estimates, inputs):
    first, last = estimates[cheap.name], estimates[strong.name]
    cost = cheap.cost * first.tokens / 1000.0 + inputs.rating_cost
    cost += (1.0 - first.accept_rate) * strong.cost * last.tokens / 1000.0
    # Accepted answers are rated at or above the target; the others are replaced by
    # answers of the last step. The share of accepted ones is uncertain, so the lower
    # quality at the two ends of its confidence interval is used.
    quality = min(
        _mix_quality(accept_rate, first, last)
        for accept_rate in (
            first.accept_rate_lower,
            2.0 * first.accept_rate - first.accept_rate_lower,
        )
    )
    duration = inputs.durations(cheap.name) + inputs.rating_time
    duration += inputs.durations(strong.name)
    return Plan((cheap.name, strong.name), cost, quality, duration=duration)


def _mix_quality(accept_rate, first, last):
    accept_rate = min(1.0, accept_rate)
    return accept_rate * first.accepted_mean + (1.0 - accept_rate) * last.lower


def find_next_step(steps, index, time_left, durations, rating_time):
    """Return the index of the next step of a cascade to run.

    Parameters
    ----------
    steps : tuple of VersionName
        The steps of the cascade.
    index : int
        The step that is due.
    time_left : float
        Seconds until the request is abandoned.
    durations : callable
        Returns the expected duration of an attempt in seconds, by version name.
    rating_time : float
        Seconds that rating an answer takes.

    Returns
    -------
    int or None
        The first step from `index` on that leaves enough time for the last step;
        None if there is no time for the last step.
    """
    last = len(steps) - 1
    needed = durations(steps[last])
    for number in range(index, last):
        if durations(steps[number]) + rating_time + needed <= time_left:
            return number
    return last if needed <= time_left else None
