"""An entry process that is paused while it holds the lease for orders."""

import asyncio
import signal

import pytest
from controllers.test_order_controller import count_copies, format_declaration
from test_processes import ProcessWorld

from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.engine import WeightStore

pytestmark = pytest.mark.serial


async def read_order_status(world, process):
    url = f"http://{find_address()}:{process.listening['admin_port']}/status"
    async with world.http.get(url) as response:
        return (await response.json())["orders"]


async def wait_for_lease_holder(world):
    while True:
        for process in world.processes.values():
            if (await read_order_status(world, process))["may_order"]:
                return process
        await asyncio.sleep(0.05)


def register_instance(world, process):
    world.platform.add(
        f"{find_address()}:{process.listening['peers_port']}",
        id=process.listening["instance"],
        role="entry",
        region="r1",
        failure_domain="r1-a",
        incarnation=process.listening["incarnation"],
        state="live",
    )


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_rollout_completes_when_lease_holder_is_paused(tmp_path, checks_fencing):
    """The lease holder is paused during an order and resumes after a takeover.

    Another instance has finished the rollout by then. The former holder must not undo
    it; engines that check fencing tokens never obey an order with an older token.
    """
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
        processes = [
            await world.start_instance(name) for name in ("entry-1", "entry-2")
        ]
        for process in processes:
            register_instance(world, process)
        try:
            holder = await wait_for_lease_holder(world)
            first_token = (await read_order_status(world, holder))["token"]
            # The order must not end before its holder is paused.
            weights.may_finish.clear()
            await world.apply(format_declaration(a="released", b="released"))
            await world.wait_until(lambda: weights.running == 1)
            holder.send_signal(signal.SIGSTOP)
            weights.may_finish.set()
            await world.apply(
                format_declaration(a="withdrawn", b="released", c="released")
            )
            await world.wait_until(lambda: count_copies(world, "c") == 2)
            await world.wait_until(lambda: count_copies(world, "a") == 0)
            holder.send_signal(signal.SIGCONT)
            new_holder = await wait_for_lease_holder(world)
            assert new_holder is not holder
            assert (await read_order_status(world, new_holder))["token"] > first_token
            await world.wait_until(lambda: count_copies(world, "b") == 2)
            await asyncio.sleep(1.0)
            copies = [count_copies(world, name) for name in "abc"]
            assert copies == [0, 2, 2]
        finally:
            for process in processes:
                await process.stop(signal.SIGKILL)
    if not checks_fencing:
        return
    for engine in world.engines.values():
        tokens = [order.token for order in engine.orders]
        assert tokens == sorted(tokens)
