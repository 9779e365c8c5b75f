"""Tests of the network paths from an instance to the backend servers."""

import random

from tanagerwalk.decisions.paths import (
    SUSPICION_S,
    SUSPICIOUS_TUNNEL_DELAY_S,
    TUNNEL_DELAY_S,
    Outage,
    PathState,
    PathTable,
)
from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.tunnel_peers import MAX_PEERS_ASKED, TunnelPeers


def test_path_is_lost_until_a_connection_opens():
    paths = PathTable()
    assert paths.record_lost("s", PathState.UNREACHABLE, 1.0)
    assert not paths.record_lost("s", PathState.UNREACHABLE, 2.0)
    assert paths.is_unreachable("s")
    assert paths.record_lost("s", PathState.INDIRECT, 3.0)
    assert not paths.is_unreachable("s")
    assert paths.record_direct("s", 4.5) == 3.5
    assert paths.get_state("s") is PathState.DIRECT
    assert paths.record_direct("s", 5.0) is None


def test_tunnel_is_tried_sooner_while_another_direct_path_is_out():
    paths = PathTable()
    # A server that nobody reaches says nothing about the own path to others.
    paths.record_lost("crashed", PathState.UNREACHABLE, 1.0)
    assert paths.find_tunnel_delay(1.0) == TUNNEL_DELAY_S
    paths.record_lost("cut", PathState.INDIRECT, 1.0)
    assert paths.find_tunnel_delay(1.0) == SUSPICIOUS_TUNNEL_DELAY_S
    assert paths.find_tunnel_delay(1.1 + SUSPICION_S) == TUNNEL_DELAY_S


def build_peers(**domains):
    return {
        f"{domain}-{number}": Peer(("10.0.0.1", 1), domain, changes_port=1)
        for domain, count in domains.items()
        for number in range(count)
    }


# Guards against asking only instances that are cut off together with this one.
def test_peers_of_several_failure_domains_are_asked():
    selection = TunnelPeers("a", random.Random(1))
    ranked = selection.rank("b", build_peers(a=30, b=30, c=30), 0.0)
    domains = [peer_id.partition("-")[0] for peer_id in ranked]
    assert len(ranked) == MAX_PEERS_ASKED
    assert domains == ["a", "b", "c", "a", "b", "c"]


def test_peer_that_failed_is_asked_last_and_one_that_succeeded_first():
    selection = TunnelPeers("a", random.Random(1))
    peers = build_peers(a=2, b=1)
    selection.record_failure("a-0", 0.0)
    selection.record_success("b-0", 0.0)
    assert selection.rank("a", peers, 0.5) == ["b-0", "a-1", "a-0"]
    selection.record_failure("b-0", 0.5)
    assert selection.rank("a", peers, 0.6)[0] == "a-1"


def test_tunnels_of_many_instances_are_spread_over_the_peers():
    peers = build_peers(a=8)
    first = [
        TunnelPeers("a", random.Random(n)).rank("a", peers, 0.0)[0] for n in range(200)
    ]
    assert max(first.count(peer_id) for peer_id in peers) < 50


def test_peer_without_a_port_for_tunnels_is_not_asked():
    peers = {"a-0": Peer(("10.0.0.1", 1), "a")}
    assert TunnelPeers("a", random.Random(1)).rank("a", peers, 0.0) == []


def test_outage_of_a_server_ends_when_it_is_reached():
    paths = PathTable()
    assert paths.record_reached("s") is None
    paths.record_refused("s")
    assert paths.is_down("s")
    assert paths.record_reached("s") is Outage.DOWN
    assert not paths.is_down("s")
    assert paths.record_reached("s") is None
    paths.record_lost("s", PathState.UNREACHABLE, 1.0)
    assert paths.record_reached("s") is Outage.CUT_OFF
    paths.record_refused("s")
    paths.forget("s")
    assert paths.record_reached("s") is None
