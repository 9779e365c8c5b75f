"""Which versions the engines of one failure domain should have loaded.

A decision looks only at what is loaded and what is wanted now, never at earlier
decisions. Whoever holds the lease next therefore goes on where the last one stopped.
"""

import hashlib
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ..ids import BackendServerId, VersionName
from ..outcomes import VersionState
from .allotments import MIN_COPIES, allot_copies, rank_state


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
            rank = (is_wish, min(count, MIN_COPIES), rank_state(self.needs[name]))
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
            if urgent:
                self._shift_copy(able)
            return
        _rank, number, victim = min(choices)
        self._unload(able[number], victim)
        self.coming[able[number].id] -= 1
        self.budget -= 1

    def _shift_copy(self, able):
        """Add a copy where there is memory, so that one on an able engine may go."""
        spare = [
            other
            for engine in able
            for other in engine.loaded
            if self.held[other] > self._find_low(other)
        ]
        if spare:
            # An earlier shift is under way.
            return
        for target in self.engines:
            if self.room[target.id] <= 0:
                continue
            for other in sorted({other for engine in able for other in engine.loaded}):
                if self._is_able(target, other):
                    self._load(target, other)
                    return

    def _find_low(self, name):
        return self.allotments[name].low if name in self.allotments else 0

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
