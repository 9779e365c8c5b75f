"""Placement of versions on the engines of one failure domain.

A decision depends only on the loaded and the wanted versions, never on earlier
decisions, so that the next lease holder continues where the previous one stopped.
"""

import hashlib
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ..ids import BackendServerId, VersionName
from ..outcomes import VersionState
from .allotments import MIN_COPIES, allot_copies, rank_state


class MoveKind(Enum):
    """Kind of a change to an engine's loaded versions."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Move:
    """One change to the loaded versions of an engine."""

    kind: MoveKind
    server: BackendServerId
    version: VersionName


@dataclass(frozen=True, slots=True)
class Engine:
    """Current state of one engine that accepts orders.

    Parameters
    ----------
    id : BackendServerId
        The engine.
    slots : int
        Number of versions that fit into its memory.
    loaded : frozenset of VersionName
        Versions that it reports, except those ordered to be unloaded.
    loading : frozenset of VersionName
        Versions that it was ordered to load and does not report yet.
    unloading : frozenset of VersionName
        Versions that it was ordered to unload and may still hold.
    blocked : frozenset of VersionName
        Versions for which no order is sent for now, because the last one failed.
    outstanding_requests : int
        Requests running or waiting on it.
    """

    id: BackendServerId
    slots: int
    loaded: frozenset[VersionName] = frozenset()
    loading: frozenset[VersionName] = frozenset()
    unloading: frozenset[VersionName] = frozenset()
    blocked: frozenset[VersionName] = frozenset()
    outstanding_requests: int = 0

    @property
    def held(self):
        """Versions that are loaded or being loaded."""
        return self.loaded | self.loading

    @property
    def free_slots(self):
        """Number of versions that it can load without unloading another."""
        return self.slots - len(self.held | self.unloading)


def plan_moves(needs, engines, max_loads):
    """Return the moves to start now.

    The last copy of a wanted version is never unloaded, and one decision unloads at
    most one copy of each, so that an order that takes effect late costs at most one
    copy.

    Parameters
    ----------
    needs : mapping of VersionName to VersionNeed
        Wanted versions. Other versions stay loaded until their memory is needed.
    engines : sequence of Engine
        All engines of the failure domain that accept orders.
    max_loads : int
        Maximum number of concurrent loads, including those already in progress.

    Returns
    -------
    list of Move
        Empty if the placement is as wanted.
    """
    return _Planner(needs, engines, max_loads).plan()


class _Planner:
    """State of one decision, updated with each chosen move."""

    def __init__(self, needs, engines, max_loads):
        self.needs = needs
        self.engines = sorted(engines, key=lambda engine: engine.id)
        self.allotments = allot_copies(needs, engines)
        self.load_budget = max_loads - sum(len(engine.loading) for engine in engines)
        self.free_slots = {engine.id: engine.free_slots for engine in engines}
        self.freeing_slots = {engine.id: len(engine.unloading) for engine in engines}
        self.loaded_copies = Counter(v for engine in engines for v in engine.loaded)
        self.held_copies = Counter(v for engine in engines for v in engine.held)
        self.planned = {engine.id: set(engine.held) for engine in engines}
        self.unloaded_versions = {v for engine in engines for v in engine.unloading}
        self.moves = []

    def plan(self):
        self._unload_withdrawn()
        progress = True
        while progress:
            progress = False
            for name in self._list_lacking_copies():
                progress = self._add_copy(name) or progress
        return self.moves

    def _unload_withdrawn(self):
        for engine in self.engines:
            for name in sorted(engine.loaded - engine.blocked):
                need = self.needs.get(name)
                if need and need.state is VersionState.WITHDRAWN:
                    self._unload(engine, name)

    def _list_lacking_copies(self):
        """Return the versions with too few copies, most urgent first."""
        lacking = []
        for name, allotment in self.allotments.items():
            count = self.held_copies[name]
            if count >= max(allotment.low, allotment.target):
                continue
            is_beyond_low = count >= allotment.low
            rank = (is_beyond_low, min(count, MIN_COPIES), rank_state(self.needs[name]))
            lacking.append((rank, count / max(1, allotment.low), name))
        return [name for _rank, _share, name in sorted(lacking)]

    def _add_copy(self, name):
        """Load a copy or free memory for it; return whether it was loaded."""
        if self.load_budget <= 0:
            return False
        eligible = [
            engine for engine in self.engines if self._is_eligible(engine, name)
        ]
        free = [engine for engine in eligible if self.free_slots[engine.id] > 0]
        if free:
            engine = min(
                free,
                key=lambda e: (
                    e.outstanding_requests,
                    -self.free_slots[e.id],
                    _hash_tie_break(e, name),
                ),
            )
            self._load(engine, name)
            return True
        if self.held_copies[name] < self.allotments[name].low:
            self._reserve_slot(name, eligible)
        return False

    def _is_eligible(self, engine, name):
        taken = self.planned[engine.id] | engine.blocked | engine.unloading
        return name not in taken

    def _reserve_slot(self, name, eligible):
        """Reserve a slot that an unload is freeing, or unload a version for it."""
        for engine in eligible:
            if self.free_slots[engine.id] + self.freeing_slots[engine.id] > 0:
                self.freeing_slots[engine.id] -= 1
                self.load_budget -= 1
                return
        self._free_slot(name, eligible)

    def _free_slot(self, name, eligible):
        """Unload the least needed evictable copy, or prepare for it by a relocation."""
        is_below_floor = self.held_copies[name] < self.allotments[name].floor
        choices = [
            (
                (
                    *self._rank_victim(victim),
                    engine.outstanding_requests,
                    _hash_tie_break(engine, victim),
                ),
                n,
                victim,
            )
            for n, engine in enumerate(eligible)
            for victim in sorted(engine.loaded - engine.blocked)
            if victim in self.planned[engine.id]
            and self._is_evictable(victim, is_below_floor)
        ]
        if not choices:
            if is_below_floor:
                self._relocate_copy(eligible)
            return
        _rank, number, victim = min(choices)
        self._unload(eligible[number], victim)
        self.freeing_slots[eligible[number].id] -= 1
        self.load_budget -= 1

    def _relocate_copy(self, eligible):
        """Load a spare copy elsewhere, so that one on an eligible engine can go."""
        spare = [
            other
            for engine in eligible
            for other in engine.loaded
            if self.held_copies[other] > self._get_low(other)
        ]
        if spare:
            # An earlier relocation is in progress.
            return
        for target in self.engines:
            if self.free_slots[target.id] <= 0:
                continue
            for other in sorted(
                {other for engine in eligible for other in engine.loaded}
            ):
                if self._is_eligible(target, other):
                    self._load(target, other)
                    return

    def _get_low(self, name):
        return self.allotments[name].low if name in self.allotments else 0

    def _rank_victim(self, victim):
        """Return the eviction rank: unwanted first, then most copies above `high`."""
        if victim not in self.allotments:
            return (0, 0)
        return (1, self.allotments[victim].high - self.held_copies[victim])

    def _is_evictable(self, victim, is_below_floor):
        """Return whether a copy may be unloaded for a version that needs a slot."""
        if victim not in self.allotments:
            return True
        allotment = self.allotments[victim]
        keep = allotment.low if is_below_floor else allotment.high
        if _is_serving(self.needs[victim]):
            keep = max(keep, 1)
        return (
            victim not in self.unloaded_versions and self.loaded_copies[victim] > keep
        )

    def _load(self, engine, name):
        self.moves.append(Move(MoveKind.LOAD, engine.id, name))
        self.planned[engine.id].add(name)
        self.held_copies[name] += 1
        self.free_slots[engine.id] -= 1
        self.load_budget -= 1

    def _unload(self, engine, name):
        self.moves.append(Move(MoveKind.UNLOAD, engine.id, name))
        self.planned[engine.id].discard(name)
        self.held_copies[name] -= 1
        self.loaded_copies[name] -= 1
        self.unloaded_versions.add(name)
        self.freeing_slots[engine.id] += 1


def _is_serving(need):
    return need.state is VersionState.RELEASED or need.demand > 0


def _hash_tie_break(engine, name):
    return hashlib.sha256(f"{engine.id} {name}".encode()).digest()
