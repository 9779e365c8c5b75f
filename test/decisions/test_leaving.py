"""Which backend servers count as leaving, and for how long."""

import pytest

from tanagerwalk.decisions.leaving import (
    INFERRED_LIFETIME_S,
    LeavingTracker,
    Suspicion,
)
from tanagerwalk.decisions.servers import Home, ServerRecord, ServerRole, ServerTable
from tanagerwalk.settings import parse_settings

REFUSAL = Suspicion.CLOSING_REFUSAL
CONNECT = Suspicion.CONNECT_FAILED


@pytest.mark.parametrize(
    ("observations", "leaving"),
    [
        ([(0, REFUSAL)], False),
        ([(0, REFUSAL), (1, REFUSAL)], False),
        ([(0, REFUSAL), (1, REFUSAL), (3, REFUSAL)], True),
        ([(0, REFUSAL), (1, CONNECT), (3, CONNECT)], True),
        ([(0, CONNECT), (1, CONNECT), (3, CONNECT), (7, CONNECT)], False),
        ([(0, REFUSAL), (0.1, REFUSAL), (0.2, REFUSAL), (0.3, REFUSAL)], False),
        ([(0, REFUSAL), (10, REFUSAL), (20, REFUSAL)], False),
        ([(0, REFUSAL), (1, REFUSAL), (2, None), (3, REFUSAL)], False),
    ],
)
def test_suspicions_lead_to_an_inference(observations, leaving):
    tracker = LeavingTracker()
    for at, suspicion in observations:
        if suspicion is None:
            tracker.clear_suspicion("e.1")
            continue
        tracker.suspect("e.1", suspicion, at)
    assert tracker.is_leaving("e.1") is leaving


def test_inference_expires_but_a_listed_departure_does_not():
    tracker = LeavingTracker()
    tracker.infer("e.1", INFERRED_LIFETIME_S)
    tracker.infer("e.2", INFERRED_LIFETIME_S)
    tracker.record_confirmed("e.2")
    tracker.expire(INFERRED_LIFETIME_S + 1)
    assert tracker.list_leaving() == {"e.2"}


def make_record(incarnation, leaving=False):
    return ServerRecord(
        id="e",
        address="127.0.0.1:1",
        role=ServerRole.ENGINE,
        region="r",
        failure_domain="d",
        incarnation=incarnation,
        leaving=leaving,
    )


@pytest.fixture
def table():
    settings = parse_settings().ok
    made = ServerTable(Home("r", "d"), settings.limits, 5.0)
    made.update_records([make_record("e.1")])
    return made


def test_outdated_list_does_not_restore_a_leaving_server(table):
    table.update_records([make_record("e.1", leaving=True)])
    table.update_records([])
    table.update_records([make_record("e.1")])
    assert table.servers["e"].leaving


def test_departure_from_a_peer_counts_before_the_server_is_listed(table):
    table.mark_incarnation_leaving("e.2")
    table.update_records([make_record("e.2")])
    assert table.servers["e"].leaving


def test_new_incarnation_is_used_while_the_old_one_finishes(table):
    table.start("e", False)
    table.update_records([make_record("e.1", leaving=True)])
    table.update_records([])
    assert table.servers["e"].leaving
    table.update_records([make_record("e.2")])
    table.start("e", False)
    table.finish("e", "e.1", False)
    table.suspect_leaving("e.1", REFUSAL, 0.0)
    server = table.servers["e"]
    assert (server.leaving, server.in_flight) == (False, 1)


def test_removed_server_stays_leaving_when_inferences_expire(table):
    table.start("e", False)
    table.update_records([])
    table.expire_leaving(1000.0)
    assert table.servers["e"].leaving
