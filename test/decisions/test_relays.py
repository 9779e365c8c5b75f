"""Loads and tallies of a large fleet, passed on by relays without a network.

With 195 instances that tell each other everything, a load is four seconds old before
it is told again: requests queued for seconds at engines that looked idle.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.relayed_items import RelayedItems, RelayedMaxima
from tanagerwalk.decisions.relays import (
    MAX_FLAT_FLEET,
    MAX_SILENCE_S,
    RELAY_PERIOD_S,
    RELAYS_PER_DOMAIN,
    RelaySelection,
    Role,
    Scope,
)
from tanagerwalk.decisions.shared_loads import (
    NO_LOAD,
    ReportSource,
    SharedLoad,
    SharedLoadTable,
    hash_server,
)
from tanagerwalk.decisions.tallies import SideCount, Tally, TallyBook
from tanagerwalk.ids import FailureDomain

DOMAINS = [FailureDomain(name) for name in ("a", "b", "c", "d", "e", "f")]
SERVER = "s0"
KEY = hash_server(SERVER)


class Member:
    """One instance: its view of the relays, its own load and its tables."""

    def __init__(self, own_id, domain):
        self.id = own_id
        self.domain = domain
        self.relays = RelaySelection(own_id, domain)
        self.table = SharedLoadTable()
        self.tallies = TallyBook(domain)
        self.own = SharedLoad(1, 100.0)
        self.role = Role.FLAT


class Fleet:
    """Instances that exchange loads and tallies in rounds."""

    def __init__(self, size):
        domains = {f"i{n}": DOMAINS[n % len(DOMAINS)] for n in range(size)}
        self.members = {i: Member(i, domain) for i, domain in domains.items()}
        self.now = 0.0
        self.sequence = 0
        self.messages = {}
        for member in self.members.values():
            member.relays.set_peers(
                {
                    i: Peer(("10.0.0.1", 1), domain)
                    for i, domain in domains.items()
                    if i != member.id
                }
            )

    def run(self, rounds, dead=frozenset()):
        for _ in range(rounds):
            self.now += RELAY_PERIOD_S
            self.sequence += 1
            living = [m for m in self.members.values() if m.id not in dead]
            for member in living:
                member.role = member.relays.find_role(self.now)
                member.table.set_role(member.role, len(self.members) - 1)
            for member in living:
                self.send_round(member, dead)

    def send_round(self, member, dead):
        self.messages[member.id] = 0
        relays = member.relays.list_relays(self.now)
        loads, tally = {KEY: member.own}, member.tallies.own
        self.deliver(member, Scope.INSTANCE, loads, tally, relays, dead)
        if member.role is Role.MEMBER:
            member.table.set_own_reported(loads)
            return
        others = relays + member.relays.list_remote_relays(self.now)
        for scope, scopes, tally, receivers in (
            (Scope.DOMAIN, {Scope.INSTANCE}, member.tallies.sum_domain(), others),
            (
                Scope.FLEET,
                {Scope.INSTANCE, Scope.DOMAIN},
                member.tallies.sum_fleet(member.role),
                member.relays.list_members(),
            ),
        ):
            total = member.table.sum_all(scopes, self.now).get(KEY, NO_LOAD)
            loads = {KEY: total.add(member.own)}
            self.deliver(member, scope, loads, tally, receivers, dead)

    def deliver(self, sender, scope, loads, tally, receivers, dead):
        self.messages[sender.id] += len(receivers)
        names = {Scope.INSTANCE: sender.id, Scope.DOMAIN: sender.domain}
        source = ReportSource(scope, names.get(scope, ""))
        for receiver_id in receivers:
            if receiver_id in dead:
                continue
            receiver = self.members[receiver_id]
            receiver.relays.record_heard(sender.id, self.now)
            if not receiver.table.accepts(scope):
                continue
            is_own_sum = scope is Scope.DOMAIN and sender.domain == receiver.domain
            if scope is Scope.DOMAIN and not is_own_sum:
                receiver.relays.record_remote_relay(sender.id, self.now)
            content = {} if is_own_sum else loads
            receiver.table.update(source, sender.id, self.sequence, content, self.now)
            receiver.tallies.record_received(scope, sender.domain, sender.id, tally)


@pytest.mark.parametrize("size", [75, 195])
def test_each_instance_knows_the_load_of_all_others_within_two_seconds(size):
    fleet = Fleet(size)
    fleet.run(5)
    for member in fleet.members.values():
        assert member.table.sum(SERVER, fleet.now).in_flight == size - 1


@pytest.mark.parametrize("size", [75, 195, 340])
def test_messages_of_a_member_do_not_grow_with_the_fleet(size):
    fleet = Fleet(size)
    fleet.run(4)
    relays = [m.id for m in fleet.members.values() if m.role is Role.RELAY]
    assert len(relays) == RELAYS_PER_DOMAIN * len(DOMAINS)
    for member in fleet.members.values():
        sent = fleet.messages[member.id]
        if member.role is Role.MEMBER:
            assert sent == RELAYS_PER_DOMAIN
        else:
            assert sent <= size / len(DOMAINS) + 20


def test_small_fleet_needs_no_relays():
    fleet = Fleet(MAX_FLAT_FLEET)
    assert all(m.relays.find_role(0.0) is Role.FLAT for m in fleet.members.values())


def test_next_instances_take_over_from_relays_that_are_lost():
    """Both relays of a domain lose power; their entries stay in the store."""
    fleet = Fleet(75)
    fleet.run(5)
    relays = {m.id for m in fleet.members.values() if m.role is Role.RELAY}
    dead = {i for i in relays if fleet.members[i].domain == "a"}
    assert len(dead) == RELAYS_PER_DOMAIN
    fleet.run(int((2.0 * MAX_SILENCE_S + 2.0) / RELAY_PERIOD_S), dead)
    for member in fleet.members.values():
        if member.id not in dead:
            in_flight = member.table.sum(SERVER, fleet.now).in_flight
            assert in_flight == len(fleet.members) - 1 - len(dead)


def test_relay_that_returns_is_used_again():
    selection = RelaySelection("own", "a")
    selection.set_peers({f"i{n}": Peer(("10.0.0.1", 1), "a") for n in range(40)})
    first = selection.list_relays(0.0)
    assert selection.list_relays(MAX_SILENCE_S + 0.1) != first
    for relay in first:
        selection.record_heard(relay, 2.0)
    assert selection.list_relays(2.0) == first


def test_sum_of_an_engine_is_not_lost_with_one_part_of_a_message():
    """Parts cover different servers, so each replaces only its own."""
    table = SharedLoadTable()
    table.set_role(Role.MEMBER, 195)
    for part in range(2):
        source = ReportSource(Scope.FLEET, "", part, 2)
        load = {KEY: SharedLoad(4, 10.0)} if part == KEY % 2 else {}
        table.update(source, "relay", 1, load, 0.0)
    other = ReportSource(Scope.FLEET, "", 1 - KEY % 2, 2)
    table.update(other, "relay", 2, {}, 0.1)
    assert table.sum(SERVER, 0.2).in_flight == 4


COUNTS = st.lists(st.tuples(st.integers(0, 194), st.booleans()), max_size=60)


@given(COUNTS)
def test_evidence_on_a_release_is_counted_once_by_every_instance(answers):
    fleet = Fleet(75)
    fleet.run(1)
    for number, is_bad in answers:
        member = fleet.members[f"i{number % 75}"]
        member.tallies.own.record("plans", True, is_bad)
    fleet.run(4)
    expected = SideCount(len(answers), sum(is_bad for _, is_bad in answers))
    for member in fleet.members.values():
        total = member.tallies.sum_fleet(member.role)
        assert total.target.get("plans", SideCount()) == expected


def test_evidence_of_a_killed_instance_is_kept():
    fleet = Fleet(75)
    fleet.run(1)
    killed = next(m for m in fleet.members.values() if m.role is Role.MEMBER)
    for _ in range(7):
        killed.tallies.own.record("plans", True, True)
    fleet.run(4)
    fleet.run(4, {killed.id})
    for member in fleet.members.values():
        total = member.tallies.sum_fleet(member.role)
        assert total.target["plans"] == SideCount(7, 7)


def test_tally_of_a_restarted_relay_does_not_lower_the_counts():
    book = TallyBook("a")
    for count in (9, 4):
        tally = Tally({"plans": SideCount(count, count)})
        book.record_received(Scope.FLEET, "a", f"relay-{count}", tally)
    assert book.sum_fleet(Role.MEMBER).target["plans"].answers == 9


def test_relayed_items_expire_and_keep_the_members_own():
    items = RelayedItems(1.5)
    items.record(Scope.INSTANCE, "session", True, 0.0)
    items.record(Scope.DOMAIN, "session", False, 0.5)
    assert items.list({Scope.INSTANCE}, 1.0) == {"session": True}
    items.record(Scope.DOMAIN, "session", False, 2.0)
    assert items.list({Scope.INSTANCE}, 2.0) == {}
    assert items.list({Scope.DOMAIN}, 2.0) == {"session": False}
    assert items.list({Scope.DOMAIN}, 4.0) == {}


# Instances that pass nothing on never list the items.
def test_relayed_items_that_are_never_listed_do_not_pile_up():
    items = RelayedItems(1.5)
    for life in range(100):
        items.record(Scope.FLEET, life, True, float(life))
        items.record(Scope.FLEET, "renewed", True, float(life))
    assert set(items._items) == {98, 99, "renewed"}


def test_shorter_time_does_not_replace_a_longer_one():
    items = RelayedMaxima(1.5)
    items.record(Scope.INSTANCE, "life", 6.0, 0.0)
    items.record(Scope.INSTANCE, "life", 4.0, 1.0)
    items.record(Scope.DOMAIN, "life", 9.0, 1.0)
    assert items.list({Scope.INSTANCE}, 1.0) == {"life": 6.0}
    assert items.list({Scope.INSTANCE, Scope.DOMAIN}, 1.0) == {"life": 9.0}
    items.record(Scope.INSTANCE, "life", 4.0, 2.0)
    assert items.list({Scope.INSTANCE}, 2.0) == {"life": 4.0}
