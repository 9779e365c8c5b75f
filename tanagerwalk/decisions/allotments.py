"""How many copies of each version the engines of a failure domain should have."""

import math
from collections import Counter
from dataclasses import dataclass

from ..outcomes import Interface, VersionState

MIN_COPIES = 2
LOW_HEADROOM = 1.25
HIGH_HEADROOM = 2.0


@dataclass(frozen=True, slots=True)
class Need:
    """How much of a version is wanted in the failure domain.

    Parameters
    ----------
    state : VersionState
        Where its roll-out stands.
    floor : int
        Copies that are wanted without any demand.
    demand : float
        Engines whose whole capacity it needs now.
    """

    state: VersionState
    floor: int
    demand: float = 0.0


def list_needs(declaration, is_halted, estimate_demand):
    """Return what the declaration asks for, by version.

    Parameters
    ----------
    declaration : Declaration
        The newest declaration known.
    is_halted : callable
        Returns whether a (ClassName, VersionName) was stopped.
    estimate_demand : callable
        Returns the engines that a version's demand needs.

    Returns
    -------
    dict of VersionName to Need
        A version with floor 0 is not wanted; a withdrawn one has to go.
    """
    return {
        version.name: Need(
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
    """Return the chat classes that some account may send to a version."""
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
    """Copies of one version: fewer than `low` ask for a load, more than `high` may go.

    Parameters
    ----------
    floor : int
        Copies that are worth giving up those of others above their `low`.
    low, high : int
        Between them nothing is changed, so that a little more or less demand
        moves nothing.
    target : int
        Copies that are taken where there is free memory.
    """

    floor: int = 0
    low: int = 0
    high: int = 0
    target: int = 0


def allot_copies(needs, engines):
    """Share the memory of the engines out among the versions.

    First copies go before second ones, and both before what demand asks for. Where
    memory is scarce, released versions go before draining ones that are in use,
    those before candidates, and those before draining ones that are not.

    Parameters
    ----------
    needs : mapping of VersionName to Need
        What is wanted.
    engines : sequence of Engine
        All engines of the failure domain that take orders.

    Returns
    -------
    dict of VersionName to Allotment
        Only versions that are wanted.
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
    """Return the copies that demand asks for; a candidate has just its exposure's."""
    if need.state is VersionState.CANDIDATE:
        return 0
    return math.ceil(need.demand * headroom)


def _rank_copy(need, number):
    if number < need.floor:
        return (number, rank_state(need), -need.demand)
    return (MIN_COPIES, 0, number / need.demand)


def rank_state(need):
    """Return the place of a version where memory is scarce; 0 goes first."""
    if need.state is VersionState.RELEASED:
        return 0
    if need.state is VersionState.CANDIDATE:
        return 2
    return 1 if need.demand > 0 else 3


def _make_allotment(need, granted, engines):
    floor = min(granted, need.floor)
    high = min(engines, max(granted, _count_demanded(need, HIGH_HEADROOM)))
    return Allotment(floor, granted, high, min(engines, need.floor))
