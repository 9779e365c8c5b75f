"""Checks what cold servers got from all gateways together."""

from collections import Counter

from soak.fleet import DRAIN_LIMIT_S
from soak.manifest import MAX_COLD_PER_S

WINDOW_S = 1.0
# Until a gateway process has read the list of servers.
START_S = 4.0
# Default of contact_ms: undisturbed time after which a gateway counts as connected.
CONTACT_DELAY_S = 3.0


def find_cold_violations(fleet, requests, is_undisturbed):
    """Return one line for each cold time in which a server got too much in a second.

    After a start, this holds whatever disturbs the store and the gateways, except for
    gateways that begin with an entry which is older than the start. Of a server that
    becomes cold while it runs, only those know that read its entry.

    Parameters
    ----------
    fleet : Fleet
        Holds the cold times, and the requests that the servers received.
    requests : list of ClientRequest
        Requests of the clients.
    is_undisturbed : callable
        Takes two monotonic times and returns whether no fault disturbed the store or
        the gateways between them.
    """
    gateways = {request.id: request.gateway for request in requests}
    violations = []
    for cold in fleet.cold_times:
        arrivals = _list_arrivals(fleet, cold, gateways)
        count, at = find_busiest_second(sorted(time for time, _ in arrivals))
        senders = Counter(name for t, name in arrivals if at <= t < at + WINDOW_S)
        if count <= MAX_COLD_PER_S:
            continue
        if cold.is_start or is_undisturbed(cold.begin - CONTACT_DELAY_S, at + WINDOW_S):
            cause = "start" if cold.is_start else "new entry"
            violations.append(
                f"{cold.server_id} got {count} requests in the second that began "
                f"{at - cold.begin:.2f} s after its {cause}, while cold; "
                f"from {dict(senders)}"
            )
    return violations


def _list_arrivals(fleet, cold, gateways):
    """Return the time and the gateway of each request that counts."""
    begin = cold.begin if cold.is_start else cold.listed_at + DRAIN_LIMIT_S
    excused = {gateway.name for gateway in fleet.gateways if _is_new(gateway, cold)}
    return [
        (arrival.received_at, gateways.get(_find_attempt_id(arrival)))
        for arrivals in fleet.arrivals
        for arrival in arrivals
        if arrival.server_id == cold.server_id
        and begin <= arrival.received_at < cold.end
        and gateways.get(_find_attempt_id(arrival)) not in excused
    ]


def _is_new(gateway, cold):
    first = cold.begin - START_S
    return any(
        first <= started_at <= cold.listed_at for started_at in gateway.start_times
    )


def _find_attempt_id(arrival):
    return arrival.request.headers.get("x-tanagerwalk-attempt-id", "")


def find_busiest_second(times):
    """Return the most events in any second, and the time of the first of them.

    Parameters
    ----------
    times : list of float
        Times of the events in seconds, in order.
    """
    most, begin = 0, 0.0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] >= WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, begin = last - first + 1, times[first]
    return most, begin
