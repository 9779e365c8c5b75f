"""Datagrams of other instances that someone has recorded and sends again."""

import random
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.relays import RelaySelection
from tanagerwalk.decisions.server_speeds import ServerSpeeds
from tanagerwalk.decisions.shared_loads import SharedLoadTable, hash_server
from tanagerwalk.gateway.load_messages import sign
from tanagerwalk.gateway.sharing import LoadSharing
from tanagerwalk.peers.codec import encode
from tanagerwalk.peers.gen.loads import ttypes

SECRET = b"key of the fleet"
SOURCE = ("10.0.0.1", 1)
NOW = 100.0
SECTIONS = {
    "leaving": {"leaving": [1]},
    "limits": {"limits": [ttypes.ServerLimit(1, 5.0, 10)]},
    "brittle": {"brittle": [ttypes.ServerBrittleness(1, 5.0, 10)]},
    "blames": {"blames": [ttypes.CrashBlame("f", ["a", "b"], 60_000)]},
    "sides": {"sides": [ttypes.SessionSides("drafts", [1], [])]},
    "tallies": {"tallies": [ttypes.TrialTally("drafts", 7, [])]},
    "permits": {"permits": [ttypes.PermitNote(0, "drafts", [1], [2])]},
    "slots": {"permits": [ttypes.PermitNote(6, "drafts", [1], [2])]},
    "notes": {"notes": [ttypes.SessionNote(2, "drafts", 7, 1, 2, 900, True)]},
}


class Receiver:
    """A LoadSharing whose parts record what they are told."""

    def __init__(self):
        self.calls = []
        self.now = NOW
        self.shared = SharedLoadTable()
        self.relays = RelaySelection("own", "a-1")
        statements = SimpleNamespace(merge=self._take)
        servers = SimpleNamespace(
            speeds=ServerSpeeds(),
            limits=statements,
            brittle=SimpleNamespace(statements=statements),
            mark_leaving=self._take,
        )
        self.sharing = LoadSharing(
            "own",
            "a-1",
            servers,
            self.shared,
            self.relays,
            SimpleNamespace(merge_records=self._take_records),
            SimpleNamespace(record_peer_tally=self._take),
            SimpleNamespace(receive=self._take, merge_side_overrides=self._take),
            dict,
            lambda: self.now,
            random.Random(1),
        )
        self.sharing.on_permit_note = self._take
        self.sharing.on_slot_note = self._take
        self.sharing.authenticate(SECRET.decode())

    def _take(self, *told):
        self.calls.append(told)
        return ()

    def _take_records(self, records, passes_on):
        del passes_on
        if records:
            self.calls.append(records)

    def receive(self, datagram):
        self.sharing.datagram_received(datagram, SOURCE)


def build_datagram(sequence=1, sender="other", **sections):
    message = ttypes.LoadMessage(
        sender, sequence, scope=0, domain="a-1", part=0, parts=1, **sections
    )
    return sign(SECRET, encode(message))


@pytest.mark.parametrize("section", SECTIONS)
@pytest.mark.parametrize("newer", [0, 1, 2000])
def test_replayed_section_changes_nothing(section, newer):
    receiver = Receiver()
    recorded = build_datagram(**SECTIONS[section])
    receiver.receive(recorded)
    assert len(receiver.calls) == 1
    for number in range(newer):
        receiver.receive(build_datagram(2 + number, loads=[]))
    receiver.calls.clear()
    receiver.now += 60.0
    receiver.receive(recorded)
    assert receiver.calls == []
    assert receiver.sharing.rejected == 1


# Guards against the loads of an instance that is gone.
def test_replayed_loads_change_nothing_after_the_reports_have_expired():
    receiver = Receiver()
    load = ttypes.ServerLoad(hash_server("s0"), 9, 10)
    recorded = build_datagram(loads=[load])
    receiver.receive(recorded)
    assert receiver.shared.sum("s0", receiver.now).in_flight == 9
    receiver.now += 60.0
    receiver.shared.expire_reports(receiver.now)
    receiver.receive(recorded)
    assert receiver.shared.sum("s0", receiver.now).in_flight == 0


def test_replay_does_not_make_its_sender_heard():
    receiver = Receiver()
    recorded = build_datagram(loads=[])
    receiver.receive(recorded)
    receiver.now += 60.0
    receiver.receive(recorded)
    assert receiver.relays._heard_at == {"other": NOW}


def test_own_datagram_that_comes_back_changes_nothing():
    receiver = Receiver()
    load = ttypes.ServerLoad(hash_server("s0"), 9, 10)
    receiver.receive(build_datagram(sender="own", loads=[load]))
    assert receiver.shared.sum("s0", receiver.now).in_flight == 0
    assert receiver.sharing.rejected == 1


@pytest.mark.parametrize("section", SECTIONS)
def test_datagrams_in_another_order_are_all_taken(section):
    receiver = Receiver()
    for number in (3, 1, 4, 2):
        receiver.receive(build_datagram(number, **SECTIONS[section]))
    assert len(receiver.calls) == 4


def test_equal_notes_that_are_sent_twice_are_both_taken():
    sender, receiver = Receiver(), Receiver()
    sent = []
    sender.sharing._incarnation = "other"
    sender.sharing._builder._incarnation = "other"
    sender.sharing._sender = SimpleNamespace(
        send=lambda datagrams, receiver_ids: sent.extend(datagrams)
    )
    note = SimpleNamespace(
        kind=SimpleNamespace(value=0),
        service="drafts",
        requests=(1,),
        lives=(2,),
        wait=1.0,
        is_urgent=False,
        is_complete=False,
    )
    for _ in range(2):
        sender.sharing.send_permit_notes("own", [note])
    for datagram in sent:
        receiver.receive(datagram)
    assert len(receiver.calls) == 2
