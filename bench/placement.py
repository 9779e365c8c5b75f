"""Measures version placement: decision time, and steps and loads until it is stable.

The baseline recomputes the whole placement greedily after each change, as many
schedulers do, and loads whatever differs. Inputs are seeded and no network is used.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, replace

from tanagerwalk.decisions.allotments import VersionNeed, allot_copies
from tanagerwalk.decisions.placement import Engine, MoveKind, plan_moves
from tanagerwalk.outcomes import VersionState

SEED = 7
SIZES = (5, 50, 133)
SLOTS = 4
MAX_CONCURRENT_LOADS = 4
MAX_STEPS = 2000
REPEATS = 50


@dataclass
class SettlingResult:
    """The work done until the placement was stable."""

    engines: list
    steps: int = 0
    loads: int = 0
    unloads: int = 0
    decision_s: float = 0.0


def make_needs(rng, size, drift=0.0):
    """Return the needs of 8 versions: 6 released, one draining, one candidate."""
    shares = [rng.random() ** 2 for _ in range(6)]
    needs = {}
    for number, share in enumerate(shares):
        demand = share / sum(shares) * size * 0.8 * (1 + drift * rng.uniform(-1, 1))
        needs[f"v{number}"] = VersionNeed(VersionState.RELEASED, 2, demand)
    needs["v6"] = VersionNeed(VersionState.DRAINING, 1, 0.2)
    needs["v7"] = VersionNeed(VersionState.CANDIDATE, 1)
    return needs


def settle(needs, engines):
    """Apply decisions until one contains no moves; every move takes effect at once."""
    result = SettlingResult(engines)
    while result.steps < MAX_STEPS:
        started = time.perf_counter()
        moves = plan_moves(needs, result.engines, MAX_CONCURRENT_LOADS)
        result.decision_s = max(result.decision_s, time.perf_counter() - started)
        if not moves:
            return result
        result.steps += 1
        loads = sum(move.kind is MoveKind.LOAD for move in moves)
        result.loads += loads
        result.unloads += len(moves) - loads
        result.engines = apply_moves(result.engines, moves)
    raise AssertionError(f"not settled after {MAX_STEPS} steps")


def apply_moves(engines, moves):
    """Return the engines after the moves."""
    after = {engine.id: engine for engine in engines}
    for move in moves:
        changed = after[move.server].loaded ^ {move.version}
        after[move.server] = replace(after[move.server], loaded=changed)
    return list(after.values())


def place_greedily(needs, engines):
    """Return the greedy placement from scratch and the number of loads it needs."""
    copies = {name: a.low for name, a in allot_copies(needs, engines).items()}
    target = {engine.id: set() for engine in engines}
    for name in sorted(copies, key=lambda name: -copies[name]):
        engines_with_room = [e for e in engines if len(target[e.id]) < e.slots]
        engines_with_room.sort(key=lambda engine: (len(target[engine.id]), engine.id))
        for engine in engines_with_room[: copies[name]]:
            target[engine.id].add(name)
    loads = sum(len(target[engine.id] - engine.loaded) for engine in engines)
    return [replace(e, loaded=frozenset(target[e.id])) for e in engines], loads


def make_engines(size):
    """Return `size` engines without loaded versions."""
    return [Engine(f"e{number:03d}", SLOTS) for number in range(size)]


def list_changes(rng, needs, size):
    """Return the changes to measure as (name, needs, number of lost engines)."""
    new = {**needs, "v8": VersionNeed(VersionState.RELEASED, 2, needs["v0"].demand)}
    new["v0"] = replace(needs["v0"], state=VersionState.DRAINING, floor=1, demand=0.5)
    noisy = {
        name: replace(need, demand=need.demand * rng.uniform(0.85, 1.15))
        for name, need in needs.items()
    }
    return [
        ("same input", needs, 0),
        ("demand +-15%", noisy, 0),
        ("version declared", new, 0),
        ("engine lost", needs, 1),
        ("half lost", needs, size // 2),
    ]


def measure(size):
    """Print one line for each change with `size` engines."""
    rng = random.Random(SEED)
    needs = make_needs(rng, size)
    start = settle(needs, make_engines(size))
    baseline, loads = place_greedily(needs, make_engines(size))
    print_row(size, "from nothing", start, loads)
    for name, changed, lost in list_changes(rng, needs, size):
        lost_ids = {engine.id for engine in rng.sample(start.engines, lost)}
        settled = settle(changed, [e for e in start.engines if e.id not in lost_ids])
        remaining = [engine for engine in baseline if engine.id not in lost_ids]
        _, loads = place_greedily(changed, remaining)
        print_row(size, name, settled, loads)


def print_row(size, change, settled, baseline_loads):
    """Print one line of the table."""
    copies = Counter(v for engine in settled.engines for v in engine.loaded)
    print(
        f"{size:>7} {change:<18}{settled.decision_s * 1e3:>8.2f}{settled.steps:>7}"
        f"{settled.loads:>7}{settled.unloads:>9}{baseline_loads:>15}"
        f"{min(copies.values()):>12}"
    )


def measure_decision(size):
    """Return the median time in seconds of a decision without moves."""
    needs = make_needs(random.Random(SEED), size)
    engines = settle(needs, make_engines(size)).engines
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        plan_moves(needs, engines, MAX_CONCURRENT_LOADS)
        times.append(time.perf_counter() - started)
    return sorted(times)[REPEATS // 2]


def main():
    """Print the changes for each fleet size, then the times of idle decisions."""
    print(
        "engines change             max ms  steps  loads  unloads"
        "  rebuild loads  min copies"
    )
    for size in SIZES:
        measure(size)
    for size in SIZES:
        print(f"idle decision, {size} engines: {measure_decision(size) * 1e3:.2f} ms")


if __name__ == "__main__":
    main()
