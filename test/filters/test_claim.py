"""Claims on whole instances when the store, a service or the caller fails."""

import asyncio
import json

import pytest

from tanagerwalk.filters.claim import MAX_IDEMPOTENCY_KEY_LENGTH

KEY = {"Idempotency-Key": "slot-1"}


def read_error(content):
    return json.loads(content)["error"]


async def send_booking(world, instance, slot=1, **headers):
    return await world.call(instance, "booking", {"slot": slot}, **{**KEY, **headers})


async def test_claim_whose_write_takes_effect_late_is_released(demo):
    """After a refusal as not run, a resend must be able to run.

    A claim write that takes effect after the refusal would block resends.
    """
    first, second = demo.instances.values()
    demo.keyvalue.late_writes = 3
    demo.keyvalue.late_delay = 1.5
    first_time = {"X-First-Submission": "true"}
    status, content, _ = await send_booking(demo, first, **first_time)
    assert (status, read_error(content)["run_state"]) == (503, "not_run")
    await demo.wait_until(lambda: not first.records.claims.open_count)
    status, _, _ = await send_booking(demo, second)
    assert status == 200
    assert demo.services["booking-1"].runs == ["slot-1"]


async def test_answer_reaches_the_caller_while_the_store_is_out(demo):
    first, second = demo.instances.values()
    service = demo.services["booking-1"]
    service.delay = 0.2
    request = asyncio.create_task(send_booking(demo, first))
    await demo.wait_until(lambda: service.runs)
    demo.keyvalue.outage = True
    status, content, _ = await request
    assert status == 200
    assert (await send_booking(demo, first))[1] == content
    demo.keyvalue.outage = False
    await demo.wait_until(lambda: not first.records.claims.open_count)
    assert (await send_booking(demo, second))[1] == content
    assert service.runs == ["slot-1"]


async def test_resend_of_an_unresolved_run_is_always_refused(demo):
    first, second = demo.instances.values()
    demo.services["booking-1"].lose_answers = 1
    await send_booking(demo, first)
    await demo.wait_until(lambda: not first.records.claims.open_count)
    for instance in (first, second):
        _, content, _ = await send_booking(demo, instance)
        assert read_error(content)["code"] == "claim_unresolved"
        assert read_error(content)["run_state"] == "unknown"
    assert demo.services["booking-1"].runs == ["slot-1"]


async def test_refused_request_may_run_later(demo, monkeypatch):
    first, second = demo.instances.values()
    first.table.servers["booking-1"].leaving = True
    # Otherwise the next read of the instance list clears the mark.
    monkeypatch.setattr(first.table, "_set_leaving", lambda server, leaving: None)
    _, content, _ = await send_booking(demo, first)
    assert read_error(content)["run_state"] == "not_run"
    await demo.wait_until(lambda: not first.records.claims.open_count)
    assert (await send_booking(demo, second))[0] == 200


async def test_request_completes_after_the_caller_disconnects(demo):
    first, second = demo.instances.values()
    service = demo.services["booking-1"]
    service.delay = 0.2
    request = asyncio.create_task(send_booking(demo, first))
    await demo.wait_until(lambda: service.runs)
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await demo.wait_until(lambda: not first.records.claims.open_count)
    status, content, _ = await send_booking(demo, second)
    assert (status, json.loads(content)["number"]) == (200, 1)
    assert service.runs == ["slot-1"]


async def test_same_key_with_another_body_is_refused(demo):
    first, second = demo.instances.values()
    await send_booking(demo, first)
    status, content, _ = await send_booking(demo, second, slot=2)
    assert (status, read_error(content)["code"]) == (422, "idempotency_key_reused")


@pytest.mark.parametrize(
    ("key", "code"),
    [
        ("", "idempotency_key_missing"),
        ("k" * (MAX_IDEMPOTENCY_KEY_LENGTH + 1), "invalid_request"),
    ],
)
async def test_unusable_key_is_refused(demo, key, code):
    first, _ = demo.instances.values()
    _, content, _ = await demo.call(
        first, "booking", {}, **({"Idempotency-Key": key} if key else {})
    )
    assert read_error(content)["code"] == code


async def test_record_of_a_finished_claim_expires_with_its_lease(demo):
    """The store deletes the record with its lease; no instance does so."""
    first, _ = demo.instances.values()
    await send_booking(demo, first)
    await demo.wait_until(lambda: not first.records.claims.open_count)
    claims = await first.store.list("tanagerwalk/claims/")
    assert len(claims.ok) == 1
    for lease in list(demo.keyvalue._leases):
        await first.store.revoke_lease(lease)
    assert (await first.store.list("tanagerwalk/claims/")).ok == []
