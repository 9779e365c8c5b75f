"""Checks that planned stops of gateways cut no request that a server has answered."""

import signal


def find_stop_violations(fleet, requests):
    """Return one line for each request whose answer was lost in a planned stop.

    Parameters
    ----------
    fleet : Fleet
        Holds the stops of the gateways, and the requests that the servers received.
    requests : list of ClientRequest
        Requests of the clients, with their replies.
    """
    answered = {
        arrival.request.headers.get("x-tanagerwalk-attempt-id"): arrival.received_at
        for arrivals in fleet.arrivals
        for arrival in arrivals
        if arrival.request.finished and not arrival.request.rejected
    }
    stops = {gateway.name: _list_stops(gateway) for gateway in fleet.gateways}
    return [
        f"{request.target} was answered by a server, and cut by a stop of "
        f"{request.gateway}"
        for request in requests
        if request.id in answered
        and request.reply is None
        and request.ended_at is not None
        and any(
            answered[request.id] <= at <= request.ended_at
            for at in stops[request.gateway]
        )
    ]


def _list_stops(gateway):
    """Return the times of planned stops during which the process wasn't paused."""
    return [
        at
        for signal_number, at in gateway.stop_signals.values()
        if signal_number == signal.SIGTERM
        and not any(begin <= at <= end for begin, end in gateway.pauses)
    ]
