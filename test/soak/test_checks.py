"""The checks of the soak find each promise that is broken."""

import dataclasses
from types import SimpleNamespace

import pytest

from soak.callers import Call
from soak.checks import find_broken
from soak.fleet import KEYS, Arrival
from tanagerwalk.standins.backend import EVENT_COUNT, ReceivedRequest
from tanagerwalk.standins.gateway_cluster import Reply

SEAL = {"x-tanagerwalk-response-seal": "desk-0.1"}
BOOKING = Call("1", "bookings", KEYS[0], "gateway-0", 10.0)
BOOKED = Reply(200, SEAL, b"desk-0 did /bookings/1", True)
PLAN = Call("1", "plans", KEYS[0], "gateway-0", 10.0)


def build_arrival(call, at=10.1, **changes):
    body = b"slot" if call.kind == "bookings" else b"deed book"
    headers = {"x-tanagerwalk-attempt-id": call.id, "x-tanagerwalk-tenant": "archive"}
    seen = dataclasses.replace(
        ReceivedRequest("POST", call.target, headers, body), **changes
    )
    return Arrival(at, "desk-0", seen)


def build_events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def check(call, reply, arrivals, revoked_at=None, drained=None):
    fleet = SimpleNamespace(
        arrivals=[arrivals], revoked_at=revoked_at, drained=drained or {}
    )
    call = dataclasses.replace(call, reply=reply)
    return find_broken(fleet, [call], lambda begin, end: True)


def test_kept_promises_are_not_reported():
    assert not check(BOOKING, BOOKED, [build_arrival(BOOKING)])
    rejected = build_arrival(BOOKING, rejected=True)
    assert not check(BOOKING, Reply(503, {}, b"", True), [rejected, rejected])
    whole = Reply(200, SEAL, build_events(*range(1, EVENT_COUNT + 1)), True)
    assert not check(PLAN, whole, [build_arrival(PLAN)] * 2)
    assert not check(PLAN, Reply(200, SEAL, build_events(1, 2), False), [])


@pytest.mark.parametrize(
    ("call", "reply", "arrivals", "found"),
    [
        (BOOKING, BOOKED, [build_arrival(BOOKING)] * 2, "ran 2 times"),
        (BOOKING, Reply(503, {}, b"", True), [build_arrival(BOOKING)], "503 and ran"),
        (PLAN, None, [build_arrival(PLAN)] * 4, "sent to 4 servers"),
        (BOOKING, BOOKED, [build_arrival(BOOKING, body=b"x")], "arrived as"),
        (BOOKING, BOOKED, [build_arrival(BOOKING, target="/")], "arrived as"),
        (BOOKING, Reply(200, {}, BOOKED.body, True), [], "seal ''"),
        (BOOKING, Reply(200, SEAL, b"desk-0 did /jobs/2", True), [], "was answered"),
        (PLAN, Reply(200, SEAL, build_events(1, 3), False), [], "had events"),
        (PLAN, Reply(200, SEAL, build_events(1, 1), False), [], "had events"),
        (PLAN, Reply(200, SEAL, build_events(1, 2), True), [], "as complete"),
    ],
)
def test_broken_promise_is_found(call, reply, arrivals, found):
    (line,) = check(call, reply, arrivals)
    assert found in line


def test_request_that_nobody_sent_is_found():
    stranger = dataclasses.replace(BOOKING, id="2")
    (line,) = check(BOOKING, BOOKED, [build_arrival(BOOKING), build_arrival(stranger)])
    assert "never sent" in line


@pytest.mark.parametrize(("revoked_at", "broken"), [(4.9, True), (5.1, False)])
def test_key_that_was_revoked_is_found(revoked_at, broken):
    call = dataclasses.replace(BOOKING, key=KEYS[1])
    found = check(call, BOOKED, [build_arrival(call)], revoked_at=revoked_at)
    assert bool(found) is broken


@pytest.mark.parametrize(("drained_at", "broken"), [(7.5, True), (7.7, False)])
def test_server_that_had_left_is_found(drained_at, broken):
    arrivals = [build_arrival(BOOKING)]
    found = check(BOOKING, BOOKED, arrivals, drained={"desk-0": drained_at})
    assert bool(found) is broken
