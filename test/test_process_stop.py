"""Graceful stops of processes under load, also during an outage of the store."""

import asyncio
import signal
from importlib import resources

import pytest
from test_process_bills import PeerProcessWorld
from test_processes import build_chat_request

from tanagerwalk.clients.keyvalue import KeyValueClient

pytestmark = pytest.mark.serial

STREAM_COUNT = 6
BOOKING_COUNT = 4


async def start_two_instances(world, declaration=None):
    await world.add_engine("engine-1", ["wren:1", "heron:1"], capacity=3)
    await world.add_service("booking-1", "booking")
    await world.apply(declaration)
    await world.start_registered_instance("entry-1", "r1-a")
    await world.start_registered_instance("entry-2", "r1-b")
    for process in world.processes.values():
        await world.wait_until_ready(process)
    # Both instances have then read an instance list that contains the other one.
    await asyncio.sleep(0.3)
    return world.processes["entry-1"]


def start_load(world, process):
    """Start bookings, and more streams than the engine runs at once."""
    world.engines["engine-1"].token_delay = 0.02
    world.services["booking-1"].delay = 0.5
    streams = [
        world.send_request(
            process,
            "/v1/chat/completions",
            build_chat_request("plan", stream=True, max_tokens=20),
            **{"X-Request-Id": f"plan-{number}"},
        )
        for number in range(STREAM_COUNT)
    ]
    bookings = [
        world.send_request(
            process,
            "/v1/classes/booking",
            {"slot": number},
            **{"Idempotency-Key": f"slot-{number}"},
        )
        for number in range(BOOKING_COUNT)
    ]
    return [asyncio.create_task(request) for request in (*streams, *bookings)]


async def wait_for_load(world):
    service = world.services["booking-1"]
    engine = world.engines["engine-1"]
    await world.wait_until(
        lambda: len(service.runs) == BOOKING_COUNT and engine.running
    )


def assert_all_complete(answers):
    for status, content, _ in answers[:STREAM_COUNT]:
        assert status == 200
        assert content.endswith(b"data: [DONE]\n\n")
    assert [status for status, _, _ in answers[STREAM_COUNT:]] == [200] * BOOKING_COUNT


@pytest.mark.parametrize("signal_count", [1, 2])
async def test_graceful_stop_completes_all_requests(tmp_path, signal_count):
    async with PeerProcessWorld(tmp_path) as world:
        process = await start_two_instances(world)
        tasks = start_load(world, process)
        await wait_for_load(world)
        for _ in range(signal_count):
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
        assert_all_complete(await asyncio.gather(*tasks))
        assert await process.subprocess.wait() == 0
        request_ids = sorted(
            bill.request_id for bill in await world.read_stored_bills()
        )
        assert request_ids == [
            *(f"plan-{number}" for number in range(STREAM_COUNT)),
            *(f"slot-{number}" for number in range(BOOKING_COUNT)),
        ]
        store = KeyValueClient(world.http, f"http://{world.keyvalue.address}", 1.0)
        claims = (await store.list("tanagerwalk/claims/")).ok
        assert len(claims) == BOOKING_COUNT
        assert all(b'"state":"finished"' in entry.value for entry in claims)
        await world.processes["entry-2"].stop(signal.SIGKILL)


async def test_stop_during_store_outage_hands_bills_to_peer(tmp_path):
    async with PeerProcessWorld(tmp_path) as world:
        world.drain_limit = 4
        process = await start_two_instances(world)
        tasks = start_load(world, process)
        await wait_for_load(world)
        world.keyvalue.outage = True
        process.send_signal(signal.SIGTERM)
        assert_all_complete(await asyncio.gather(*tasks))
        assert await process.subprocess.wait() == 0
        world.keyvalue.outage = False
        world.unregister_instance("entry-1")
        for _ in range(200):
            stored = await world.read_stored_bills()
            if len(stored) == STREAM_COUNT + BOOKING_COUNT:
                break
            await asyncio.sleep(0.1)
        assert len(stored) == STREAM_COUNT + BOOKING_COUNT
        assert len(world.services["booking-1"].runs) == BOOKING_COUNT
        status, content, _ = await world.send_request(
            world.processes["entry-2"],
            "/v1/classes/booking",
            {"slot": 0},
            **{"Idempotency-Key": "slot-0"},
        )
        assert status == 409
        assert b'"run_state":"unknown"' in content
        await world.processes["entry-2"].stop(signal.SIGKILL)


async def test_requests_at_end_of_drain_limit_get_final_answer(tmp_path):
    """Guards against requests cut without an answer at the end of a planned stop."""
    async with PeerProcessWorld(tmp_path) as world:
        world.drain_limit = 1
        demo = resources.files("tanagerwalk.standins").joinpath("demo.ini").read_text()
        patient = demo.replace("lateness = ", "patience = 30 s\nlateness = ")
        patient = patient.replace("patience = 60 s\n", "")
        process = await start_two_instances(world, patient)
        world.services["booking-1"].delay = 5.0
        world.engines["engine-1"].token_delay = 0.5
        body = build_chat_request("label", stream=True, max_tokens=40)
        tasks = [
            asyncio.create_task(world.send_request(process, *request))
            for request in (
                ("/v1/chat/completions", body),
                ("/v1/chat/completions", {**body, "stream": False}),
                ("/v1/classes/status", {}),
            )
        ]
        key = {"Idempotency-Key": "slot-1"}
        tasks.append(
            asyncio.create_task(
                world.send_request(process, "/v1/classes/booking", {}, **key)
            )
        )
        await asyncio.sleep(0.8)
        process.send_signal(signal.SIGTERM)
        stream, chat, *calls = await asyncio.gather(*tasks)
        assert stream[0] == 200
        assert b'"refused"' in stream[1]
        assert b"[DONE]" not in stream[1]
        for status, content, _ in (chat, *calls):
            assert status == 504
            assert b'"run_state":"unknown"' in content
        assert await process.subprocess.wait() == 0
        await world.processes["entry-2"].stop(signal.SIGKILL)
