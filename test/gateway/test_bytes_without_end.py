"""Servers that send bytes without end to many clients of one process at once."""

import asyncio
import json

import pytest
from gateway.test_memory_limit import count_runs, encode_head, run_process
from gateway.test_memory_pressure import send_until_served
from odd_servers import SERVER

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import ENDLESS_STARTS, Behaviour

pytestmark = pytest.mark.serial

REQUESTS = 60
ENTRIES = 12000
SEND_TIME_S = 2.0
PLAN_LINES = ["X-Tanagerwalk-Token-Count: 100", "X-Tanagerwalk-Model: *"]
KINDS = {"plans": ("POST", "/plans/1", PLAN_LINES), "jobs": ("GET", "/jobs/1", [])}


async def open_requests(rig, kind):
    method, path, lines = KINDS[kind]
    writers = []
    for number in range(REQUESTS):
        _, writer = await rig.connect()
        writer.transport.pause_reading()
        writer.write(encode_head(f"{kind}-{number}", method, path, *lines))
        writers.append(writer)
    return writers


async def check_beside_endless_answers(rig, kind, fault):
    for server in rig.servers:
        server.behaviour = Behaviour(fault)
    writers = await open_requests(rig, kind)
    assert await poll_until(lambda: len(count_runs(rig)) >= 4, 0.05, 5.0)
    await asyncio.sleep(SEND_TIME_S)
    for server in rig.servers:
        server.behaviour = Behaviour()
    for writer in writers:
        writer.transport.abort()
    assert await send_until_served(rig)


# Guards against a process that keeps what has no end, runs out of memory, and ends with
# the requests of its other clients.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ENDLESS_STARTS)
async def test_endless_answers_of_all_servers_stay_below_the_limit(
    tmp_path, kind, fault
):
    async with run_process(tmp_path) as rig:
        await check_beside_endless_answers(rig, kind, fault)


# Guards against memory that both answers and the entries of other writers take, within
# limits that hold for each of them alone.
@pytest.mark.parametrize("kind", KINDS)
async def test_endless_answers_beside_a_full_copy_of_the_store(tmp_path, kind):
    async with run_process(tmp_path) as rig:
        value = json.dumps(SERVER | {"service": "other"}).encode()
        for number in range(ENTRIES):
            await rig.store.put(f"servers/other-{number}", value)
        await asyncio.sleep(2.0)
        await check_beside_endless_answers(rig, kind, "endless_body")
