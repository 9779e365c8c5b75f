"""Selection of exchange partners."""

import random
from collections import Counter

import pytest

from tanagerwalk.clients.targets import PeerRecord
from tanagerwalk.decisions.partners import FAULT_PAUSE_S, PartnerChooser
from tanagerwalk.decisions.servers import Home

HOME = Home("r0", "d0")
DOMAINS = 6
REGIONS = 3


def make_peer(number, leaving=False):
    domain = number % DOMAINS
    name = f"entry-{number}"
    return PeerRecord(
        name, f"a:{number}", f"r{domain % REGIONS}", f"d{domain}", name, leaving
    )


def make_chooser(number, cross_domain=0.25):
    peer = make_peer(number)
    home = Home(peer.region, peer.failure_domain)
    return PartnerChooser(peer.incarnation, home, cross_domain, random.Random(number))


FLEET = tuple(make_peer(number) for number in range(60))


def draw(chooser, peers=FLEET, count=400, now=0.0, wall_now=0.0):
    return Counter(chooser.choose(peers, now, wall_now) for _ in range(count))


@pytest.mark.parametrize("peers", [(), (make_peer(0),), (make_peer(6, leaving=True),)])
def test_no_partner_without_others(peers):
    assert make_chooser(0).choose(peers, 0.0, 0.0) is None


def test_every_instance_is_in_as_many_views():
    seen = Counter()
    for number in range(len(FLEET)):
        seen.update(set(draw(make_chooser(number, cross_domain=0.0))))
    assert len(set(seen.values())) == 1


def test_cross_domain_probability_and_fallback():
    drawn = draw(make_chooser(0))
    assert all(peer.incarnation != "entry-0" for peer in drawn)
    near = sum(n for peer, n in drawn.items() if peer.failure_domain == "d0")
    assert 0.6 < near / drawn.total() < 0.9
    only_far = tuple(peer for peer in FLEET if peer.failure_domain != "d0")
    assert draw(make_chooser(0, cross_domain=0.0), only_far).total() == 400
    assert None not in draw(make_chooser(0, cross_domain=0.0), only_far)


def test_failed_peers_are_paused_unless_all_failed():
    chooser = make_chooser(0)
    first = chooser.choose(FLEET, 0.0, 0.0)
    chooser.record_fault(first, 0.0)
    assert first not in draw(chooser, now=FAULT_PAUSE_S / 2)
    assert first in draw(chooser, now=FAULT_PAUSE_S + 1)
    for peer in FLEET:
        chooser.record_fault(peer, 100.0)
    assert None not in draw(chooser, now=100.0)


def test_view_changes_every_minute():
    chooser = make_chooser(0)
    assert set(draw(chooser)) != set(draw(chooser, wall_now=60.0))


def test_duplicate_listing_is_accepted():
    assert make_chooser(0).choose((make_peer(6), make_peer(6)), 0.0, 0.0) is not None
