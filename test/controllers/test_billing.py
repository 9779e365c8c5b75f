"""Billing of complete instances during failures of store, peers and engines."""

import asyncio
from collections import Counter

import pytest

from tanagerwalk.controllers import billing
from tanagerwalk.controllers.billing import read_bills
from tanagerwalk.decisions.bills import deduplicate_bills


async def read_stored_bills(demo):
    instance = next(iter(demo.instances.values()))
    return (await read_bills(instance.store)).ok


def is_membership_complete(demo):
    count = len(demo.instances)
    return all(len(each.membership.peers) == count for each in demo.instances.values())


async def test_bill_is_at_a_peer_before_the_answer_ends(demo):
    first, second = demo.instances.values()
    await demo.wait_until(lambda: is_membership_complete(demo))
    demo.keyvalue.outage = True
    status, _, _ = await demo.chat(first, "label", "spine")
    assert status == 200
    assert len(second.records.held) == 1
    demo.keyvalue.outage = False
    await demo.wait_until(lambda: not first.records.billing.count_unwritten())
    await demo.wait_until(lambda: not second.records.held)
    assert len(await read_stored_bills(demo)) == 1


async def test_bill_without_peers_is_in_the_store_before_the_answer_ends(demo):
    first, _ = demo.instances.values()
    first.membership.list_peers = tuple
    first.records.billing._replicator._list_peers = tuple
    await demo.chat(first, "label", "spine")
    assert len(await read_stored_bills(demo)) == 1
    assert first.metrics.bills_at_risk._value.get() == 0


async def test_without_store_and_peers_the_bill_is_held_and_counted(demo):
    first, _ = demo.instances.values()
    first.records.billing._replicator._list_peers = tuple
    demo.keyvalue.outage = True
    status, _, _ = await demo.chat(first, "label", "spine")
    assert status == 200
    assert first.metrics.bills_at_risk._value.get() == 1
    demo.keyvalue.outage = False
    await demo.wait_until(lambda: not first.records.billing.count_unwritten())
    assert len(await read_stored_bills(demo)) == 1


async def test_work_is_refused_as_not_run_once_no_bill_can_be_kept(demo, monkeypatch):
    monkeypatch.setattr(billing, "MAX_UNWRITTEN_BILLS", 1)
    first, _ = demo.instances.values()
    demo.keyvalue.outage = True
    assert (await demo.chat(first, "label", "a"))[0] == 200
    status, content, _ = await demo.chat(first, "label", "b")
    assert status == 503
    assert b'"run_state":"not_run"' in content
    demo.keyvalue.outage = False
    await demo.wait_until(lambda: not first.records.billing.count_unwritten())
    assert (await demo.chat(first, "label", "c"))[0] == 200


async def test_batch_written_by_origin_and_holder_is_stored_once(demo):
    """An origin that was only paused and the holder of its copy write the same key."""
    first, second = demo.instances.values()
    await demo.wait_until(lambda: is_membership_complete(demo))
    demo.keyvalue.outage = True
    await demo.chat(first, "label", "spine")
    demo.keyvalue.outage = False
    await asyncio.gather(
        second.records.holding.hand_off(), first.records.billing.flush()
    )
    assert len(await read_stored_bills(demo)) == 1
    assert not second.records.held


@pytest.mark.parametrize("cut_after", [1, 3, 7])
async def test_tokens_of_an_engine_that_died_are_billed(demo, cut_after):
    first, _ = demo.instances.values()
    for engine in demo.engines.values():
        engine.cut_after = cut_after
        engine.cuts = 1
    status, _, _ = await demo.chat(first, "label", "spine", **{"X-Request-Id": "r"})
    assert status == 200
    await demo.wait_until(lambda: not first.records.billing.count_unwritten())
    (bill,) = await read_stored_bills(demo)
    assert (bill.request_id, bill.completion_tokens) == ("r", 8)


async def test_resent_request_ids_are_billed_once(demo):
    await demo.wait_until(lambda: is_membership_complete(demo))
    requests = [
        demo.chat(instance, "label", text, **{"X-Request-Id": text})
        for instance in demo.instances.values()
        for text in ("a", "b", "a")
    ]
    answers = await asyncio.gather(*requests)
    assert {status for status, _, _ in answers} == {200}
    for instance in demo.instances.values():
        await instance.records.billing.flush()
    deduplicated = deduplicate_bills(await read_stored_bills(demo))
    assert Counter(bill.request_id for bill in deduplicated.values()) == {
        "a": 1,
        "b": 1,
    }
