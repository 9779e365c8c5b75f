"""Crash records reach every instance of a large fleet, over messages that get lost."""

import random
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.brittleness import BrittleServices
from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.relays import RELAY_PERIOD_S, RelaySelection, Role
from tanagerwalk.decisions.server_limits import ServerLimits
from tanagerwalk.decisions.server_speeds import ServerSpeeds
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.quarantine import LIMITS, QuarantineFilter
from tanagerwalk.gateway.sharing import LoadSharing

DOMAINS = ("a-1", "b-1", "c-1")
# The rule allows three sends after this time.
NEWS_S = 3.0
LOSS_SHARE = 0.03


def build_request(fingerprint):
    return SimpleNamespace(fingerprint=fingerprint, shared_parts=(), is_trial=False)


class Fleet:
    """Instances that exchange messages by a queue, with a clock of their own."""

    def __init__(self, size, seed=1):
        self.now = 0.0
        self.random = random.Random(seed)
        self.messages = []
        self.names = [f"gateway-{number}" for number in range(size)]
        self.peers = {
            name: Peer(("10.0.0.1", number), DOMAINS[number % len(DOMAINS)])
            for number, name in enumerate(self.names)
        }
        self.members = [self.build(name) for name in self.names]

    def build(self, name):
        """Return an instance, as it is after a start."""
        domain = self.peers[name].failure_domain
        others = {each: peer for each, peer in self.peers.items() if each != name}
        relays = RelaySelection(name, domain)
        relays.set_peers(others)
        servers = SimpleNamespace(
            list_own_loads=lambda now: {},
            list_leaving=list,
            list_usages=lambda service: [],
            limits=ServerLimits(self.random),
            brittle=BrittleServices(),
            speeds=ServerSpeeds(),
        )
        rollouts = SimpleNamespace(
            set_role=lambda role: None,
            list_own_tallies=dict,
            list_domain_tallies=dict,
            list_fleet_tallies=dict,
        )
        assigner = SimpleNamespace(list_side_overrides=dict)
        quarantine = QuarantineFilter(servers, lambda: self.now, self.random)
        sharing = LoadSharing(
            name,
            domain,
            servers,
            SharedLoadTable(),
            relays,
            quarantine,
            rollouts,
            assigner,
            lambda: others,
            lambda: self.now,
            self.random,
        )
        sharing.authenticate("key of the fleet")
        sharing.connection_made(
            SimpleNamespace(sendto=lambda *sent: self.messages.append(sent))
        )
        return SimpleNamespace(sharing=sharing, quarantine=quarantine)

    def play(self, seconds):
        """Let all instances send and receive for a while."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            for member in self.members:
                member.sharing._update_role()
                member.sharing._send_round(self.now)
            self.deliver()
            self.now += RELAY_PERIOD_S

    def deliver(self):
        sent, self.messages = self.messages, []
        for datagram, (_, number) in sent:
            if self.random.random() >= LOSS_SHARE:
                self.members[number].sharing.datagram_received(datagram, ("", 0))

    def crash(self, number, fingerprint, server):
        """Record a crash at one instance."""
        quarantine = self.members[number].quarantine
        quarantine._quarantine.add_crashes(fingerprint, (server,), self.now)
        quarantine._news.record(fingerprint)

    def count_quarantined(self, fingerprint):
        request = build_request(fingerprint)
        return sum(each.quarantine.is_quarantined(request) for each in self.members)


# Guards against BUDGET: crashes that instances of several failure domains saw, each of
# which knows of one alone; and many other records at the same time.
@pytest.mark.parametrize("size", [9, 30, 75])
def test_crashes_seen_by_three_instances_quarantine_in_the_whole_fleet(size):
    fleet = Fleet(size)
    fleet.play(4 * RELAY_PERIOD_S)
    for number in range(3):
        for other in range(60):
            fleet.crash(number, f"other-{number}-{other}", f"{other:08x}")
        fleet.crash(number, "crashing", f"s{number}")
    fleet.play(NEWS_S)
    assert fleet.count_quarantined("crashing") == size
    assert fleet.count_quarantined("other-0-0") == 0


# Guards against BUDGET: a record that ends with the process that made it.
@pytest.mark.parametrize("size", [9, 30])
def test_instance_that_starts_later_learns_of_a_quarantined_request(size):
    fleet = Fleet(size)
    fleet.play(4 * RELAY_PERIOD_S)
    for server in ("s1", "s2", "s3"):
        fleet.crash(0, "crashing", server)
    fleet.play(NEWS_S)
    fleet.members[0] = fleet.build(fleet.names[0])
    fleet.members[-1] = fleet.build(fleet.names[-1])
    fleet.play(NEWS_S)
    assert fleet.count_quarantined("crashing") == size


# Guards against a record that instances remind each other of for ever.
def test_record_of_a_request_that_comes_no_more_ends():
    fleet = Fleet(9)
    for server in ("s1", "s2", "s3"):
        fleet.crash(0, "crashing", server)
    fleet.play(LIMITS.lifetime / 2)
    assert fleet.count_quarantined("crashing") == 9
    fleet.play(LIMITS.lifetime)
    assert fleet.count_quarantined("crashing") == 0


# Guards against BUDGET: a request that outlives its record by coming again and again.
def test_record_of_a_request_that_comes_again_stays_in_the_whole_fleet():
    fleet = Fleet(9)
    for server in ("s1", "s2", "s3"):
        fleet.crash(0, "crashing", server)
    for _ in range(8):
        fleet.play(LIMITS.lifetime / 3)
        fleet.members[4].quarantine.refuses(build_request("crashing"))
    assert fleet.count_quarantined("crashing") == 9


def test_roles_are_as_in_a_large_fleet():
    fleet = Fleet(30)
    fleet.play(4 * RELAY_PERIOD_S)
    roles = [member.sharing._role for member in fleet.members]
    assert roles.count(Role.RELAY) == 2 * len(DOMAINS)
