"""An instance that is paused while it holds a claim."""

import asyncio
import json
import signal

import pytest
from test_process_bills import PeerProcessWorld

KEY_HEADERS = {"Idempotency-Key": "slot-1"}
BOOKING_PATH = "/v1/classes/booking"


@pytest.mark.parametrize("registered", [True, False])
async def test_paused_claim_holder_runs_booking_once(tmp_path, registered):
    """The holder is paused after its claim was written and before it calls the service.

    Until it resumes, resends to another instance must be refused, also when the
    platform no longer lists the holder.
    """
    async with PeerProcessWorld(tmp_path) as world:
        service = await world.add_service("booking-1", "booking")
        await world.add_engine("engine-1", ["wren:1"])
        await world.apply()
        first = await world.start_registered_instance("entry-1", "r1-a")
        second = await world.start_registered_instance("entry-2", "r1-b")
        for process in (first, second):
            await world.wait_until_ready(process)
        world.keyvalue.hold_answers = 0.5
        writes = world.keyvalue.writes
        request = asyncio.create_task(
            world.send_request(first, BOOKING_PATH, {"slot": 1}, **KEY_HEADERS)
        )
        await world.wait_until(lambda: world.keyvalue.writes > writes)
        first.send_signal(signal.SIGSTOP)
        world.keyvalue.hold_answers = 0.0
        if not registered:
            world.unregister_instance("entry-1")
            await asyncio.sleep(0.3)
        for _ in range(3):
            status, content, _ = await world.send_request(
                second, BOOKING_PATH, {"slot": 1}, **KEY_HEADERS
            )
            assert status == 409
            error = json.loads(content)["error"]
            # The claim is recent, so a holder that isn't listed may still be alive.
            assert (error["code"], error["run_state"]) == ("claim_running", "unknown")
        assert service.runs == []
        first.send_signal(signal.SIGCONT)
        status, content, _ = await request
        assert status == 200
        await asyncio.sleep(0.3)
        assert (
            await world.send_request(second, BOOKING_PATH, {"slot": 1}, **KEY_HEADERS)
        )[1] == content
        assert service.runs == ["slot-1"]
        for process in (first, second):
            await process.stop(signal.SIGKILL)
