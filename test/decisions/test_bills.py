"""Deduplication of bills, and the storage and adoption of copies."""

import itertools

import pytest

from tanagerwalk.clients.targets import PeerRecord
from tanagerwalk.decisions.bills import (
    FAULT_PAUSE_S,
    LIVE_ORIGIN_ADOPT_FACTOR,
    MAX_HELD_BYTES,
    BatchId,
    Bill,
    CopyHolderChooser,
    HeldBatches,
    deduplicate_bills,
)
from tanagerwalk.decisions.servers import Home

ADOPT_AFTER_S = 10.0


def make_bill(request_id="r", cost=1.0, fingerprint="f"):
    return Bill("desk", request_id, "label", "wren:1", 1, 2, cost, fingerprint)


def make_peer(name, domain, region="r1", leaving=False):
    return PeerRecord(name, f"{name}:1", region, domain, f"{name}.1", leaving)


def test_each_request_is_billed_once_in_any_order():
    bills = [
        make_bill(),
        make_bill(),
        make_bill(cost=2.0),
        make_bill("s"),
        make_bill(fingerprint="other work"),
    ]
    deduplicated = [deduplicate_bills(order) for order in itertools.permutations(bills)]
    assert all(each == deduplicated[0] for each in deduplicated)
    assert len(deduplicated[0]) == 3
    assert deduplicated[0]["desk", "r", "f"].cost == 1.0


@pytest.mark.parametrize(
    ("age", "live", "due"),
    [
        (ADOPT_AFTER_S - 1, frozenset(), False),
        (ADOPT_AFTER_S, frozenset(), True),
        (ADOPT_AFTER_S, frozenset(["a.1"]), False),
        (ADOPT_AFTER_S, None, False),
        (ADOPT_AFTER_S * LIVE_ORIGIN_ADOPT_FACTOR, None, True),
        (ADOPT_AFTER_S * LIVE_ORIGIN_ADOPT_FACTOR, frozenset(["a.1"]), True),
    ],
)
def test_copy_is_adopted_by_age_and_live_list(age, live, due):
    held = HeldBatches(ADOPT_AFTER_S)
    assert held.keep(BatchId("a.1", 0), b"[]", 100.0)
    assert bool(held.list_due(live, 100.0 + age)) is due


def test_copies_are_bounded_and_dropped():
    held = HeldBatches(ADOPT_AFTER_S)
    half = b"x" * (MAX_HELD_BYTES // 2)
    ids = [BatchId("a.1", number) for number in range(3)]
    assert [held.keep(each, half, 0.0) for each in ids] == [True, True, False]
    assert held.keep(ids[0], half, 0.0)
    held.drop(ids[0])
    held.drop(ids[0])
    assert held.size == len(half)
    assert held.keep(ids[2], half, 0.0)


@pytest.mark.parametrize(
    ("peers", "chosen"),
    [
        ([], []),
        ([make_peer("own", "r1-a")], []),
        ([make_peer("b", "r1-a")], ["b"]),
        ([make_peer("b", "r1-a"), make_peer("c", "r2-a", "r2")], ["c", "b"]),
        (
            [
                make_peer("b", "r1-a"),
                make_peer("c", "r2-a", "r2"),
                make_peer("d", "r1-b"),
            ],
            ["d", "b"],
        ),
        ([make_peer("c", "r2-a", "r2", leaving=True), make_peer("b", "r1-a")], ["b"]),
    ],
)
def test_first_copy_goes_to_another_failure_domain(peers, chosen):
    chooser = CopyHolderChooser("own.1", Home("r1", "r1-a"))
    assert [peer.id for peer in chooser.choose(peers, 0.0)[:2]] == chosen


def test_faulty_peer_is_paused():
    chooser = CopyHolderChooser("own.1", Home("r1", "r1-a"))
    peers = (make_peer("b", "r1-a"), make_peer("c", "r2-a", "r2"))
    chooser.record_fault(peers[1], 0.0)
    assert [peer.id for peer in chooser.choose(peers, 1.0)] == ["b"]
    assert len(chooser.choose(peers, FAULT_PAUSE_S + 1)) == 2
