"""Records of sessions, and the instances that keep them."""

import random

import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, floats, integers

from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.session_owners import (
    BUCKETS,
    OWNERS_PER_SESSION,
    SessionOwners,
)
from tanagerwalk.decisions.session_records import MAX_RECORDS, SessionRecords

GAP_S = 5.0


def test_session_expires_after_the_gap_from_the_end_of_its_last_request():
    records = SessionRecords(GAP_S)
    records.begin(7, 1, True, 30.0, 0.0)
    records.end(7, 1, True, 20.0 + GAP_S, 20.0)
    assert records.find(7, 24.9) is True
    assert records.find(7, 25.1) is None


# Guards against PINNED: a session was forgotten while one of its requests still ran.
def test_session_with_a_running_request_is_known():
    records = SessionRecords(GAP_S)
    records.begin(7, 1, False, 30.0, 0.0)
    records.begin(7, 2, False, 30.0, 1.0)
    records.end(7, 2, False, 2.0 + GAP_S, 2.0)
    assert records.find(7, 29.0) is False


def test_request_whose_end_is_never_told_expires_after_its_deadline():
    records = SessionRecords(GAP_S)
    records.begin(7, 1, False, 30.0, 0.0)
    assert records.find(7, 34.9) is False
    assert records.find(7, 35.1) is None


def test_new_order_takes_the_release_of_all_sessions_as_its_base():
    records = SessionRecords(GAP_S)
    records.begin_order(3)
    records.begin(7, 1, True, 30.0, 0.0)
    records.begin_order(3)
    assert records.find(7, 1.0) is True
    records.begin_order(4)
    assert records.find(7, 1.0) is False


def test_number_of_records_is_bounded():
    records = SessionRecords(GAP_S)
    for key in range(MAX_RECORDS + 10):
        records.begin(key, 1, False, 1.0, 0.0)
    assert len(records.list(0.5)) == MAX_RECORDS
    assert records.list(99.0) == {}


class SessionMachine(RuleBasedStateMachine):
    """A session that is on the target leaves it neither by an end nor by time alone."""

    def __init__(self):
        super().__init__()
        self.records = SessionRecords(GAP_S)
        self.now = 0.0
        self.is_target = False
        self.number = 0
        self.running = {}

    @rule(is_target=booleans(), limit=floats(0.1, 20.0))
    def begin(self, is_target, limit):
        """Begin a request where the session is, or move the session to the target."""
        if self.records.find(7, self.now) is None:
            self.is_target = False
        self.is_target |= is_target
        self.number += 1
        self.running[self.number] = self.now + limit
        self.records.begin(7, self.number, self.is_target, self.now + limit, self.now)

    @rule(is_target=booleans())
    def end(self, is_target):
        if not self.running:
            return
        number, _ = self.running.popitem()
        known = self.records.find(7, self.now)
        self.is_target = is_target or (self.is_target and known is not None)
        self.records.end(7, number, is_target, self.now + GAP_S, self.now)

    @rule(seconds=floats(0.0, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(key=integers(8, 20))
    def begin_another_session(self, key):
        self.records.begin(key, 1, False, self.now + 1.0, self.now)

    @invariant()
    def known_session_is_where_it_was(self):
        assert self.records.find(7, self.now) in (None, self.is_target)


TestSessionMachine = SessionMachine.TestCase


def build_peers(count, owns_sessions=True):
    return {
        f"gateway-{n}": Peer(("127.0.0.1", n), "a-1", owns_sessions=owns_sessions)
        for n in range(count)
    }


@pytest.mark.parametrize("count", [2, 9, 340])
def test_all_instances_name_the_same_owners(count):
    peers = build_peers(count)
    named = set()
    for own_id in list(peers)[:5]:
        owners = SessionOwners(own_id)
        owners.set_peers({i: p for i, p in peers.items() if i != own_id})
        named.add(tuple(map(tuple, map(owners.list, range(0, BUCKETS, 64)))))
    (lists,) = named
    assert all(len(set(each)) == OWNERS_PER_SESSION for each in lists)


def test_instance_of_an_earlier_version_owns_no_sessions():
    owners = SessionOwners("own")
    owners.set_peers(build_peers(5, owns_sessions=False))
    assert owners.list(7) == ["own"]
    assert owners.has_earlier_versions


def test_owners_after_changes_are_those_of_a_new_instance():
    source = random.Random(1)
    changed = SessionOwners("own")
    peers = build_peers(30)
    for _ in range(20):
        left = source.sample(sorted(peers), 20)
        changed.set_peers({peer_id: peers[peer_id] for peer_id in left})
        new = SessionOwners("own")
        new.set_peers({peer_id: peers[peer_id] for peer_id in left})
        for session in range(0, BUCKETS, 16):
            assert changed.list(session) == new.list(session)


def test_sessions_are_spread_over_the_instances():
    owners = SessionOwners("own")
    owners.set_peers(build_peers(8))
    counts = dict.fromkeys(["own", *build_peers(8)], 0)
    for bucket in range(BUCKETS):
        for owner in owners.list(bucket):
            counts[owner] += 1
    fair = OWNERS_PER_SESSION * BUCKETS / len(counts)
    assert max(counts.values()) < 1.5 * fair
    assert min(counts.values()) > 0.5 * fair
