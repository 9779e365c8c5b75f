"""Orders of complete instances during failures of lease holder, store and engines."""

import asyncio

import pytest

from tanagerwalk.decisions.leases import LeasePhase
from tanagerwalk.standins.engine import LOAD_PATH, WeightStore

pytestmark = pytest.mark.serial

VERSION = """
[version {name}]
state = {state}
cost = 0.01
exposure = 5
"""
DECLARATION = """
[class label]
lateness = 2 s
[account desk]
key_sha256 = fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28
classes = label
versions = {names}
"""


def format_declaration(**states):
    text = DECLARATION.format(names=" ".join(states))
    return text + "".join(VERSION.format(name=n, state=s) for n, s in states.items())


def count_copies(world, name):
    return sum(name in engine.versions for engine in world.engines.values())


def find_lease_holder(world):
    for name, instance in world.instances.items():
        if instance.leases.lease.phase is LeasePhase.HELD:
            return name
    return None


async def start_world(world, versions=("a",), engines=3, **orders):
    for number in range(engines):
        await world.add_engine(f"engine-{number}", versions, slots=3, **orders)
    await world.apply(format_declaration(a="released"))
    for number in range(2):
        await world.add_instance(f"entry-{number}", seed=number)
    await world.wait_until(lambda: find_lease_holder(world))
    return find_lease_holder(world)


async def kill_instance(world, name):
    """Stop an instance as a kill would: it releases and hands off nothing."""
    await world.instances.pop(name).close()


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_rollout_goes_on_after_its_holder_is_killed(world, checks_fencing):
    store = WeightStore(concurrency=1, load_time=0.2)
    holder = await start_world(world, checks_fencing=checks_fencing, store=store)
    await world.apply(format_declaration(a="released", b="released"))
    await world.wait_until(lambda: count_copies(world, "b") == 1)
    await kill_instance(world, holder)
    await world.wait_until(lambda: count_copies(world, "b") == 2)
    assert count_copies(world, "a") == 3
    tokens = {
        order.token for engine in world.engines.values() for order in engine.orders
    }
    assert len(tokens) == 2


async def test_candidate_gets_one_copy_and_withdrawn_versions_none(world):
    await start_world(world, checks_fencing=True)
    await world.apply(format_declaration(a="withdrawn", b="candidate", c="released"))
    await world.wait_until(lambda: count_copies(world, "c") == 2)
    await world.wait_until(lambda: count_copies(world, "a") == 0)
    await world.wait_until(lambda: count_copies(world, "b") == 1)


async def test_withdrawn_version_stays_loaded_while_its_answers_end(world):
    ordering = world.instances[
        await start_world(world, checks_fencing=True)
    ].order_controller
    ordering.unload_delay = 3600.0
    await world.apply(format_declaration(a="withdrawn", b="released"))
    await world.wait_until(lambda: count_copies(world, "b") == 2)
    assert count_copies(world, "a") == 3
    ordering.unload_delay = 0.0
    await world.wait_until(lambda: count_copies(world, "a") == 0)


async def test_frozen_holder_does_no_lasting_harm(world):
    """A late order of a frozen holder loads a version that the next holder unloads."""
    holder = await start_world(world)
    frozen = world.instances[holder]
    record = frozen.table.servers["engine-0"].record
    token = frozen.leases.lease.token
    await frozen.supervisor.close()
    await world.apply(format_declaration(a="withdrawn", b="released"))
    await world.wait_until(lambda: count_copies(world, "b") == 2)
    await world.wait_until(lambda: count_copies(world, "a") == 0)
    assert not frozen.leases.may_order(record.checks_fencing)
    url = f"http://{record.address}{LOAD_PATH}"
    headers = {"X-Fencing-Token": str(token)}
    body = {"lora_name": "a", "lora_path": "weights/a"}
    async with world.http.post(url, json=body, headers=headers) as response:
        assert response.status == 200
    await world.wait_until(lambda: count_copies(world, "a") == 0)


async def test_store_outage_stops_orders_and_not_what_runs(world):
    holder = await start_world(world, checks_fencing=True)
    leases = world.instances[holder].leases
    world.keyvalue.outage = True
    await world.wait_until(lambda: not leases.may_order(checks_fencing=True))
    world.engines["engine-0"].restart()
    status, _, _ = await world.chat(world.instances[holder], "label", "x")
    assert status == 200
    assert count_copies(world, "a") == 2
    world.keyvalue.outage = False
    await world.apply(format_declaration(a="released", b="released"))
    await world.wait_until(lambda: count_copies(world, "b") == 2)


async def test_engines_that_lost_everything_are_filled_again(world):
    await start_world(world, checks_fencing=True)
    for engine in world.engines.values():
        engine.restart()
    await world.wait_until(lambda: count_copies(world, "a") >= 2)


async def test_lost_answer_of_an_order_is_not_a_second_copy(world):
    await start_world(world, checks_fencing=True)
    for engine in world.engines.values():
        engine.lose_orders = 1
    await world.apply(format_declaration(a="released", b="released"))
    await world.wait_until(lambda: count_copies(world, "b") == 2)
    await asyncio.sleep(0.5)
    assert count_copies(world, "b") == 2


async def test_weight_store_is_asked_for_no_more_than_its_rate(world):
    store = WeightStore(concurrency=2, load_time=0.1)
    await start_world(world, checks_fencing=True, engines=4, store=store)
    await world.apply(format_declaration(a="released", b="released", c="released"))
    await world.wait_until(lambda: count_copies(world, "c") == 2)
    await world.wait_until(lambda: count_copies(world, "b") == 2)
    assert (store.peak_running, store.loads) == (2, 4)


async def test_planned_stop_hands_the_lease_over_at_once(world):
    holder = await start_world(world, checks_fencing=True)
    instance = world.instances.pop(holder)
    await instance.stop()
    (other,) = world.instances.values()
    key = other.leases.lease.key
    entry = (await other.store.get(key)).ok
    assert entry is None or other.incarnation in entry.value.decode()
