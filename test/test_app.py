"""End-to-end tests of the filter chain, against stand-ins."""

import asyncio
import json

from prometheus_client import generate_latest


def read_error(content):
    return json.loads(content)["error"]


async def test_booking_runs_once_on_two_instances(demo):
    first, second = demo.instances.values()
    key = {"Idempotency-Key": "slot-1"}
    answers = await asyncio.gather(
        *(
            demo.call(instance, "booking", {"slot": 1}, **key)
            for instance in (first, second) * 5
        )
    )
    assert demo.services["booking-1"].runs == ["slot-1"]
    for status, content, _ in answers:
        assert status == 200 or read_error(content)["code"] == "claim_running"


async def test_booking_is_not_repeated_after_a_lost_answer(demo):
    first, second = demo.instances.values()
    demo.services["booking-1"].lose_answers = 1
    key = {"Idempotency-Key": "slot-1"}
    _, content, _ = await demo.call(first, "booking", {"slot": 1}, **key)
    assert read_error(content)["run_state"] == "unknown"
    _, content, _ = await demo.call(second, "booking", {"slot": 1}, **key)
    assert read_error(content)["run_state"] == "unknown"
    assert demo.services["booking-1"].runs == ["slot-1"]


async def test_booking_is_refused_as_not_run_while_the_store_is_out(demo):
    first, _ = demo.instances.values()
    demo.keyvalue.outage = True
    key = {"Idempotency-Key": "slot-1", "X-First-Submission": "true"}
    status, content, headers = await demo.call(first, "booking", {}, **key)
    assert status == 503
    assert read_error(content)["run_state"] == "not_run"
    assert int(headers["Retry-After"]) >= 1
    assert demo.services["booking-1"].runs == []


async def test_resend_of_a_booking_that_ran_is_not_answered_as_not_run(demo):
    """Guards against `not_run` for a request that another instance has run.

    The second instance can't read the claim while the store is down, and later
    refuses because it is stopping. Neither tells it whether the booking ran.
    """
    first, second = demo.instances.values()
    key = {"Idempotency-Key": "slot-1"}
    assert (await demo.call(first, "booking", {}, **key))[0] == 200
    demo.keyvalue.outage = True
    _, content, _ = await demo.call(second, "booking", {}, **key)
    assert read_error(content)["code"] == "claim_unavailable"
    assert read_error(content)["run_state"] == "unknown"
    second.callers.stopping = True
    _, content, _ = await demo.call(second, "booking", {}, **key)
    assert read_error(content)["code"] == "stopping"
    assert read_error(content)["run_state"] == "unknown"


async def test_claim_whose_write_answer_is_lost_runs_once(demo):
    first, _ = demo.instances.values()
    demo.keyvalue.lose_answers = 1
    key = {"Idempotency-Key": "slot-1"}
    status, _, _ = await demo.call(first, "booking", {}, **key)
    assert status == 200
    assert demo.services["booking-1"].runs == ["slot-1"]


async def test_cut_stream_is_resumed_without_loss(demo):
    first, _ = demo.instances.values()
    for engine in demo.engines.values():
        engine.cut_after = 3
    demo.engines["engine-1"].cuts = 1
    demo.engines["engine-2"].cuts = 1
    for _ in range(4):
        status, content, _ = await demo.chat(first, "label", "spine")
        text = json.loads(content)["choices"][0]["message"]["content"]
        assert status == 200
        assert text.split() == [f"wren:1-{n}" for n in range(8)]


async def test_session_keeps_its_version_and_ends_with_it(demo):
    first, second = demo.instances.values()
    _, _, headers = await demo.chat(first, "label", "a", **{"X-Session": "new"})
    token = {"X-Session": headers["X-Session"]}
    status, _, headers = await demo.chat(second, "label", "b", **token)
    assert (status, headers["X-Version"]) == (200, "wren:1")
    text = first.configuration.text.replace("released", "withdrawn", 1)
    revision = await demo.apply(text)
    await demo.wait_until(lambda: second.configuration.revision == revision)
    status, content, _ = await demo.chat(second, "label", "c", **token)
    assert status == 410
    assert read_error(content)["code"] == "version_withdrawn"
    status, _, headers = await demo.chat(second, "label", "d")
    assert (status, headers["X-Version"]) == (200, "heron:1")


async def test_unknown_key_and_class_are_refused(demo):
    first, _ = demo.instances.values()
    status, content, _ = await demo.chat(first, "novel", "a")
    assert (status, read_error(content)["code"]) == (404, "class_unknown")
    message = {"role": "user", "content": "a"}
    body = {"model": "label", "messages": [message]}
    status, content, _ = await demo.post(first, "/v1/chat/completions", body, key="x")
    assert (status, read_error(content)["code"]) == (401, "unauthenticated")


async def test_exception_in_the_chain_is_answered_as_internal_error(demo, monkeypatch):
    first, _ = demo.instances.values()

    def fail(*_arguments):
        raise ValueError("broken")

    monkeypatch.setattr(first.table, "choose", fail)
    status, content, _ = await demo.chat(first, "label", "a")
    assert (status, read_error(content)["code"]) == (500, "internal_error")
    assert read_error(content)["run_state"] == "unknown"
    monkeypatch.undo()
    status, _, _ = await demo.chat(first, "label", "b")
    assert status == 200


async def test_instance_serves_while_a_controller_fails(demo, monkeypatch):
    """Guards against a process that ends because one of its controllers did."""
    first, _ = demo.instances.values()
    monkeypatch.setattr(first.table, "update_records", lambda _records: 1 / 0)
    counts = first.supervisor.defects.counts
    await demo.wait_until(lambda: counts["membership"] >= 2)
    assert set(counts) == {"membership"}
    status, _, _ = await demo.chat(first, "label", "a")
    assert status == 200
    assert b'controller_restarts_total{controller="membership"}' in generate_latest(
        first.metrics.registry
    )
    monkeypatch.undo()
    counts.clear()
    await asyncio.sleep(2.0)
    assert not counts


async def test_refusals_before_the_chain_are_counted(demo):
    first, _ = demo.instances.values()
    body = {"model": "label", "messages": []}
    status, content, _ = await demo.post(first, "/v1/chat/completions", body)
    assert (status, read_error(content)["code"]) == (400, "invalid_request")
    first.callers.stopping = True
    status, content, headers = await demo.chat(first, "label", "a")
    assert (status, read_error(content)["code"]) == (503, "stopping")
    assert int(headers["Retry-After"]) >= 1
    page = generate_latest(first.metrics.registry).decode()
    assert 'tanagerwalk_refusals_total{reason="invalid_request"} 1.0' in page
    assert 'tanagerwalk_refusals_total{reason="stopping"} 1.0' in page
