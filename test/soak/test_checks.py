"""The soak's checks find each kind of violation and report no valid run."""

import dataclasses
from types import SimpleNamespace

import pytest

from soak.checks import find_violations
from soak.clients import ClientRequest
from soak.manifest import API_KEYS
from soak.records import Arrival, BrittleTime, EvacuationTime
from tanagerwalk.standins.backend import EVENT_COUNT, ReceivedRequest
from tanagerwalk.standins.gateway_cluster import Reply

SEAL_HEADERS = {"x-tanagerwalk-response-seal": "desk-0.1"}
BOOKING = ClientRequest("1", "bookings", API_KEYS[0], "gateway-0", 10.0)
BOOKING_REPLY = Reply(200, SEAL_HEADERS, b"desk-0 did /bookings/1", True)
PLAN = ClientRequest("1", "plans", API_KEYS[0], "gateway-0", 10.0)


def build_arrival(sent, received_at=10.1, server_id="desk-0", **changes):
    body = b"slot" if sent.kind == "bookings" else b"deed book"
    headers = {
        "x-tanagerwalk-attempt-id": sent.id,
        "x-tanagerwalk-tenant": "archive",
    }
    received = dataclasses.replace(
        ReceivedRequest("POST", sent.target, headers, body), **changes
    )
    return Arrival(received_at, server_id, received)


def encode_events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def check(sent, reply, arrivals, revoked_at=None, drain_times=None):
    fleet = SimpleNamespace(
        arrivals=[arrivals],
        revoked_at=revoked_at,
        drain_times=drain_times or {},
        brittle_times=[],
        evacuation_times=[],
        falls={},
    )
    sent = dataclasses.replace(sent, reply=reply)
    return find_violations(fleet, [sent], lambda begin, end: True)


def test_valid_runs_have_no_violations():
    assert not check(BOOKING, BOOKING_REPLY, [build_arrival(BOOKING)])
    rejected = build_arrival(BOOKING, rejected=True)
    assert not check(BOOKING, Reply(503, {}, b"", True), [rejected, rejected])
    whole = Reply(200, SEAL_HEADERS, encode_events(*range(1, EVENT_COUNT + 1)), True)
    assert not check(PLAN, whole, [build_arrival(PLAN)] * 2)
    assert not check(PLAN, Reply(200, SEAL_HEADERS, encode_events(1, 2), False), [])


@pytest.mark.parametrize(
    ("sent", "reply", "arrivals", "expected"),
    [
        (BOOKING, BOOKING_REPLY, [build_arrival(BOOKING)] * 2, "ran 2 times"),
        (BOOKING, Reply(503, {}, b"", True), [build_arrival(BOOKING)], "503 and ran"),
        (PLAN, None, [build_arrival(PLAN)] * 4, "sent to 4 servers"),
        (BOOKING, BOOKING_REPLY, [build_arrival(BOOKING, body=b"x")], "arrived as"),
        (BOOKING, BOOKING_REPLY, [build_arrival(BOOKING, target="/")], "arrived as"),
        (BOOKING, Reply(200, {}, BOOKING_REPLY.body, True), [], "seal ''"),
        (
            BOOKING,
            Reply(200, SEAL_HEADERS, b"desk-0 did /jobs/2", True),
            [],
            "was answered",
        ),
        (PLAN, Reply(200, SEAL_HEADERS, encode_events(1, 3), False), [], "had events"),
        (PLAN, Reply(200, SEAL_HEADERS, encode_events(1, 1), False), [], "had events"),
        (PLAN, Reply(200, SEAL_HEADERS, encode_events(1, 2), True), [], "as complete"),
    ],
)
def test_each_violation_is_found(sent, reply, arrivals, expected):
    (violation,) = check(sent, reply, arrivals)
    assert expected in violation


@pytest.mark.parametrize(
    ("sent", "server_id", "count"),
    [(BOOKING, "desk-2", 1), (BOOKING, "desk-1", 0), (PLAN, "drafts-2", 0)],
)
def test_request_outside_of_its_regions_is_found(sent, server_id, count):
    arrivals = [build_arrival(sent, server_id=server_id)]
    found = check(sent, None, arrivals)
    assert len(found) == count
    assert all("in region b" in line for line in found)


def test_unsent_request_is_found():
    unsent = dataclasses.replace(BOOKING, id="2")
    (violation,) = check(
        BOOKING, BOOKING_REPLY, [build_arrival(BOOKING), build_arrival(unsent)]
    )
    assert "never sent" in violation


@pytest.mark.parametrize(("revoked_at", "is_violation"), [(4.9, True), (5.1, False)])
def test_use_of_revoked_key_is_found(revoked_at, is_violation):
    sent = dataclasses.replace(BOOKING, key=API_KEYS[1])
    violations = check(
        sent, BOOKING_REPLY, [build_arrival(sent)], revoked_at=revoked_at
    )
    assert bool(violations) is is_violation


@pytest.mark.parametrize(("drained_at", "is_violation"), [(7.5, True), (7.7, False)])
def test_request_to_drained_server_is_found(drained_at, is_violation):
    arrivals = [build_arrival(BOOKING)]
    violations = check(
        BOOKING, BOOKING_REPLY, arrivals, drain_times={"desk-0": drained_at}
    )
    assert bool(violations) is is_violation


@pytest.mark.parametrize(("sent_at", "is_violation"), [(12.7, True), (12.5, False)])
def test_request_to_a_server_that_said_it_leaves_is_found(sent_at, is_violation):
    told = dataclasses.replace(
        BOOKING,
        reply=dataclasses.replace(
            BOOKING_REPLY, headers=SEAL_HEADERS | {"server-leaving": "1"}
        ),
        ended_at=10.1,
    )
    later = dataclasses.replace(PLAN, id="2", sent_at=sent_at)
    arrivals = [build_arrival(told), build_arrival(later, received_at=sent_at + 0.1)]
    fleet = SimpleNamespace(
        arrivals=[arrivals],
        revoked_at=None,
        drain_times={},
        brittle_times=[],
        evacuation_times=[],
        falls={},
    )
    violations = find_violations(fleet, [told, later], lambda begin, end: True)
    assert bool(violations) is is_violation


def test_servers_that_fall_over_too_often_are_found():
    fleet = SimpleNamespace(
        arrivals=[],
        revoked_at=None,
        drain_times={},
        brittle_times=[BrittleTime("desk", 10.0, 12.0)],
        evacuation_times=[],
        falls={"desk-0": [10.5, 11.5], "desk-1": [11.0], "drafts-0": [11.0]},
    )
    found = find_violations(fleet, [], lambda begin, end: True)
    assert found == ["servers of desk fell over 3 times"]
    assert not find_violations(fleet, [], lambda begin, end: False)


@pytest.mark.parametrize(
    ("domain", "begin", "end", "count"),
    [
        ("a-1", 7.5, 11.0, 1),
        ("a-1", 7.7, 11.0, 0),
        ("a-1", 7.5, 10.0, 0),
        ("a-2", 7.5, 11.0, 0),
    ],
)
def test_request_to_an_evacuated_server_is_found(domain, begin, end, count):
    fleet = SimpleNamespace(
        arrivals=[[build_arrival(BOOKING)]],
        revoked_at=None,
        drain_times={},
        brittle_times=[],
        evacuation_times=[EvacuationTime(domain, begin, end)],
        falls={},
    )
    sent = dataclasses.replace(BOOKING, reply=BOOKING_REPLY)
    assert len(find_violations(fleet, [sent], lambda begin, end: True)) == count
    assert not find_violations(fleet, [sent], lambda begin, end: False)
