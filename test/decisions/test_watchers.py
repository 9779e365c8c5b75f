"""Who watches the store in fleets of any size, with instances that do not answer."""

import random

import pytest

from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.watchers import (
    MIN_DOMAIN_SIZE,
    SUSPICION_S,
    WatcherSelection,
)
from tanagerwalk.ids import FailureDomain

DOMAINS = [FailureDomain(name) for name in ("a", "b", "c", "d", "e", "f")]


def build_fleet(size, link_rates=None):
    """Return a WatcherSelection of each instance, by id."""
    link_rates = link_rates or {}
    domains = {f"i{n}": DOMAINS[n % len(DOMAINS)] for n in range(size)}
    peers = {
        i: Peer(("10.0.0.1", 1), domain, link_rate=link_rates.get(i, 0.0))
        for i, domain in domains.items()
    }
    fleet = {}
    for own_id, domain in domains.items():
        link_rate = link_rates.get(own_id, 0.0)
        fleet[own_id] = WatcherSelection(own_id, domain, link_rate)
        others = {i: peer for i, peer in peers.items() if i != own_id}
        fleet[own_id].set_peers(others)
    return fleet


def list_watchers(fleet, now=0.0):
    return [i for i, selection in fleet.items() if selection.is_watcher(now)]


@pytest.mark.parametrize("size", [75, 195, 340])
def test_one_instance_a_domain_watches_and_all_agree(size):
    """The calls to the store do not grow with the fleet."""
    fleet = build_fleet(size)
    watchers = list_watchers(fleet)
    assert len(watchers) == len(DOMAINS)
    for own_id, selection in fleet.items():
        assert selection.count_watchers() == len(DOMAINS)
        if own_id in watchers:
            assert selection.list_sources(0.0, random.Random(1)) == []
            continue
        first, remote = selection.list_sources(0.0, random.Random(1))
        assert {first, remote} <= set(watchers)
        assert first != remote


@pytest.mark.parametrize("size", [1, 7, 6 * (MIN_DOMAIN_SIZE - 1)])
def test_all_instances_of_a_small_fleet_watch(size):
    fleet = build_fleet(size)
    assert list_watchers(fleet) == list(fleet)


# Guards against LOST: changes filled the narrow link of the instance that passes them
# on, and the requests of its clients stood still.
def test_instance_with_the_widest_link_watches():
    wide = [f"i{n}" for n in range(30, 36)]
    narrow = dict.fromkeys((f"i{n}" for n in range(75)), 10.0)
    fleet = build_fleet(75, narrow | dict.fromkeys(wide, 200.0))
    assert list_watchers(fleet) == wide
    for own_id, selection in fleet.items():
        if own_id not in wide:
            assert set(selection.list_sources(0.0, random.Random(1))) <= set(wide)


def test_links_of_the_same_rate_change_nothing():
    equal = dict.fromkeys((f"i{n}" for n in range(75)), 10.0)
    assert list_watchers(build_fleet(75, equal)) == list_watchers(build_fleet(75))


def test_one_with_a_narrow_link_takes_over_if_the_wide_one_does_not_answer():
    fleet = build_fleet(75, {"i30": 200.0})
    survivors = {i: s for i, s in fleet.items() if i != "i30"}
    for selection in survivors.values():
        selection.suspect("i30", 0.0)
    assert len(list_watchers(survivors)) == len(DOMAINS)


def test_next_instance_takes_over_from_one_that_does_not_answer():
    fleet = build_fleet(75)
    lost, *_ = list_watchers(fleet)
    domain = fleet[lost]._failure_domain
    survivors = {
        own_id: selection
        for own_id, selection in fleet.items()
        if own_id != lost and selection._failure_domain == domain
    }
    for selection in survivors.values():
        selection.suspect(lost, 0.0)
    (successor,) = list_watchers(survivors)
    for own_id, selection in survivors.items():
        if own_id != successor:
            assert selection.list_sources(0.0, random.Random(1))[0] == successor
    assert list_watchers(survivors, SUSPICION_S) == []


def test_last_instance_that_answers_watches_itself():
    fleet = build_fleet(75)
    own_id, selection = next(iter(fleet.items()))
    for other in fleet:
        if other != own_id:
            selection.suspect(other, 0.0)
    assert selection.is_watcher(1.0)


def test_instance_whose_peers_are_unknown_watches_itself():
    assert WatcherSelection("i0", DOMAINS[0]).is_watcher(0.0)
