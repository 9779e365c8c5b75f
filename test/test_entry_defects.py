"""An entry instance starts, lives and serves although a controller fails."""

from operator import attrgetter

import pytest

from tanagerwalk import supervisor as supervisor_module
from tanagerwalk.app import EntryInstance
from tanagerwalk.standins.entry_cluster import build_demo

# Name in the supervisor, and where the instance keeps the controller.
CONTROLLERS = {
    "configuration": "configuration_controller",
    "membership": "membership",
    "exchange": "exchange",
    "load": "load",
    "rollouts": "rollouts",
    "evidence": "evidence",
    "billing": "records.billing",
    "holding": "records.holding",
    "halts": "halt_controller",
    "exposure": "exposure_controller",
    "leases": "leases",
    "orders": "order_controller",
    "gate": "gate",
}


def fail_first(run, error, times):
    """Return a coroutine function that raises some times before it runs."""
    left = [error] * times

    async def run_or_fail():
        if left:
            raise left.pop()("broken")
        await run()

    return run_or_fail


@pytest.mark.parametrize("error", [ValueError, MemoryError])
@pytest.mark.parametrize("name", CONTROLLERS)
async def test_instance_serves_although_a_controller_failed(
    world, monkeypatch, name, error
):
    """Guards against a process that ends at each start."""
    monkeypatch.setattr(supervisor_module, "FIRST_PAUSE_S", 0.02)
    wire = EntryInstance._wire_apis

    def wire_and_break(instance):
        wire(instance)
        controller = attrgetter(CONTROLLERS[name])(instance)
        controller.run = fail_first(controller.run, error, 3)

    monkeypatch.setattr(EntryInstance, "_wire_apis", wire_and_break)
    await build_demo(world)
    first, second = world.instances.values()
    for instance in (first, second):
        counts = instance.supervisor.defects.counts
        await world.wait_until(lambda counts=counts: counts[name] == 3)
        await world.wait_until(instance.is_ready)
        status, _, _ = await world.chat(instance, "label", "a")
        assert status == 200
        assert dict(counts) == {name: 3}
