"""Checks the gateways' guarantees against what clients and backend servers saw."""

import re
from collections import defaultdict

from soak.clients import REQUEST_KINDS
from soak.fleet import (
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    REVOCATION_LIMIT_S,
)
from soak.manifest import ACCOUNTS_BY_KEY, ALLOWED_REGIONS, API_KEYS
from soak.servers import find_failure_domain, find_region
from tanagerwalk.standins.backend import EVENT_COUNT

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 3
# Default of contact_ms: undisturbed time after which a gateway counts as connected.
CONTACT_DELAY_S = 3.0


def find_violations(fleet, requests, is_undisturbed):
    """Return one line for each violated guarantee.

    Parameters
    ----------
    fleet : Fleet
        Holds the requests that the backend servers received.
    requests : list of ClientRequest
        Requests of the clients, with their replies.
    is_undisturbed : callable
        Takes two monotonic times and returns whether no fault disturbed the store or
        the gateways between them.
    """
    arrivals = defaultdict(list)
    for server_arrivals in fleet.arrivals:
        for arrival in server_arrivals:
            attempt_id = arrival.request.headers.get("x-tanagerwalk-attempt-id", "")
            arrivals[attempt_id].append(arrival)
    requests_by_id = {request.id: request for request in requests}
    leaving_since = _find_leaving_times(requests)
    violations = [
        f"request {request_id!r} arrived but was never sent: "
        f"{[_describe_arrival(arrival) for arrival in arrivals[request_id]]}"
        for request_id in arrivals.keys() - requests_by_id
    ]
    for request in requests:
        violations += _check_executions(request, arrivals[request.id])
        violations += _check_forwarded_request(request, arrivals[request.id])
        violations += _check_reply(request)
        violations += _check_revoked_key(
            request, arrivals[request.id], fleet.revoked_at
        )
        violations += _check_drained_servers(
            arrivals[request.id], fleet.drain_times, is_undisturbed
        )
        violations += _check_leaving_servers(
            request, arrivals[request.id], leaving_since, is_undisturbed
        )
    violations += _check_brittle_servers(fleet, is_undisturbed)
    for server_arrivals in fleet.arrivals:
        violations += _check_evacuated_servers(
            server_arrivals, fleet.evacuation_times, is_undisturbed
        )
    return violations


def _check_evacuated_servers(arrivals, evacuation_times, is_undisturbed):
    for arrival in arrivals:
        domain = find_failure_domain(arrival.server_id)
        for each in evacuation_times:
            if each.failure_domain != domain:
                continue
            delay = arrival.received_at - each.begin
            if delay <= EVACUATION_LIMIT_S or arrival.received_at >= each.end:
                continue
            if is_undisturbed(each.begin - CONTACT_DELAY_S, arrival.received_at):
                yield f"{arrival.server_id} was called {delay:.2f} s after evacuation"


def _check_brittle_servers(fleet, is_undisturbed):
    for each in fleet.brittle_times:
        if not is_undisturbed(each.begin - 2.0 * CONTACT_DELAY_S, each.end):
            continue
        servers = [n for n in fleet.falls if n.startswith(each.service)]
        falls = [
            at for n in servers for at in fleet.falls[n] if each.begin <= at <= each.end
        ]
        if len(falls) > 2.0 + 0.1 * len(servers):
            yield f"servers of {each.service} fell over {len(falls)} times"


def _find_leaving_times(requests):
    """Return when each gateway first passed on that a server leaves."""
    times = {}
    for request in requests:
        if request.reply is None or "server-leaving" not in request.reply.headers:
            continue
        seal = request.reply.headers.get("x-tanagerwalk-response-seal", "")
        key = request.gateway, seal.rpartition(".")[0]
        times[key] = min(times.get(key, request.ended_at), request.ended_at)
    return times


def _describe_arrival(arrival):
    request = arrival.request
    return f"{request.method} {request.target} at {arrival.server_id} {request.headers}"


def _check_executions(request, arrivals):
    runs = [arrival for arrival in arrivals if not arrival.request.rejected]
    if not REQUEST_KINDS[request.kind][2] and len(runs) > 1:
        yield f"{request.target} ran {len(runs)} times"
    if request.reply is not None and request.reply.status in NOT_RUN_STATUSES and runs:
        yield f"{request.target} was answered {request.reply.status} and ran"
    if len(arrivals) > MAX_ATTEMPTS:
        yield f"{request.target} was sent to {len(arrivals)} servers"


def _check_forwarded_request(request, arrivals):
    method, _, _ = REQUEST_KINDS[request.kind]
    regions = ALLOWED_REGIONS.get(request.kind)
    for arrival in arrivals:
        received = arrival.request
        region = find_region(arrival.server_id)
        if regions is not None and region not in regions:
            yield f"{request.target} arrived at {arrival.server_id} in region {region}"
        if (received.method, received.target, received.body) != (
            method,
            request.target,
            request.body,
        ):
            yield f"{request.target} arrived as {received.method} {received.target}"
        account = received.headers.get("x-tanagerwalk-tenant")
        if account != ACCOUNTS_BY_KEY[request.key]:
            yield f"{request.target} arrived without its client account"
        if "x-tanagerwalk-key" in received.headers:
            yield f"{request.target} arrived with its API key"


def _check_reply(request):
    reply = request.reply
    if reply is None or reply.status != 200:
        return
    seal = reply.headers.get("x-tanagerwalk-response-seal", "")
    if not seal.endswith(f".{request.id}"):
        yield f"{request.target} was answered with seal {seal!r}"
    if request.kind != "plans":
        if not reply.body.endswith(f" did {request.target}".encode()):
            yield f"{request.target} was answered {reply.body!r}"
        return
    event_ids = [
        int(event_id) for event_id in re.findall(rb"^id: (\d+)$", reply.body, re.M)
    ]
    if event_ids != list(range(1, len(event_ids) + 1)):
        yield f"{request.target} had events with ids {event_ids}"
    if reply.complete and len(event_ids) != EVENT_COUNT:
        yield f"{request.target} ended as complete after {len(event_ids)} events"


def _check_revoked_key(request, arrivals, revoked_at):
    if revoked_at is None or request.key != API_KEYS[1]:
        return
    if arrivals and request.sent_at > revoked_at + REVOCATION_LIMIT_S:
        delay = request.sent_at - revoked_at
        yield f"{request.target} was forwarded {delay:.2f} s after its key was revoked"


def _check_drained_servers(arrivals, drain_times, is_undisturbed):
    for arrival in arrivals:
        drained_at = drain_times.get(arrival.server_id)
        if drained_at is None or arrival.received_at <= drained_at + DRAIN_LIMIT_S:
            continue
        if is_undisturbed(drained_at - CONTACT_DELAY_S, arrival.received_at):
            delay = arrival.received_at - drained_at
            yield f"{arrival.server_id} was called {delay:.2f} s after it was drained"


def _check_leaving_servers(request, arrivals, leaving_since, is_undisturbed):
    for arrival in arrivals:
        told_at = leaving_since.get((request.gateway, arrival.server_id))
        if told_at is None or request.sent_at <= told_at + DRAIN_LIMIT_S:
            continue
        # A restart or a pause of the gateway since then excuses it.
        if is_undisturbed(told_at, arrival.received_at):
            delay = request.sent_at - told_at
            yield f"{arrival.server_id} was called {delay:.2f} s after it left"
