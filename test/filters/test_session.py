"""Sessions with ids chosen by callers, on whole instances."""

import asyncio
import json

import pytest

pytestmark = pytest.mark.serial

SESSION_HEADERS = {"X-Session": "deed-book-7"}


def read_error(content):
    return json.loads(content)["error"]


async def test_chosen_id_keeps_its_version_on_every_instance(demo):
    first, second = demo.instances.values()
    _, _, headers = await demo.chat(first, "label", "a", **SESSION_HEADERS)
    assert (headers["X-Session"], headers["X-Version"]) == ("deed-book-7", "wren:1")
    text = first.configuration.text.replace("released", "draining", 1)
    revision = await demo.apply(text)
    await demo.wait_until(lambda: second.configuration.revision == revision)
    _, _, headers = await demo.chat(second, "label", "b", **SESSION_HEADERS)
    assert headers["X-Version"] == "wren:1"
    _, _, headers = await demo.chat(second, "label", "c")
    assert headers["X-Version"] == "heron:1"


async def test_concurrent_first_requests_use_the_same_version(demo):
    """Different declarations would make each instance choose another version."""
    first, second = demo.instances.values()
    text = first.configuration.text.replace("released", "draining", 1)
    second.configuration.offer(first.configuration.revision + 1, text, 0.0)
    requests = [
        demo.chat(instance, "label", "a", **{"X-Session": f"race-{number}"})
        for number in range(10)
        for instance in (first, second)
    ]
    answers = await asyncio.gather(*requests)
    versions = [headers["X-Version"] for _, _, headers in answers]
    assert versions[::2] == versions[1::2]


async def test_unknown_id_is_refused_as_not_run_while_the_store_is_out(demo):
    first, second = demo.instances.values()
    await demo.chat(first, "label", "a", **SESSION_HEADERS)
    demo.keyvalue.outage = True
    runs = sum(len(engine.log) for engine in demo.engines.values())
    status, content, headers = await demo.chat(second, "label", "b", **SESSION_HEADERS)
    assert (status, read_error(content)["code"]) == (503, "session_unconfirmed")
    assert read_error(content)["run_state"] == "not_run"
    assert int(headers["Retry-After"]) >= 1
    assert sum(len(engine.log) for engine in demo.engines.values()) == runs
    assert (await demo.chat(first, "label", "b", **SESSION_HEADERS))[0] == 200


async def test_pin_whose_answer_is_lost_holds(demo):
    first, second = demo.instances.values()
    demo.keyvalue.lose_answers = 1
    _, _, headers = await demo.chat(first, "label", "a", **SESSION_HEADERS)
    assert headers["X-Session"] == "deed-book-7"
    _, _, again = await demo.chat(second, "label", "b", **SESSION_HEADERS)
    assert headers["X-Version"] == again["X-Version"]


async def test_id_of_another_class_is_refused(demo):
    first, second = demo.instances.values()
    await demo.chat(first, "label", "a", **SESSION_HEADERS)
    status, content, _ = await demo.chat(second, "plan", "a", **SESSION_HEADERS)
    assert (status, read_error(content)["code"]) == (400, "session_invalid")
