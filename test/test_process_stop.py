"""Planned stops of whole processes, under load and with the store out."""

import asyncio
import signal

import pytest
from test_process_bills import BillWorld
from test_processes import ask

from tanagerwalk.clients.keyvalue import KeyValueClient

STREAMS = 6
BOOKINGS = 4


async def start_world(world, extra=""):
    await world.add_engine("engine-1", ["wren:1", "heron:1"], capacity=3)
    await world.add_service("booking-1", "booking")
    await world.apply()
    await world.serve_listed("entry-1", "r1-a")
    await world.serve_listed("entry-2", "r1-b")
    for process in world.processes.values():
        await world.send_until_ready(process)
    # Each of the two has read the list that names the other.
    await asyncio.sleep(0.3)
    return world.processes["entry-1"]


def start_load(world, process):
    """Start more streams than the engine runs at once, and bookings."""
    world.engines["engine-1"].token_delay = 0.02
    world.services["booking-1"].delay = 0.5
    streams = [
        world.send(
            process,
            "/v1/chat/completions",
            ask("plan", stream=True, max_tokens=20),
            **{"X-Request-Id": f"plan-{number}"},
        )
        for number in range(STREAMS)
    ]
    bookings = [
        world.send(
            process,
            "/v1/classes/booking",
            {"slot": number},
            **{"Idempotency-Key": f"slot-{number}"},
        )
        for number in range(BOOKINGS)
    ]
    return [asyncio.create_task(each) for each in (*streams, *bookings)]


async def wait_for_load(world):
    service = world.services["booking-1"]
    engine = world.engines["engine-1"]
    await world.wait_until(lambda: len(service.runs) == BOOKINGS and engine.running)


def check_whole(answers):
    for status, content, _ in answers[:STREAMS]:
        assert status == 200
        assert content.endswith(b"data: [DONE]\n\n")
    assert [status for status, _, _ in answers[STREAMS:]] == [200] * BOOKINGS


@pytest.mark.parametrize("signals", [1, 2])
async def test_stop_under_load_cuts_nothing(tmp_path, signals):
    async with BillWorld(tmp_path) as world:
        process = await start_world(world)
        tasks = start_load(world, process)
        await wait_for_load(world)
        for _ in range(signals):
            process.send(signal.SIGTERM)
            await asyncio.sleep(0.05)
        check_whole(await asyncio.gather(*tasks))
        assert await process.process.wait() == 0
        names = sorted(bill.request_id for bill in await world.read_stored())
        assert names == [
            *(f"plan-{number}" for number in range(STREAMS)),
            *(f"slot-{number}" for number in range(BOOKINGS)),
        ]
        store = KeyValueClient(world.http, f"http://{world.keyvalue.address}", 1.0)
        claims = (await store.list("tanagerwalk/claims/")).ok
        assert len(claims) == BOOKINGS
        assert all(b'"state":"finished"' in entry.value for entry in claims)
        await world.processes["entry-2"].end(signal.SIGKILL)


async def test_stop_while_the_store_is_out_leaves_the_bills_with_a_peer(tmp_path):
    async with BillWorld(tmp_path) as world:
        world.drain_limit = 4
        process = await start_world(world)
        tasks = start_load(world, process)
        await wait_for_load(world)
        world.keyvalue.outage = True
        process.send(signal.SIGTERM)
        check_whole(await asyncio.gather(*tasks))
        assert await process.process.wait() == 0
        world.keyvalue.outage = False
        world.unlist("entry-1")
        for _ in range(200):
            stored = await world.read_stored()
            if len(stored) == STREAMS + BOOKINGS:
                break
            await asyncio.sleep(0.1)
        assert len(stored) == STREAMS + BOOKINGS
        assert len(world.services["booking-1"].runs) == BOOKINGS
        status, content, _ = await world.send(
            world.processes["entry-2"],
            "/v1/classes/booking",
            {"slot": 0},
            **{"Idempotency-Key": "slot-0"},
        )
        assert status == 409
        assert b'"run_state":"unknown"' in content
        await world.processes["entry-2"].end(signal.SIGKILL)
