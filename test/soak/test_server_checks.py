"""The checks of cold and slow servers, accounts and stops find what they are for."""

import dataclasses
import signal
from types import SimpleNamespace

import pytest

from soak.clients import ClientRequest
from soak.cold_checks import find_busiest_second, find_cold_violations
from soak.floods import list_served
from soak.manifest import API_KEYS, FLOODING_KEY, MAX_COLD_PER_S
from soak.records import Arrival, ColdTime, SlowTime
from soak.speed_checks import find_speed_violations
from soak.stop_checks import find_stop_violations
from tanagerwalk.standins.backend import ReceivedRequest
from tanagerwalk.standins.gateway_cluster import Reply

TOO_MANY = int(MAX_COLD_PER_S) + 1
ANSWER = Reply(200, {}, b"", True)
START = ColdTime("desk-0", 10.0, 12.0, listed_at=11.0)
ENTRY = ColdTime("desk-0", 10.0, 18.0, listed_at=10.1, is_start=False)


def build_fleet(arrivals, cold_times=(), slow_times=(), started_at=0.0):
    gateway = SimpleNamespace(
        name="gateway-0", start_times=[started_at], stop_signals={}, pauses=[]
    )
    return SimpleNamespace(
        arrivals=[arrivals],
        cold_times=cold_times,
        slow_times=slow_times,
        gateways=[gateway],
    )


def build_arrival(received_at, number=1, **changes):
    headers = {"x-tanagerwalk-attempt-id": str(number)}
    received = ReceivedRequest("GET", f"/jobs/{number}", headers, b"")
    received = dataclasses.replace(received, **changes)
    return Arrival(received_at, "desk-0", received)


def build_request(reply=ANSWER, **changes):
    fields = {"id": "1", "kind": "jobs", "key": API_KEYS[0], "gateway": "gateway-0"}
    times = {"sent_at": 11.0, "ended_at": 13.0}
    return ClientRequest(**(fields | times | changes), reply=reply)


@pytest.mark.parametrize(
    ("cold", "first_at", "interval", "is_violation"),
    [
        (START, 10.5, 0.01, True),
        (START, 10.5, 1.0 / (TOO_MANY - 1), False),
        (START, 9.0, 0.01, False),
        (START, 12.0, 0.01, False),
        (ENTRY, 11.0, 0.01, False),
        (ENTRY, 13.0, 0.01, True),
    ],
)
def test_cold_server_that_gets_too_much_is_found(
    cold, first_at, interval, is_violation
):
    arrivals = [build_arrival(first_at + n * interval) for n in range(TOO_MANY)]
    fleet = build_fleet(arrivals, [cold])
    found = find_cold_violations(fleet, [build_request()], lambda begin, end: True)
    assert bool(found) is is_violation
    found = find_cold_violations(fleet, [build_request()], lambda begin, end: False)
    assert bool(found) is (is_violation and cold.is_start)


@pytest.mark.parametrize(("started_at", "count"), [(5.9, 1), (9.0, 0), (11.1, 1)])
def test_gateway_that_began_with_the_earlier_entry_is_excused(started_at, count):
    arrivals = [build_arrival(11.0 + n * 0.01) for n in range(TOO_MANY)]
    fleet = build_fleet(arrivals, [START], started_at=started_at)
    found = find_cold_violations(fleet, [build_request()], lambda begin, end: True)
    assert len(found) == count


def test_busiest_second_may_begin_at_any_time():
    assert find_busiest_second([0.0, 0.9, 1.1, 1.8, 1.85]) == (4, 0.9)
    assert find_busiest_second([0.0, 1.0]) == (1, 0.0)


@pytest.mark.parametrize(
    ("changes", "reply", "received_at", "expected"),
    [
        ({}, ANSWER, 11.0, ""),
        ({"cancelled": True}, ANSWER, 11.0, "given up"),
        ({}, Reply(502, {}, b"", True), 11.0, "got 502"),
        ({}, Reply(200, {}, b"", False), 11.0, "got 200"),
        ({}, None, 11.0, "got nothing"),
        ({"rejected": True}, Reply(503, {}, b"", True), 11.0, ""),
        ({"cancelled": True}, ANSWER, 9.9, ""),
        ({"cancelled": True}, ANSWER, 11.6, ""),
        ({"cancelled": True}, ANSWER, 14.0, ""),
    ],
)
def test_slow_server_that_is_given_up_is_found(changes, reply, received_at, expected):
    fleet = build_fleet(
        [build_arrival(received_at, **changes)],
        slow_times=[SlowTime("desk-0", 10.0, 15.0)],
    )
    requests = [build_request(reply)]
    found = find_speed_violations(fleet, requests, lambda begin, end, parts: True)
    assert len(found) == bool(expected)
    assert expected in "".join(found)
    assert not find_speed_violations(fleet, requests, lambda begin, end, parts: False)


@pytest.mark.parametrize(
    ("changes", "served"),
    [
        ({"kind": "plans", "key": API_KEYS[2]}, {"annex"}),
        ({"kind": "plans", "key": FLOODING_KEY}, {"press"}),
        ({"kind": "jobs"}, set()),
        ({"kind": "plans", "reply": Reply(503, {}, b"", True)}, set()),
        ({"kind": "plans", "reply": None}, set()),
    ],
)
def test_only_answers_of_the_flooded_engines_count_as_served(changes, served):
    assert list_served([build_request(**changes)]) == served


@pytest.mark.parametrize(
    ("signal_number", "changes", "reply", "pauses", "is_violation"),
    [
        (signal.SIGTERM, {"finished": True}, None, [], True),
        (signal.SIGKILL, {"finished": True}, None, [], False),
        (signal.SIGTERM, {}, None, [], False),
        (signal.SIGTERM, {"finished": True, "rejected": True}, None, [], False),
        (signal.SIGTERM, {"finished": True}, ANSWER, [], False),
        (signal.SIGTERM, {"finished": True}, None, [(11.0, 13.0)], False),
    ],
)
def test_answer_that_a_stop_cuts_is_found(
    signal_number, changes, reply, pauses, is_violation
):
    fleet = build_fleet([build_arrival(11.5, **changes)])
    (gateway,) = fleet.gateways
    gateway.stop_signals, gateway.pauses = {1: (signal_number, 12.0)}, pauses
    assert bool(find_stop_violations(fleet, [build_request(reply)])) is is_violation
    gateway.stop_signals = {1: (signal_number, 13.5)}
    assert not find_stop_violations(fleet, [build_request(reply)])
