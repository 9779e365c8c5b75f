"""Measures key-value calls for the domain leases, and the time until a new holder.

Runs in simulated time. Reads within one tick all see the state at its start. The nodes
of one failure domain start together on an empty store, and the lease holder is killed
later. Column "listed" tells whether the platform's list of instances can be read; if
so, it still contains the killed instance.
"""

from collections import Counter

from expression import Ok

from tanagerwalk.clients.keyvalue import Entry, WriteOutcome
from tanagerwalk.decisions.leases import (
    DomainLease,
    LeasePhase,
    LeaseTimes,
    rank_instance,
)
from tanagerwalk.settings import parse_settings

FAILURE_DOMAINS = 6
SIZES = (2, 3, 57)
TICK_S = 0.05
KILL_AT_S = 300.0
END_AT_S = 600.0


class SimulatedDomain:
    """The nodes of one failure domain and their entry in the key-value store."""

    def __init__(self, size, times, listed):
        self.times = times
        self.names = [f"n{number}" for number in range(size)]
        self.listed = list(self.names) if listed else []
        self.nodes = {name: DomainLease("d", name, times) for name in self.names}
        self.entry = None
        self.visible_entry = None
        self.lease_ends = {}
        self.revision = 0
        self.calls = Counter()

    def run(self, begin, end):
        """Simulate from `begin` to `end`; yield the time after each tick."""
        for tick in range(int(begin / TICK_S), int(end / TICK_S)):
            now = tick * TICK_S
            if self.entry and self.lease_ends[self.entry_lease] <= now:
                self.entry = None
            self.visible_entry = self.entry
            for name, node in self.nodes.items():
                if node.due <= now:
                    self.step(name, node, now)
            yield now

    def step(self, name, node, now):
        """Make the store call that a node has due."""
        kind = "read" if node.phase is LeasePhase.SEEKING else "write"
        self.calls[kind, int(now)] += 1
        if node.phase is LeasePhase.SEEKING:
            node.record_entry(
                self.visible_entry, now, rank_instance("d", name, self.listed)
            )
        elif node.phase is LeasePhase.GRANTING:
            self.revision += 1
            self.lease_ends[self.revision] = now + self.times.ttl
            node.record_grant(Ok(self.revision), now, now)
        elif node.phase is LeasePhase.CREATING:
            node.record_create(Ok(self.create(node)), now)
        else:
            self.lease_ends[node.lease] = now + self.times.ttl
            node.record_renewal(Ok(True), now, now)

    def create(self, node):
        """Create the lease key unless it exists."""
        if self.entry:
            return WriteOutcome(False, self.revision, self.entry)
        self.revision += 1
        self.entry = Entry(node.key, node.value, self.revision)
        self.entry_lease = node.lease
        return WriteOutcome(True, self.revision)

    def find_holder(self, now, checks_fencing):
        """Return the name of the node that may issue orders now, or None."""
        for name, node in self.nodes.items():
            if node.may_order(now, checks_fencing):
                return name
        return None


def measure(size, times, listed):
    """Simulate one case and print its line of the table."""
    domain = SimulatedDomain(size, times, listed)
    for _ in domain.run(0.0, KILL_AT_S):
        pass
    del domain.nodes[domain.find_holder(KILL_AT_S, checks_fencing=True)]
    takeover_times = {}
    for now in domain.run(KILL_AT_S, END_AT_S):
        for with_fencing in (True, False):
            if with_fencing not in takeover_times and domain.find_holder(
                now, with_fencing
            ):
                takeover_times[with_fencing] = now - KILL_AT_S
    steady = sum(n for (_kind, at), n in domain.calls.items() if 120 <= at < KILL_AT_S)
    peaks = {
        kind: max(n for (other, _at), n in domain.calls.items() if other == kind)
        for kind in ("read", "write")
    }
    rate = steady / (KILL_AT_S - 120) * FAILURE_DOMAINS
    print(
        f"{size:>6} {'yes' if listed else 'no':>6}{rate:>14.1f}"
        f"{peaks['read'] * FAILURE_DOMAINS:>13}{peaks['write'] * FAILURE_DOMAINS:>13}"
        f"{takeover_times[True]:>12.1f}{takeover_times[False]:>13.1f}"
    )


def main():
    """Print a line for each domain size, with and without the instance list."""
    orders = parse_settings().ok.orders
    times = LeaseTimes(orders.lease_ttl, orders.lease_margin, orders.look_interval)
    print(
        "nodes/d listed  fleet calls/s  max reads/s max writes/s"
        "  checking, s  ignoring, s"
    )
    for size in SIZES:
        for listed in (True, False):
            measure(size, times, listed)


if __name__ == "__main__":
    main()
