"""The promises that a soak checks, from what callers and backend servers saw."""

import re
from collections import defaultdict

from soak.callers import KINDS
from soak.fleet import DRAIN_S, KEYS, REVOCATION_S
from tanagerwalk.standins.backend import EVENT_COUNT

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 3
CONTACT_S = 3.0


def find_broken(fleet, calls, calm):
    """Return a line for each promise that was broken.

    Parameters
    ----------
    fleet : Fleet
        Holds what the backend servers saw.
    calls : list of Call
        What the clients sent and saw.
    calm : callable
        Takes two monotonic times; whether nothing disturbed store or gateways between.
    """
    arrivals = defaultdict(list)
    for listed in fleet.arrivals:
        for arrival in listed:
            attempt = arrival.seen.headers.get("x-tanagerwalk-attempt-id", "")
            arrivals[attempt].append(arrival)
    known = {call.id: call for call in calls}
    broken = [f"request {name!r} was never sent" for name in arrivals.keys() - known]
    for call in calls:
        broken += _check_runs(call, arrivals[call.id])
        broken += _check_forwarded(call, arrivals[call.id])
        broken += _check_reply(call)
        broken += _check_key(call, arrivals[call.id], fleet.revoked_at)
        broken += _check_drained(arrivals[call.id], fleet.drained, calm)
    return broken


def _check_runs(call, arrivals):
    runs = [arrival for arrival in arrivals if not arrival.seen.rejected]
    if not KINDS[call.kind][2] and len(runs) > 1:
        yield f"{call.target} ran {len(runs)} times"
    if call.reply is not None and call.reply.status in PROMISES_NOT_RUN and runs:
        yield f"{call.target} was answered {call.reply.status} and ran"
    if len(arrivals) > MAX_ATTEMPTS:
        yield f"{call.target} was sent to {len(arrivals)} servers"


def _check_forwarded(call, arrivals):
    method, body, _ = KINDS[call.kind]
    for arrival in arrivals:
        seen = arrival.seen
        if (seen.method, seen.target, seen.body) != (method, call.target, body):
            yield f"{call.target} arrived as {seen.method} {seen.target}"
        if seen.headers.get("x-tanagerwalk-tenant") != "archive":
            yield f"{call.target} arrived without its account"
        if "x-tanagerwalk-key" in seen.headers:
            yield f"{call.target} arrived with its key"


def _check_reply(call):
    reply = call.reply
    if reply is None or reply.status != 200:
        return
    seal = reply.headers.get("x-tanagerwalk-response-seal", "")
    if not seal.endswith(f".{call.id}"):
        yield f"{call.target} was answered with seal {seal!r}"
    if call.kind != "plans":
        if not reply.body.endswith(f" did {call.target}".encode()):
            yield f"{call.target} was answered {reply.body!r}"
        return
    numbers = [int(number) for number in re.findall(rb"^id: (\d+)$", reply.body, re.M)]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"{call.target} had events {numbers}"
    if reply.complete and len(numbers) != EVENT_COUNT:
        yield f"{call.target} ended as complete after {len(numbers)} events"


def _check_key(call, arrivals, revoked_at):
    if revoked_at is None or call.key != KEYS[1]:
        return
    if arrivals and call.sent_at > revoked_at + REVOCATION_S:
        late = call.sent_at - revoked_at
        yield f"{call.target} ran with a key revoked {late:.2f} s before"


def _check_drained(arrivals, drained, calm):
    for arrival in arrivals:
        since = drained.get(arrival.server)
        if since is None or arrival.at <= since + DRAIN_S:
            continue
        if calm(since - CONTACT_S, arrival.at):
            late = arrival.at - since
            yield f"{arrival.server} got a request {late:.2f} s after it left"
