"""Measures the cost of admitting one request: `python -m bench.admission`.

As in the gate, each request causes an offer and a pump on arrival, and a finish and a
pump at its end. A pump expires late requests and grants waiting ones. While requests
wait, all servers are full, so each finished request admits exactly one.
"""

import time

from tanagerwalk.decisions.admission import AdmissionQueue, DurationEstimates, Ticket
from tanagerwalk.decisions.servers import (
    Home,
    LoadReport,
    ServerRecord,
    ServerRole,
    ServerTable,
)
from tanagerwalk.settings import parse_settings

SERVER_COUNTS = (8, 80, 800)
WAITING_COUNTS = (0, 100, 1000)
ACCOUNTS = 10
MIN_VERSIONS = 8
DOMAINS = 6
EXPECTED_S = 1.0
PATIENCE_S = 1e6
MEASURE_S = 0.5


def build_queue(servers):
    """Return a server table and an admission queue for it."""
    settings = parse_settings().ok
    table = ServerTable(Home("r0", "d0"), settings.limits, 1e9)
    versions = count_versions(servers)
    table.update_records(make_record(number) for number in range(servers))
    for number in range(servers):
        loaded = frozenset({f"v{number % versions}"})
        table.update_load(f"s{number}", LoadReport(versions=loaded), 0.0)
    return table, AdmissionQueue(table, DurationEstimates(), 10**6)


def count_versions(servers):
    """Return the number of versions that the servers are divided among."""
    return 1 if servers < 2 * MIN_VERSIONS else MIN_VERSIONS


def make_record(number):
    """Return the record of one server; the domains are spread over three regions."""
    domain = number // MIN_VERSIONS % DOMAINS
    return ServerRecord(
        f"s{number}",
        f"127.0.0.1:{number}",
        ServerRole.ENGINE,
        f"r{domain // 2}",
        f"d{domain}",
        f"s{number}.1",
    )


def measure(servers, waiting):
    """Return microseconds per request while `waiting` requests are queued."""
    table, queue = build_queue(servers)
    versions = count_versions(servers)
    running = []
    number = 0

    def pump(needs):
        queue.expire_late(0.0, expect)
        running.extend(queue.grant(0.0, expect, needs))

    def offer():
        nonlocal number
        ticket = Ticket(
            account=f"a{number % ACCOUNTS}",
            work_class="label",
            deadline=PATIENCE_S + number,
            version=f"v{number % versions}",
        )
        number += 1
        assert queue.offer(ticket, EXPECTED_S, 0.0).is_ok()
        pump({ticket.need})

    if waiting:
        while len(queue) < waiting:
            offer()
    completed = 0
    started = time.perf_counter()
    while time.perf_counter() - started < MEASURE_S:
        offer()
        grant = running.pop(completed % len(running))
        table.finish(grant.server, grant.incarnation, grant.ticket.long)
        pump(queue.list_needs(grant.server))
        completed += 1
    return (time.perf_counter() - started) / completed * 1e6


def expect(ticket):
    """Return the expected duration of a ticket's attempt, in seconds."""
    return EXPECTED_S


def main():
    """Print a row for each number of servers."""
    print("microseconds per request")
    print("servers", *(f"{waiting:>6} waiting" for waiting in WAITING_COUNTS))
    for servers in SERVER_COUNTS:
        costs = [measure(servers, waiting) for waiting in WAITING_COUNTS]
        print(f"{servers:>7}", *(f"{cost:>14.0f}" for cost in costs))


if __name__ == "__main__":
    main()
