"""One run of the soak."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.callers import KINDS, Callers
from soak.checks import find_broken
from soak.faults import Faults
from soak.fleet import Fleet

CLIENTS_PER_GATEWAY = 3
WARM_UP_S = 2.0
RECOVERY_S = 12.0
UNTIMED_RECOVERY_S = 90.0
POLL_S = 0.2


@dataclass
class Report:
    """What a run did and found."""

    broken: list[str] = field(default_factory=list)
    summary: str = ""


async def run_soak(seed, seconds, folder, timed=True):
    """Run one seed.

    Parameters
    ----------
    seed : int
        Seed of faults and calls.
    seconds : float
        Seconds during which faults begin.
    folder : Path
        Where settings and logs go.
    timed : bool
        Whether promises with a time of seconds are checked, which need a machine
        that is not overloaded.

    Returns
    -------
    Report
    """
    fleet = Fleet(folder)
    callers = Callers(fleet, random.Random(seed))
    faults = Faults(fleet, random.Random(seed + 1))
    tasks = []
    try:
        await fleet.start()
        tasks = [
            asyncio.create_task(callers.run(gateway))
            for gateway in fleet.gateways
            for _ in range(CLIENTS_PER_GATEWAY)
        ]
        await asyncio.sleep(WARM_UP_S)
        await faults.run(seconds)
        limit = RECOVERY_S if timed else UNTIMED_RECOVERY_S
        missing = await _wait_for_service(fleet, callers, limit)
        calm = faults.is_calm if timed else _is_never_calm
        broken = find_broken(fleet, callers.calls, calm)
        broken += [f"no service again: {name}" for name in missing]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
    return Report(broken, _summarize(callers.calls, faults.names))


def _is_never_calm(begin, end):
    del begin, end
    return False


async def _wait_for_service(fleet, callers, limit):
    """Return the pairs of gateway and kind that are not served again in time."""
    for server in fleet.servers.values():
        server.behaviour.times = 0
    begin = len(callers.calls)
    missing = {(g.name, kind) for g in fleet.gateways for kind in KINDS}
    for _ in range(int(limit / POLL_S)):
        await asyncio.sleep(POLL_S)
        for call in callers.calls[begin:]:
            if call.reply is not None and call.reply.status == 200:
                missing.discard((call.gateway, call.kind))
        if not missing:
            break
    return sorted(missing)


def _summarize(calls, names):
    ends = Counter(call.reply.status if call.reply else "none" for call in calls)
    faults = ", ".join(f"{name} {n}" for name, n in sorted(Counter(names).items()))
    return f"{len(calls)} calls {dict(ends)}; {len(names)} faults: {faults}"
