"""Checks that servers which are only slow, and say so, are not treated as failed."""

# Latest arrivals in a slow time that are not looked at: other faults may follow it.
FINAL_S = 1.5
# A request that was sent on later has little time left.
MAX_AGE_S = 0.5


def find_speed_violations(fleet, requests, is_undisturbed):
    """Return one line for each request that a slow server could not serve.

    Parameters
    ----------
    fleet : Fleet
        Holds the slow times, and the requests that the servers received.
    requests : list of ClientRequest
        Requests of the clients, with their replies.
    is_undisturbed : callable
        Takes two monotonic times and names of parts of the fleet, and returns whether
        no fault disturbed these parts between the times.
    """
    requests_by_id = {request.id: request for request in requests}
    gateways = {gateway.name for gateway in fleet.gateways}
    violations = []
    for slow in fleet.slow_times:
        for arrival in _list_arrivals(fleet, slow):
            attempt_id = arrival.request.headers.get("x-tanagerwalk-attempt-id", "")
            request = requests_by_id.get(attempt_id)
            if request is None or request.ended_at is None:
                continue
            if arrival.received_at - request.sent_at > MAX_AGE_S:
                continue
            parts = gateways | {slow.server_id}
            if is_undisturbed(arrival.received_at, request.ended_at, parts):
                violations += _check_arrival(request, arrival)
    return violations


def _list_arrivals(fleet, slow):
    return [
        arrival
        for arrivals in fleet.arrivals
        for arrival in arrivals
        if arrival.server_id == slow.server_id
        and slow.begin <= arrival.received_at <= slow.end - FINAL_S
    ]


def _check_arrival(request, arrival):
    if arrival.request.rejected:
        return
    if arrival.request.cancelled:
        yield f"{request.target} was given up at {arrival.server_id}, which was slow"
    reply = request.reply
    if reply is None or reply.status != 200 or not reply.complete:
        status = "nothing" if reply is None else reply.status
        yield f"{request.target} got {status} from {arrival.server_id}, which was slow"
