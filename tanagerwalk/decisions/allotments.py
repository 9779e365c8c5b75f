"""Number of copies of each version to load in a failure domain."""

import math
from collections import Counter
from dataclasses import dataclass

from ..outcomes import Interface, VersionState

MIN_COPIES = 2
LOW_HEADROOM = 1.25
HIGH_HEADROOM = 2.0


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """Demand for a version in the failure domain.

    Parameters
    ----------
    state : VersionState
        Its roll-out state.
    floor : int
        Copies to keep loaded even without demand; 0 if the version is not wanted.
    demand : float
        Current demand, in units of the whole capacity of one engine.
    """

    state: VersionState
    floor: int
    demand: float = 0.0


def list_version_needs(declaration, is_halted, estimate_demand):
    """Return the need for each declared version.

    Parameters
    ----------
    declaration : Declaration
        The latest known declaration.
    is_halted : callable
        Returns whether a (ClassName, VersionName) is halted.
    estimate_demand : callable
        Returns the number of engines that a version's demand occupies.

    Returns
    -------
    dict of VersionName to VersionNeed
        A version with floor 0 is not wanted; a withdrawn version is unloaded.
    """
    return {
        version.name: VersionNeed(
            version.state,
            _choose_floor(declaration, version, is_halted),
            estimate_demand(version.name),
        )
        for version in declaration.versions.values()
    }


def _choose_floor(declaration, version, is_halted):
    if version.state is VersionState.WITHDRAWN:
        return 0
    classes = _list_classes(declaration, version)
    if all(is_halted((work_class, version.name)) for work_class in classes):
        return 0
    if version.state is VersionState.CANDIDATE:
        return min(1, version.exposure)
    if version.state is VersionState.DRAINING:
        return 1
    return MIN_COPIES


def _list_classes(declaration, version):
    """Return the chat classes in which any client account may use a version."""
    return {
        name
        for account in declaration.client_accounts.values()
        if version.name in account.versions
        for name in account.classes
        if declaration.classes[name].interface is Interface.CHAT
        and (not version.evaluated or name in version.evaluated)
    }


@dataclass(frozen=True, slots=True)
class Allotment:
    """Number of copies of a version at which copies are loaded or unloaded.

    Parameters
    ----------
    floor : int
        Below this number, other versions give up their copies above `low` to free
        memory for this version.
    low, high : int
        Low and high watermarks. Below `low`, copies are loaded; above `high`, copies
        may be unloaded to free memory. Nothing changes between them, so that small
        changes of demand cause no moves.
    target : int
        Up to this number, copies are loaded if there is free memory.
    """

    floor: int = 0
    low: int = 0
    high: int = 0
    target: int = 0


def allot_copies(needs, engines):
    """Allocate the memory of the engines to the versions.

    First copies have priority over second copies, and both over copies for demand.
    If memory is scarce, released versions come first, then draining versions in use,
    then candidates, then unused draining versions.

    Parameters
    ----------
    needs : mapping of VersionName to VersionNeed
        Needs by version.
    engines : sequence of Engine
        All engines of the failure domain that accept orders.

    Returns
    -------
    dict of VersionName to Allotment
        Wanted versions only.
    """
    wanted = {name: need for name, need in needs.items() if need.floor > 0}
    total = sum(min(engine.slots, len(wanted)) for engine in engines)
    copies = []
    for name, need in wanted.items():
        count = min(len(engines), max(need.floor, _count_demanded(need, LOW_HEADROOM)))
        copies += [(_rank_copy(need, n), name) for n in range(count)]
    granted = Counter(name for _rank, name in sorted(copies)[:total])
    return {
        name: _make_allotment(need, granted[name], len(engines))
        for name, need in wanted.items()
    }


def _count_demanded(need, headroom):
    """Return the copies needed for demand; a candidate's are set by its exposure."""
    if need.state is VersionState.CANDIDATE:
        return 0
    return math.ceil(need.demand * headroom)


def _rank_copy(need, number):
    """Return the priority of a version's copy with index `number`; lowest first."""
    if number < need.floor:
        return (number, rank_state(need), -need.demand)
    return (MIN_COPIES, 0, number / need.demand)


def rank_state(need):
    """Return the priority of a version for scarce memory; 0 is the highest."""
    if need.state is VersionState.RELEASED:
        return 0
    if need.state is VersionState.CANDIDATE:
        return 2
    return 1 if need.demand > 0 else 3


def _make_allotment(need, granted, engines):
    floor = min(granted, need.floor)
    high = min(engines, max(granted, _count_demanded(need, HIGH_HEADROOM)))
    return Allotment(floor, granted, high, min(engines, need.floor))
