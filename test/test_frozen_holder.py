"""A frozen holder of the lease, as separate processes."""

import asyncio
import signal

import pytest
from controllers.test_order_controller import count_copies, format_declaration
from test_processes import ProcessWorld

from tanagerwalk.standins.engine import WeightStore


async def read_orders(world, process):
    url = f"http://127.0.0.1:{process.ports['admin_port']}/status"
    async with world.http.get(url) as response:
        return (await response.json())["orders"]


async def find_holder(world):
    while True:
        for process in world.processes.values():
            if (await read_orders(world, process))["may_order"]:
                return process
        await asyncio.sleep(0.05)


def list_instance(world, process):
    world.platform.add(
        f"127.0.0.1:{process.ports['peers_port']}",
        id=process.ports["instance"],
        role="entry",
        region="r1",
        failure_domain="r1-a",
        incarnation=process.ports["incarnation"],
        state="live",
    )


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_rollout_outlives_a_frozen_holder(tmp_path, checks_fencing):
    """The holder is stopped in mid-order and goes on when another one has ended it."""
    weights = WeightStore(concurrency=1, load_time=0.3)
    async with ProcessWorld(tmp_path) as world:
        for number in range(3):
            await world.add_engine(
                f"engine-{number}",
                ["a"],
                slots=3,
                checks_fencing=checks_fencing,
                store=weights,
            )
        await world.apply(format_declaration(a="released"))
        processes = [await world.serve(name) for name in ("entry-1", "entry-2")]
        for process in processes:
            list_instance(world, process)
        try:
            holder = await find_holder(world)
            first = (await read_orders(world, holder))["token"]
            await world.apply(format_declaration(a="released", b="released"))
            await world.wait_until(lambda: weights.running == 1)
            holder.send(signal.SIGSTOP)
            await world.apply(
                format_declaration(a="withdrawn", b="released", c="released")
            )
            await world.wait_until(lambda: count_copies(world, "c") == 2)
            await world.wait_until(lambda: count_copies(world, "a") == 0)
            holder.send(signal.SIGCONT)
            other = await find_holder(world)
            assert other is not holder
            assert (await read_orders(world, other))["token"] > first
            await world.wait_until(lambda: count_copies(world, "b") == 2)
            await asyncio.sleep(1.0)
            copies = [count_copies(world, name) for name in "abc"]
            assert copies == [0, 2, 2]
        finally:
            for process in processes:
                await process.end(signal.SIGKILL)
    if not checks_fencing:
        return
    for engine in world.engines.values():
        tokens = [order.token for order in engine.orders]
        assert tokens == sorted(tokens)
