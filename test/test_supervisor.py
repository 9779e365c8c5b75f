"""Which controller exits count as failures."""

import asyncio

import pytest

from tanagerwalk.supervisor import Supervisor


async def end():
    return None


async def fail():
    raise ValueError("broken")


CASES = [
    ("ends by itself", end, False, True),
    ("fails", fail, False, True),
    ("ends during a planned stop", end, True, False),
    ("fails during a planned stop", fail, True, True),
]


@pytest.mark.parametrize(("name", "work", "stopping", "failed"), CASES)
async def test_failed_is_set_when_a_controller_ends_unexpectedly(
    name, work, stopping, failed
):
    supervisor = Supervisor()
    if stopping:
        supervisor.begin_shutdown()
    supervisor.run(work())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert supervisor.failed.is_set() is failed
    await supervisor.close()


async def test_released_lease_is_not_a_failure(demo):
    """The lease controller returns before the shutdown is complete."""
    first, _ = demo.instances.values()
    first.supervisor.begin_shutdown()
    await first.leases.release()
    await asyncio.sleep(1.0)
    assert not first.failed.is_set()


async def test_exception_in_an_order_sets_failed(demo):
    first, _ = demo.instances.values()
    first.order_controller._send_tasks.start(fail())
    await demo.wait_until(first.failed.is_set)
