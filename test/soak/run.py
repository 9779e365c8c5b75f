"""Runs the soak with one seed."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.checks import find_violations
from soak.clients import REQUEST_KINDS, Clients
from soak.cold_checks import find_cold_violations
from soak.exits import find_exit_violations
from soak.faults import FaultInjector
from soak.fleet import SERVER_COUNTS, Fleet
from soak.floods import MAX_STARVED_S, find_starved_accounts
from soak.manifest import ALLOWED_REGIONS
from soak.servers import find_region
from soak.speed_checks import find_speed_violations
from soak.stop_checks import find_stop_violations

CLIENTS_PER_GATEWAY = 3
WARM_UP_S = 2.0
RECOVERY_TIMEOUT_S = 12.0
UNTIMED_RECOVERY_TIMEOUT_S = 90.0
POLL_S = 0.2


@dataclass
class Report:
    """Violations that a run found, and a one-line summary of it."""

    violations: list[str] = field(default_factory=list)
    summary: str = ""


async def run_soak(seed, seconds, folder, timed=True):
    """Run the soak with one seed.

    Parameters
    ----------
    seed : int
        Seed of the requests; the faults use `seed + 1`.
    seconds : float
        Time in which faults are started.
    folder : Path
        Folder for settings and logs.
    timed : bool
        Whether the drain limit is checked and service must recover within
        RECOVERY_TIMEOUT_S; both need a machine that is not overloaded.

    Returns
    -------
    Report
    """
    fleet = Fleet(folder)
    clients = Clients(fleet, random.Random(seed))
    injector = FaultInjector(fleet, random.Random(seed + 1))
    tasks = []
    try:
        await fleet.start()
        tasks = [
            asyncio.create_task(clients.run(gateway))
            for gateway in fleet.gateways
            for _ in range(CLIENTS_PER_GATEWAY)
        ]
        tasks += [
            asyncio.create_task(run(gateway))
            for gateway in fleet.gateways
            for run in (clients.run_bursts, clients.run_slow_reader, clients.run_idle)
        ]
        await asyncio.sleep(WARM_UP_S)
        await injector.run(seconds)
        timeout = RECOVERY_TIMEOUT_S if timed else UNTIMED_RECOVERY_TIMEOUT_S
        unserved = await _wait_for_recovery(fleet, clients, timeout)
        starved_timeout = MAX_STARVED_S if timed else UNTIMED_RECOVERY_TIMEOUT_S
        starved = await find_starved_accounts(fleet, clients, starved_timeout)
        is_undisturbed = injector.is_undisturbed if timed else _treat_as_disturbed
        violations = find_violations(fleet, clients.requests, is_undisturbed)
        violations += find_cold_violations(fleet, clients.requests, is_undisturbed)
        violations += find_speed_violations(fleet, clients.requests, is_undisturbed)
        if timed:
            violations += find_stop_violations(fleet, clients.requests)
        violations += [f"not served after the faults: {name}" for name in unserved]
        violations += [f"not served beside a flood: {name}" for name in starved]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
    exits = [ended for gateway in fleet.gateways for ended in gateway.exits]
    peaks = {k: v for gateway in fleet.gateways for k, v in gateway.peaks_mb.items()}
    violations += find_exit_violations(exits, peaks)
    summary = _summarize(clients.requests, injector.injected_faults)
    summary += f"; {len(fleet.cold_times)} cold and {len(fleet.slow_times)} slow times"
    return Report(violations, f"{summary}; peak {max(peaks.values()):.0f} MB")


def _treat_as_disturbed(begin, end, parts=None):
    del begin, end, parts
    return False


async def _add_allowed_servers(fleet):
    """Add servers until each service has one in the regions of all routes."""
    allowed = set.intersection(*map(set, ALLOWED_REGIONS.values()))
    for service in SERVER_COUNTS:
        while not any(
            server_id.startswith(service) and find_region(server_id) in allowed
            for server_id in fleet.servers
        ):
            await fleet.add_server(service)


async def _wait_for_recovery(fleet, clients, timeout):
    """Return each (gateway, kind) that gets no reply with status 200 in time."""
    for server in fleet.servers.values():
        server.behaviour.times = 0
    await _add_allowed_servers(fleet)
    begin = len(clients.requests)
    unserved = {(g.name, kind) for g in fleet.gateways for kind in REQUEST_KINDS}
    for _ in range(int(timeout / POLL_S)):
        await asyncio.sleep(POLL_S)
        for request in clients.requests[begin:]:
            if request.reply is not None and request.reply.status == 200:
                unserved.discard((request.gateway, request.kind))
        if not unserved:
            break
    return sorted(unserved)


def _summarize(requests, injected_faults):
    outcomes = Counter(
        request.reply.status if request.reply else "none" for request in requests
    )
    faults = ", ".join(
        f"{name} {n}" for name, n in sorted(Counter(injected_faults).items())
    )
    return (
        f"{len(requests)} calls {dict(outcomes)}; "
        f"{len(injected_faults)} faults: {faults}"
    )
