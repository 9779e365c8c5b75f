"""End-to-end tests under load and with faults, against stand-ins."""

import asyncio
import json

import pytest

from tanagerwalk.decisions.facts import Topic
from tanagerwalk.standins.entry_cluster import build_demo

ENGINES = 5
INSTANCES = 9
HEDGING = ("lateness = 500 ms", "lateness = 500 ms\nhedge = yes")


def read_code(content):
    return json.loads(content)["error"]["code"]


def exchange_blame(world):
    """Copy blame facts between all instances, as the peer exchange does."""
    for instance in world.instances.values():
        for other in world.instances.values():
            for fact in instance.facts.list_facts(Topic.BLAME):
                other.facts.merge(fact)


def count_crashes(world):
    return sum(engine.crashed for engine in world.engines.values())


def read_counter(instance, name, **labels):
    value = instance.metrics.registry.get_sample_value(
        f"tanagerwalk_{name}_total", labels
    )
    return value or 0.0


@pytest.fixture
async def fleet(world):
    for number in range(3, ENGINES + 1):
        await world.add_engine(f"engine-{number}", ["wren:1", "heron:1"])
    await build_demo(world, INSTANCES)
    return world


async def test_poison_crashes_two_servers_however_often_it_is_sent(fleet):
    first, *others = fleet.instances.values()
    status, content, headers = await fleet.chat(first, "label", "poison")
    assert (status, read_code(content)) == (422, "quarantined")
    assert "Retry-After" not in headers
    assert count_crashes(fleet) == 2
    exchange_blame(fleet)
    for instance in others:
        status, content, _ = await fleet.chat(instance, "label", "poison")
        error = json.loads(content)["error"]
        assert (error["code"], error["run_state"]) == ("quarantined", "not_run")
    assert count_crashes(fleet) == 2
    status, _, _ = await fleet.chat(first, "label", "spine")
    assert status == 200


async def test_poison_resent_at_once_to_other_instances_crashes_no_third_server(fleet):
    """Guards against blame that reaches peers only after the caller has its answer.

    The test copies no facts itself, so the peer exchange must spread the blame before
    the caller resends the request to the next instance.
    """
    instances = list(fleet.instances.values())
    await fleet.wait_until(lambda: all(len(i.membership.peers) > 8 for i in instances))
    for instance in instances:
        _, content, _ = await fleet.chat(instance, "label", "poison")
        assert read_code(content) == "quarantined"
    assert count_crashes(fleet) == 2


# Guards against a message that requests share, on which each engine crashes: each new
# request with it would lose two more.
async def test_message_that_crashes_engines_is_refused_in_every_request(fleet):
    instances = list(fleet.instances.values())
    await fleet.wait_until(lambda: all(len(i.membership.peers) > 8 for i in instances))
    for number, instance in enumerate(instances):
        await fleet.chat(instance, "label", "system", f"sound {number}")
        await fleet.chat(instance, "label", "system", "poison", f"spine {number}")
        exchange_blame(fleet)
    assert count_crashes(fleet) == 2
    for number, instance in enumerate(instances):
        texts = ["system", "poison", f"again {number}"]
        _, content, _ = await fleet.chat(instance, "label", *texts)
        assert json.loads(content)["error"]["run_state"] == "not_run"
        status, _, _ = await fleet.chat(instance, "label", "system", f"new {number}")
        assert status == 200


async def test_other_requests_on_a_crashed_server_are_answered_and_cleared(fleet):
    first, *_ = fleet.instances.values()
    for engine in fleet.engines.values():
        engine.token_delay = 0.05
    others = [
        asyncio.create_task(fleet.chat(first, "plan", f"book {number}"))
        for number in range(10)
    ]
    await fleet.wait_until(
        lambda: all(engine.running for engine in fleet.engines.values())
    )
    _, content, _ = await fleet.chat(first, "plan", "poison")
    assert read_code(content) == "quarantined"
    assert count_crashes(fleet) == 2
    assert all(status == 200 for status, _, _ in await asyncio.gather(*others))
    assert len(first.quarantine) == 1
    assert read_counter(first, "blames", kind="blamed") > 2


async def test_cut_stream_of_a_live_server_is_not_counted_as_a_crash(demo):
    first, _ = demo.instances.values()
    for engine in demo.engines.values():
        engine.cut_after = 1
        engine.cuts = 1
    status, _, _ = await demo.chat(first, "label", "spine")
    assert status == 200
    assert len(first.quarantine) == 0
    assert read_counter(first, "blames", kind="unconfirmed") >= 1


async def test_short_request_is_not_delayed_by_many_long_ones(demo):
    first, _ = demo.instances.values()
    for engine in demo.engines.values():
        engine.token_delay = 0.05
    plans = [
        asyncio.create_task(demo.chat(first, "plan", f"book {number}"))
        for number in range(60)
    ]
    await demo.wait_until(lambda: demo.engines["engine-1"].running >= 2)
    status, _, _ = await demo.chat(first, "label", "spine")
    assert status == 200
    assert not all(plan.done() for plan in plans)
    assert all(status == 200 for status, _, _ in await asyncio.gather(*plans))
    servers = first.table.servers.values()
    assert [server.in_flight for server in servers] == [0] * len(servers)


async def test_refusal_by_all_servers_fails_fast_with_retry_after(demo):
    first, _ = demo.instances.values()
    for engine in demo.engines.values():
        engine.refuse = True
    status, content, headers = await demo.chat(first, "label", "spine")
    assert status >= 500
    assert int(headers["Retry-After"]) >= 1
    assert sum(len(engine.log) for engine in demo.engines.values()) <= 4


async def build_hedging(world):
    await world.add_service("booking-2", "booking")
    await build_demo(world, 1)
    [instance] = world.instances.values()
    text = instance.configuration.text.replace(*HEDGING)
    revision = await world.apply(text)
    await world.wait_until(lambda: instance.configuration.revision == revision)
    for _ in range(20):
        await world.call(instance, "status", {})
    return instance


async def test_late_lookup_is_hedged_and_the_slower_call_cancelled(world):
    instance = await build_hedging(world)
    slow = world.services["booking-1"]
    slow.delay = 0.4
    while not read_counter(instance, "hedges", outcome="won"):
        status, _, _ = await world.call(instance, "status", {})
        assert status == 200
    servers = instance.table.servers.values()
    assert [server.in_flight for server in servers] == [0] * len(servers)


async def test_booking_is_never_hedged(world):
    instance = await build_hedging(world)
    for service in world.services.values():
        service.delay = 0.3
    before = sum(len(service.runs) for service in world.services.values())
    key = {"Idempotency-Key": "slot-1"}
    status, _, _ = await world.call(instance, "booking", {}, **key)
    assert status == 200
    assert sum(len(service.runs) for service in world.services.values()) == before + 1
