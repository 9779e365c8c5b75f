"""Whole roll-outs on stand-ins: good ones complete, bad ones are rolled back."""

import asyncio
import dataclasses
import json

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.release_rollouts import Tally
from tanagerwalk.decisions.uses import ServerUse
from tanagerwalk.standins.backend import Behaviour
from tanagerwalk.standins.gateways import GatewayWorld

ORDER = {"service": "desk", "target": "v2", "duration_s": 7}


@pytest_asyncio.fixture
async def world():
    async with GatewayWorld() as built:
        await built.build(drafts=0, instances=2)
        yield built


def read_state(world):
    data = world.store.read("status/rollout/desk")
    return None if data is None else json.loads(data)["state"]


async def send_until(world, condition, limit):
    """Send lookups to both instances until a condition holds."""
    number = 0

    async def run():
        nonlocal number
        while not condition():
            number += 1
            request = world.encode("GET", f"/jobs/{number}", Session=f"s{number}")
            await world.send(request, world.instances[number % 2])
            await asyncio.sleep(0.005)

    async with asyncio.timeout(limit):
        await run()
    return number


async def test_good_release_takes_over_and_then_completes(world):
    new = await world.add_server("desk-new", "desk", "v2")
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    assert await poll_until(lambda: read_state(world) == "running", 0.02, 5.0)
    await send_until(world, lambda: read_state(world) == "complete", 20.0)
    before = len(new.seen)
    for _ in range(10):
        await world.send(world.encode("GET", "/jobs/1"))
    assert len(new.seen) == before + 10


async def test_bad_release_is_rolled_back_and_gets_nothing_more(world):
    new = await world.add_server("desk-new", "desk", "v2")
    new.behaviour = Behaviour("error")
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    sent = await send_until(world, lambda: read_state(world) == "rolled_back", 20.0)
    await asyncio.sleep(1.2)
    seen = len(new.seen)
    assert seen <= 0.15 * sent + 30
    for number in range(20):
        await world.send(world.encode("GET", f"/jobs/{number}"))
    assert len(new.seen) == seen


async def test_roll_out_goes_on_after_every_instance_was_killed(world):
    await world.add_server("desk-new", "desk", "v2")
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    assert await poll_until(lambda: read_state(world) == "running", 0.02, 5.0)
    for instance in world.instances:
        await instance.close()
    world.instances.clear()
    await world.add_instance("gateway-8")
    await world.add_instance("gateway-9")
    await send_until(world, lambda: read_state(world) == "complete", 20.0)


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_answer_of_a_write_does_no_harm(world, lost):
    await world.add_server("desk-new", "desk", "v2")
    world.store.lost_writes = lost
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    await send_until(world, lambda: read_state(world) == "complete", 20.0)


async def test_request_that_runs_when_the_order_comes_stays_on_its_release(world):
    """Order and new server came together between two attempts at one request."""
    for server in world.servers.values():
        server.behaviour = Behaviour("error", 1, delay=0.0)
        server.behaviour.times = 1
    instance = world.instances[0]
    request = world.encode("GET", "/jobs/1")
    choose = instance.servers.choose
    asked = []

    def choose_late(service, now, tried=frozenset(), is_allowed=None, placement=None):
        if asked:
            new = next(iter(instance.servers.list_uses("desk"))).server
            late = dataclasses.replace(new, id="late", release="v2", slots=1000)
            instance.servers._uses["late"] = ServerUse(late)
        asked.append(is_allowed)
        return choose(service, now, tried, is_allowed, placement)

    instance.servers.choose = choose_late
    await world.send(request)
    assert len(asked) >= 2
    assert not asked[0](instance.servers.find("late").server)


async def test_evidence_on_earlier_orders_is_forgotten(world):
    """It was kept until the process ended."""
    rollouts = world.instances[0].rollouts
    rollouts.take_tally("other", "desk", 1, Tally())
    rollouts.take_tally("other", "drafts", 1, Tally())
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    assert await poll_until(lambda: read_state(world) == "running", 0.02, 5.0)
    assert ("desk", 1) not in rollouts._told
    assert ("drafts", 1) in rollouts._told
