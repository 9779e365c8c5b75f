"""Places at the servers of a service, and whether they are scarce."""

from tanagerwalk.decisions.contention import sum_places
from tanagerwalk.decisions.server_usage import ServerUsage
from tanagerwalk.registry import RegisteredServer, ServerState

SERVERS = 56


def build_usages():
    """Return the ServerUsages of servers with 16 slots each."""
    address = ("10.0.0.1", 80)
    return [
        ServerUsage(
            RegisteredServer(f"s{n}", "x", address, "a", "v1", 16, ServerState.READY, 1)
        )
        for n in range(SERVERS)
    ]


def test_places_are_not_scarce_while_most_slots_are_free():
    usages = build_usages()
    requests = [80 if n < 10 else 0 for n in range(SERVERS)]
    pairs = zip(usages, requests, strict=True)
    places = [usage.count_places(10.0, others) for usage, others in pairs]
    assert not sum_places(places).are_scarce


def test_absurd_report_of_one_server_makes_no_places_scarce():
    usages = build_usages()
    usages[0].other_requests = usages[0].reported_queue = 10**15 - 1
    usages[0].reported_at = 10.0
    places = [usage.count_places(10.0, 0) for usage in usages]
    assert not sum_places(places).are_scarce
