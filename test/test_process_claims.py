"""An instance that is paused while it holds a claim."""

import asyncio
import json
import signal

import pytest
from test_process_bills import BillWorld

KEY = {"Idempotency-Key": "slot-1"}
PATH = "/v1/classes/booking"


@pytest.mark.parametrize("listed", [True, False])
async def test_paused_holder_runs_its_booking_once(tmp_path, listed):
    """The holder is stopped after its claim was written and before it has sent."""
    async with BillWorld(tmp_path) as world:
        service = await world.add_service("booking-1", "booking")
        await world.add_engine("engine-1", ["wren:1"])
        await world.apply()
        first = await world.serve_listed("entry-1", "r1-a")
        second = await world.serve_listed("entry-2", "r1-b")
        for process in (first, second):
            await world.send_until_ready(process)
        world.keyvalue.hold_answers = 0.5
        writes = world.keyvalue.writes
        request = asyncio.create_task(world.send(first, PATH, {"slot": 1}, **KEY))
        await world.wait_until(lambda: world.keyvalue.writes > writes)
        first.send(signal.SIGSTOP)
        world.keyvalue.hold_answers = 0.0
        if not listed:
            world.unlist("entry-1")
            await asyncio.sleep(0.3)
        for _ in range(3):
            status, content, _ = await world.send(second, PATH, {"slot": 1}, **KEY)
            assert status == 409
            error = json.loads(content)["error"]
            # The claim is young: that its holder is not listed proves nothing.
            assert (error["code"], error["run_state"]) == ("claim_running", "unknown")
        assert service.runs == []
        first.send(signal.SIGCONT)
        status, content, _ = await request
        assert status == 200
        await asyncio.sleep(0.3)
        assert (await world.send(second, PATH, {"slot": 1}, **KEY))[1] == content
        assert service.runs == ["slot-1"]
        for process in (first, second):
            await process.end(signal.SIGKILL)
