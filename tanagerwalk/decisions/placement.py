"""Which versions the engines of one failure domain should have loaded.

A decision looks only at what is loaded and what is wanted now, never at earlier
decisions. Whoever holds the lease next therefore goes on where the last one stopped.
"""

import hashlib
import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ..ids import BackendServerId, VersionName
from ..outcomes import Interface, VersionState

MIN_COPIES = 2
LOW_HEADROOM = 1.25
HIGH_HEADROOM = 2.0


class MoveKind(Enum):
    """What an engine is told about a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Move:
    """One change of what an engine has loaded."""

    kind: MoveKind
    server: BackendServerId
    version: VersionName


@dataclass(frozen=True, slots=True)
class Engine:
    """One engine that takes orders, as it is known now.

    Parameters
    ----------
    id : BackendServerId
        The engine.
    slots : int
        Versions that its memory holds.
    loaded : frozenset of VersionName
        Versions that it reports, less those that it was told to unload.
    loading : frozenset of VersionName
        Versions that it was told to load and does not report yet.
    unloading : frozenset of VersionName
        Versions that it was told to unload and may still hold.
    blocked : frozenset of VersionName
        Versions whose last order failed; they are left alone for a while.
    busy : int
        Requests that it runs.
    """

    id: BackendServerId
    slots: int
    loaded: frozenset[VersionName] = frozenset()
    loading: frozenset[VersionName] = frozenset()
    unloading: frozenset[VersionName] = frozenset()
    blocked: frozenset[VersionName] = frozenset()
    busy: int = 0

    @property
    def held(self):
        """Versions that it has or will have."""
        return self.loaded | self.loading

    @property
    def room(self):
        """Versions that it can take without giving one up."""
        return self.slots - len(self.held | self.unloading)


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


def list_needs(declaration, halted, estimate_demand):
    """Return what the declaration asks for, by version.

    Parameters
    ----------
    declaration : Declaration
        The newest declaration known.
    halted : collection of (ClassName, VersionName)
        Versions that were stopped at a class.
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
            _choose_floor(declaration, version, halted),
            estimate_demand(version.name),
        )
        for version in declaration.versions.values()
    }


def _choose_floor(declaration, version, halted):
    if version.state is VersionState.WITHDRAWN:
        return 0
    classes = _list_classes(declaration, version)
    if all((work_class, version.name) in halted for work_class in classes):
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
    wish : int
        Copies that are taken where there is free memory.
    """

    floor: int = 0
    low: int = 0
    high: int = 0
    wish: int = 0


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
    units = []
    for name, need in wanted.items():
        count = min(len(engines), max(need.floor, _count_demanded(need, LOW_HEADROOM)))
        units += [(_rank_unit(need, n), name) for n in range(count)]
    granted = Counter(name for _rank, name in sorted(units)[:total])
    return {
        name: _make_allotment(need, granted[name], len(engines))
        for name, need in wanted.items()
    }


def _count_demanded(need, headroom):
    """Return the copies that demand asks for; a candidate has just its exposure's."""
    if need.state is VersionState.CANDIDATE:
        return 0
    return math.ceil(need.demand * headroom)


def _rank_unit(need, number):
    if number < need.floor:
        return (number, _rank_state(need), -need.demand)
    return (MIN_COPIES, 0, number / need.demand)


def _rank_state(need):
    if need.state is VersionState.RELEASED:
        return 0
    if need.state is VersionState.CANDIDATE:
        return 2
    return 1 if need.demand > 0 else 3


def _make_allotment(need, granted, engines):
    floor = min(granted, need.floor)
    high = min(engines, max(granted, _count_demanded(need, HIGH_HEADROOM)))
    return Allotment(floor, granted, high, min(engines, need.floor))


def plan_moves(needs, engines, max_loads):
    """Choose the changes to start now.

    The last copy of a version that is wanted is never given up, and at most one copy
    of it goes in one decision, so that an order that comes late costs one copy at
    most.

    Parameters
    ----------
    needs : mapping of VersionName to Need
        What is wanted. Versions that it does not name are left alone while there is
        memory for them.
    engines : sequence of Engine
        All engines of the failure domain that take orders.
    max_loads : int
        Loads that may be under way at once, with those that already are.

    Returns
    -------
    list of Move
        Empty once nothing is left to do.
    """
    return _Planner(needs, engines, max_loads).plan()


