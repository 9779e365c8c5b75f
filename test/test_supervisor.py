"""Controllers that fail are started again, counted and logged; the others run on."""

import asyncio

import pytest
from structlog.testing import capture_logs

from tanagerwalk import supervisor as supervisor_module
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.logs import configure_logs
from tanagerwalk.supervisor import Supervisor

ERRORS = (ValueError, MemoryError, RecursionError, asyncio.CancelledError)
NO_END = None


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(supervisor_module, "FIRST_PAUSE_S", 0.01)
    monkeypatch.setattr(supervisor_module, "MAX_PAUSE_S", 0.02)


class Controller:
    """A controller that ends as told, run after run, and then runs on."""

    def __init__(self, *ends):
        self._ends = list(ends)
        self.runs = 0

    async def run(self):
        self.runs += 1
        await asyncio.sleep(0)
        if not self._ends:
            await asyncio.Event().wait()
        end = self._ends.pop(0)
        if end is not NO_END:
            raise end("broken")


CASES = [
    *(("fails", [error], False, 2, 1) for error in ERRORS),
    *(("fails often", [error] * 5, False, 6, 5) for error in ERRORS),
    ("ends by itself", [NO_END], False, 2, 1),
    ("ends during a planned stop", [NO_END], True, 1, 0),
    ("fails during a planned stop", [ValueError], True, 2, 1),
    ("fails, then ends, in a planned stop", [ValueError, NO_END], True, 2, 1),
]


@pytest.mark.parametrize(("name", "ends", "stopping", "runs", "failures"), CASES)
async def test_controller_that_ends_unexpectedly_is_started_again(
    name, ends, stopping, runs, failures
):
    """Guards against a process that ends because one of its controllers did."""
    supervisor = Supervisor()
    if stopping:
        supervisor.begin_shutdown()
    broken, sound = Controller(*ends), Controller()
    supervisor.run("sound", sound.run)
    supervisor.run("broken", broken.run)
    assert await poll_until(lambda: broken.runs == runs, 0.005, 2.0)
    await asyncio.sleep(0.1)
    assert (broken.runs, sound.runs) == (runs, 1)
    assert dict(supervisor.defects.counts) == ({"broken": failures} if failures else {})
    await supervisor.close()


async def test_failure_is_logged_with_its_trace():
    """Guards against a defect that leaves no trace."""
    configure_logs("debug")
    supervisor = Supervisor()
    with capture_logs() as lines:
        supervisor.run("broken", Controller(ValueError).run)
        assert await poll_until(lambda: supervisor.defects.counts, 0.005, 2.0)
    (line,) = [each for each in lines if each["event"] == "controller failed"]
    assert (line["log_level"], line["place"]) == ("critical", "broken")
    assert isinstance(line["exc_info"], ValueError)
    await supervisor.close()


async def test_pause_before_a_restart_grows_up_to_a_bound(monkeypatch):
    """Guards against a controller that fails at once and keeps the process busy."""
    monkeypatch.setattr(supervisor_module, "FIRST_PAUSE_S", 0.02)
    monkeypatch.setattr(supervisor_module, "MAX_PAUSE_S", 0.1)
    supervisor = Supervisor()
    broken = Controller(*[ValueError] * 100)
    supervisor.run("broken", broken.run)
    await asyncio.sleep(0.7)
    # 0.02, 0.04 and 0.08 s, then 0.1 s each, all with their jitter.
    assert 6 <= broken.runs <= 12
    await supervisor.close()


async def test_log_line_without_memory_leaves_the_controller_running(monkeypatch):
    """Guards against an exception of the log in the place of the one it tells of."""

    def fail(*_arguments, **_fields):
        raise MemoryError

    monkeypatch.setattr("tanagerwalk.defects.log.critical", fail, raising=False)
    supervisor = Supervisor()
    broken = Controller(MemoryError)
    supervisor.run("broken", broken.run)
    assert await poll_until(lambda: broken.runs == 2, 0.005, 2.0)
    await supervisor.close()


async def test_close_ends_each_controller():
    """Guards against a controller that is started again after the end."""

    async def end_when_cancelled():
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return

    supervisor = Supervisor()
    supervisor.run("ends", end_when_cancelled)
    supervisor.run("waits", Controller().run)
    supervisor.run("pauses", Controller(*[ValueError] * 100).run)
    await asyncio.sleep(0.05)
    async with asyncio.timeout(1.0):
        await supervisor.close()
    assert set(supervisor.defects.counts) == {"pauses"}


async def test_released_lease_is_not_a_failure(demo):
    """The lease controller returns before the shutdown is complete."""
    first, _ = demo.instances.values()
    first.supervisor.begin_shutdown()
    await first.leases.release()
    await asyncio.sleep(1.0)
    assert not first.supervisor.defects.counts


async def test_exception_in_an_order_is_a_failure_once(demo):
    """Guards against an exception that is kept, and fails each start after it."""
    first, _ = demo.instances.values()

    async def fail():
        raise ValueError("broken")

    first.order_controller._send_tasks.start(fail())
    counts = first.supervisor.defects.counts
    await demo.wait_until(lambda: counts["orders"] == 1)
    await asyncio.sleep(3.0 * first.settings.orders.interval)
    assert dict(counts) == {"orders": 1}
