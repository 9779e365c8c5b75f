"""Complete roll-outs against stand-in servers, with two gateway instances."""

import asyncio
import dataclasses
import json

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.relays import Scope
from tanagerwalk.decisions.server_usage import ServerUsage
from tanagerwalk.decisions.tallies import Tally
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

pytestmark = pytest.mark.serial

ORDER = {"service": "desk", "target": "v2", "duration_s": 7}


@pytest_asyncio.fixture
async def world():
    async with GatewayCluster() as built:
        await built.build(drafts=0, instances=2)
        yield built


def read_state(world):
    data = world.store.read("status/rollout/desk")
    return None if data is None else json.loads(data)["state"]


async def send_until(world, condition, limit):
    """Send requests to both instances in turn until a condition holds."""
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


async def test_good_release_completes_and_gets_all_requests(world):
    new = await world.add_server("desk-new", "desk", "v2")
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    assert await poll_until(lambda: read_state(world) == "running", 0.02, 5.0)
    await send_until(world, lambda: read_state(world) == "complete", 20.0)
    before = len(new.requests)
    for _ in range(10):
        await world.send(world.encode("GET", "/jobs/1"))
    assert len(new.requests) == before + 10


async def test_bad_release_is_rolled_back_and_gets_no_more_requests(world):
    new = await world.add_server("desk-new", "desk", "v2")
    new.behaviour = Behaviour("error")
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    sent = await send_until(world, lambda: read_state(world) == "rolled_back", 20.0)
    await asyncio.sleep(1.2)
    seen = len(new.requests)
    assert seen <= 0.15 * sent + 30
    for number in range(20):
        await world.send(world.encode("GET", f"/jobs/{number}"))
    assert len(new.requests) == seen


async def test_roll_out_continues_after_all_instances_are_replaced(world):
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
async def test_roll_out_completes_after_lost_write_responses(world, lost):
    await world.add_server("desk-new", "desk", "v2")
    world.store.lost_writes = lost
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    await send_until(world, lambda: read_state(world) == "complete", 20.0)


async def test_running_request_stays_on_its_release_when_an_order_arrives(world):
    """A retried request must not move to a release registered after it started.

    The order and the server of the new release arrive between two attempts.
    """
    for server in world.servers.values():
        server.behaviour = Behaviour("error", 1, delay=0.0)
        server.behaviour.times = 1
    instance = world.instances[0]
    request = world.encode("GET", "/jobs/1")
    choose = instance.servers.choose
    filters = []

    def choose_after_order(service, now, tried=frozenset(), is_allowed=None, **others):
        if filters:
            known = next(iter(instance.servers.list_usages("desk"))).server
            late = dataclasses.replace(known, id="late", release="v2", slots=1000)
            instance.servers._usages["late"] = ServerUsage(late)
        filters.append(is_allowed)
        return choose(service, now, tried, is_allowed, **others)

    instance.servers.choose = choose_after_order
    await world.send(request)
    assert len(filters) >= 2
    assert not filters[0](instance.servers.find("late").server)


async def test_tallies_of_earlier_orders_are_deleted(world):
    """Tallies of earlier orders must not accumulate until the process ends."""
    rollouts = world.instances[0].rollouts
    for service in ("desk", "drafts"):
        rollouts.record_peer_tally(
            (service, 1), Scope.INSTANCE, "a-1", "other", Tally()
        )
    await world.store.put("op/rollout/desk", json.dumps(ORDER).encode())
    assert await poll_until(lambda: read_state(world) == "running", 0.02, 5.0)
    assert ("desk", 1) not in rollouts._tallies
    assert ("drafts", 1) in rollouts._tallies