class _Planner:
    """One decision in progress; it counts what it has already chosen."""

    def __init__(self, needs, engines, max_loads):
        self.needs = needs
        self.engines = sorted(engines, key=lambda engine: engine.id)
        self.allotments = allot_copies(needs, engines)
        self.budget = max_loads - sum(len(engine.loading) for engine in engines)
        self.room = {engine.id: engine.room for engine in engines}
        self.coming = {engine.id: len(engine.unloading) for engine in engines}
        self.safe = Counter(v for engine in engines for v in engine.loaded)
        self.held = Counter(v for engine in engines for v in engine.held)
        self.chosen = {engine.id: set(engine.held) for engine in engines}
        self.reduced = {v for engine in engines for v in engine.unloading}
        self.moves = []

    def plan(self):
        self._unload_withdrawn()
        progress = True
        while progress:
            progress = False
            for name in self._list_short():
                progress = self._add_copy(name) or progress
        return self.moves

    def _unload_withdrawn(self):
        for engine in self.engines:
            for name in sorted(engine.loaded - engine.blocked):
                need = self.needs.get(name)
                if need and need.state is VersionState.WITHDRAWN:
                    self._unload(engine, name)

    def _list_short(self):
        """Return the versions that lack a copy, the most urgent first."""
        short = []
        for name, allotment in self.allotments.items():
            count = self.held[name]
            if count >= max(allotment.low, allotment.wish):
                continue
            is_wish = count >= allotment.low
            rank = (is_wish, min(count, MIN_COPIES), _rank_state(self.needs[name]))
            short.append((rank, count / max(1, allotment.low), name))
        return [name for _rank, _share, name in sorted(short)]

    def _add_copy(self, name):
        """Load a copy, or see to its room; return whether it was loaded."""
        if self.budget <= 0:
            return False
        able = [engine for engine in self.engines if self._is_able(engine, name)]
        free = [engine for engine in able if self.room[engine.id] > 0]
        if free:
            engine = min(free, key=lambda e: (e.busy, -self.room[e.id], _draw(e, name)))
            self._load(engine, name)
            return True
        if self.held[name] < self.allotments[name].low:
            self._reserve_room(name, able)
        return False

    def _is_able(self, engine, name):
        taken = self.chosen[engine.id] | engine.blocked | engine.unloading
        return name not in taken

    def _reserve_room(self, name, able):
        for engine in able:
            if self.room[engine.id] + self.coming[engine.id] > 0:
                self.coming[engine.id] -= 1
                self.budget -= 1
                return
        self._make_room(name, able)

    def _make_room(self, name, able):
        urgent = self.held[name] < self.allotments[name].floor
        choices = [
            ((*self._rank_loss(victim), engine.busy, _draw(engine, victim)), n, victim)
            for n, engine in enumerate(able)
            for victim in sorted(engine.loaded - engine.blocked)
            if victim in self.chosen[engine.id] and self._may_go(victim, urgent)
        ]
        if not choices:
            return
        _rank, number, victim = min(choices)
        self._unload(able[number], victim)
        self.coming[able[number].id] -= 1
        self.budget -= 1

    def _rank_loss(self, victim):
        if victim not in self.allotments:
            return (0, 0)
        return (1, self.allotments[victim].high - self.held[victim])

    def _may_go(self, victim, urgent):
        if victim not in self.allotments:
            return True
        allotment = self.allotments[victim]
        keep = allotment.low if urgent else allotment.high
        if _is_serving(self.needs[victim]):
            keep = max(keep, 1)
        return victim not in self.reduced and self.safe[victim] > keep

    def _load(self, engine, name):
        self.moves.append(Move(MoveKind.LOAD, engine.id, name))
        self.chosen[engine.id].add(name)
        self.held[name] += 1
        self.room[engine.id] -= 1
        self.budget -= 1

    def _unload(self, engine, name):
        self.moves.append(Move(MoveKind.UNLOAD, engine.id, name))
        self.chosen[engine.id].discard(name)
        self.held[name] -= 1
        self.safe[name] -= 1
        self.reduced.add(name)
        self.coming[engine.id] += 1


def _is_serving(need):
    return need.state is VersionState.RELEASED or need.demand > 0


def _draw(engine, name):
    return hashlib.sha256(f"{engine.id} {name}".encode()).digest()
