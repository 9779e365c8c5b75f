"""Instances tell each other of servers that have started anew."""

import itertools
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.cold_servers import ColdPolicy, ColdReason
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.relays import RelaySelection, Role
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.quarantine import QuarantineFilter
from tanagerwalk.gateway.sharing import LoadSharing
from tanagerwalk.registry import RegisteredServer, ServerState

DOMAINS = ("a-1", "b-1", "c-1")
POLICY = ColdPolicy(duration=4.0, rate=8.0, overrun=1.5, slack=5.0)
SERVER = RegisteredServer(
    "desk-0", "desk", ("10.0.0.1", 80), "a-1", "v1", 8, ServerState.READY, born=1
)
LIFE = hash_life(SERVER)


class Fleet:
    """Instances that exchange load messages in rounds, with a clock of their own."""

    def __init__(self, size):
        self.now = 0.0
        self.random = random.Random(1)
        self.messages = []
        names = [f"gateway-{number}" for number in range(size)]
        self.peers = {
            name: Peer(("10.0.0.1", number), DOMAINS[number % len(DOMAINS)])
            for number, name in enumerate(names)
        }
        self.pools = []
        self.sharings = [self._build(name) for name in names]

    def _build(self, name):
        domain = self.peers[name].failure_domain
        others = {each: peer for each, peer in self.peers.items() if each != name}
        relays = RelaySelection(name, domain)
        relays.set_peers(others)
        shared = SharedLoadTable()
        home = Home(domain, domain, {each: each for each in DOMAINS})
        pool = ServerPool(home, shared, PathTable(), self.random)
        pool.limits.cold.find_policy = lambda service: POLICY
        pool.replace_servers([SERVER])
        self.pools.append(pool)
        rollouts = SimpleNamespace(
            set_role=lambda role: None,
            list_own_tallies=dict,
            list_domain_tallies=dict,
            list_fleet_tallies=dict,
        )
        sharing = LoadSharing(
            name,
            domain,
            pool,
            shared,
            relays,
            QuarantineFilter(pool, lambda: self.now, self.random),
            rollouts,
            SimpleNamespace(list_side_overrides=dict),
            lambda: others,
            lambda: self.now,
            self.random,
        )
        sharing.authenticate("key of the fleet")
        sharing.connection_made(
            SimpleNamespace(sendto=lambda *sent: self.messages.append(sent))
        )
        return sharing

    def play(self, seconds, step=0.25):
        """Let all instances send a round each `step` seconds."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            for sharing in self.sharings:
                sharing._update_role()
                sharing._send_round(self.now)
            self.now += step
            messages, self.messages = self.messages, []
            for datagram, (_, number) in messages:
                self.sharings[number].datagram_received(datagram, ("10.0.0.1", 1))

    def count_cold(self):
        return sum(pool.limits.has_limit(LIFE, self.now) for pool in self.pools)


# Guards against overload of a restarted server by instances that sent it nothing while
# it was down, and haven't read its new entry.
@pytest.mark.parametrize("size", [3, 30])
def test_instances_that_noticed_nothing_hear_of_a_restart(size):
    fleet = Fleet(size)
    fleet.pools[0].limits.cold.record_return(SERVER, 0.0, ColdReason.RESTARTED)
    fleet.play(1.0)
    assert fleet.count_cold() == size


def test_server_that_is_down_is_told_of_until_it_is_back():
    fleet = Fleet(3)
    first = fleet.pools[0].limits.cold
    first.record_crash(SERVER, 0.0)
    fleet.play(3.0)
    first.record_return(SERVER, fleet.now, ColdReason.RESTARTED)
    returned_at = fleet.now
    fleet.play(POLICY.duration - 0.5)
    assert [pool.limits.cold.count(fleet.now) for pool in fleet.pools] == [1, 1, 1]
    fleet.play(1.5)
    assert fleet.now <= returned_at + POLICY.duration + 1.0
    assert [pool.limits.cold.count(fleet.now) for pool in fleet.pools] == [0, 0, 0]


# One instance that was cut off from a server must not slow down all the others.
def test_server_that_only_one_instance_lost_is_not_told_of():
    fleet = Fleet(3)
    cold = fleet.pools[0].limits.cold
    cold.record_crash(SERVER, 0.0, ColdReason.LOST)
    cold.record_return(SERVER, 0.0, ColdReason.RETURNED)
    fleet.play(1.0)
    assert fleet.count_cold() == 1
    cold.record_crash(SERVER, fleet.now, ColdReason.LOST)
    fleet.play(1.0)
    assert fleet.count_cold() == 1


def test_time_that_another_instance_tells_is_bounded():
    cold = Fleet(1).pools[0].limits.cold
    cold.record_told(SERVER, 1e9, 0.0)
    assert cold.count(POLICY.duration - 0.1) == 1
    assert cold.count(POLICY.duration + 0.1) == 0


# Instances would extend the time for each other without an end.
@pytest.mark.parametrize("size", [3, 30])
def test_time_that_messages_take_does_not_extend_the_cold_time(size):
    fleet = Fleet(size)
    fleet.pools[0].limits.cold.record_return(SERVER, 0.0, ColdReason.RESTARTED)
    fleet.play(POLICY.duration + 2.0)
    assert [pool.limits.cold.count(fleet.now) for pool in fleet.pools] == [0] * size


# Guards against relays that know of an earlier restart only, and pass that one on.
def test_instances_hear_of_a_second_restart():
    fleet = Fleet(30)
    fleet.play(1.0)
    colds = [pool.limits.cold for pool in fleet.pools]
    is_relay = [sharing._role is Role.RELAY for sharing in fleet.sharings]
    for cold in itertools.compress(colds, is_relay):
        cold.record_return(SERVER, fleet.now, ColdReason.RESTARTED)
    fleet.play(2.0)
    member = colds[is_relay.index(False)]
    member.record_return(SERVER, fleet.now, ColdReason.RESTARTED)
    almost_warm_at = fleet.now + POLICY.duration - 0.1
    fleet.play(1.5)
    assert [cold.count(almost_warm_at) for cold in colds] == [1] * 30


def test_start_whose_entry_is_newer_is_not_taken_for_cold():
    fleet = Fleet(2)
    fleet.pools[1].replace_servers([replace(SERVER, born=2, revision=2)])
    fleet.pools[0].limits.cold.record_return(SERVER, 0.0, ColdReason.RESTARTED)
    fleet.play(1.0)
    assert fleet.pools[1].limits.cold.is_empty
