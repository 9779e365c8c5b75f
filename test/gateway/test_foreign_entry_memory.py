"""Memory of a gateway process beside what other writers leave in the store."""

import asyncio
import json

import pytest
from gateway_process import GatewayProcessRig
from odd_servers import SERVER

from tanagerwalk.standins.gateway_cluster import API_KEY, HOST

pytestmark = pytest.mark.serial

MEMORY_LIMIT_MB = 150
# The store's longest value.
VALUE_BYTES = 1024 * 1024
LARGE_ENTRIES = 130
WRITE_PAUSE_S = 0.03
REWRITES = 300
SMALL_ENTRIES = 20000
ANSWER_TIMEOUT_S = 5.0


def build_long_server(**changes):
    fields = SERVER | {"note": "x" * (VALUE_BYTES - 1024)} | changes
    return json.dumps(fields).encode()


UNREADABLE = b"\xff" * VALUE_BYTES
LARGE_KINDS = {
    "servers": ("servers/other-{}", UNREADABLE),
    "unknown state": ("servers/other-{}", build_long_server(state="other")),
    "unknown service": ("servers/other-{}", build_long_server(service="other")),
    "orders": ("op/rollout/other-{}", UNREADABLE),
    "instances": ("tanagerwalk/instance/other.{}", UNREADABLE),
    "roll-outs": ("tanagerwalk/rollout/other-{}", UNREADABLE),
    "prefix that nobody reads": ("other/{}", UNREADABLE),
}


async def check_that_it_serves(rig):
    """Assert that the process lives below its limit and answers a request."""
    assert rig.process.returncode is None
    assert rig.read_memory_mb("VmHWM") < MEMORY_LIMIT_MB
    await rig.wait_until_ready()
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await rig.connect()
        writer.write(
            f"GET /jobs/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            "X-Tanagerwalk-Attempt-Id: try-1\r\nX-Tanagerwalk-Deadline-Ms: 4000\r\n"
            f"X-Tanagerwalk-Key: {API_KEY}\r\n\r\n".encode()
        )
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


async def check_beside_entries(rig):
    """Assert that a running process serves, and one that starts then."""
    await asyncio.sleep(1.0)
    await check_that_it_serves(rig)
    await rig.stop()
    await rig.start()
    await check_that_it_serves(rig)


# Guards against processes that run out of memory, again after each start, because they
# keep the values of all entries that others write.
@pytest.mark.parametrize("kind", LARGE_KINDS)
async def test_large_entries_of_others_take_no_memory(tmp_path, kind):
    key, value = LARGE_KINDS[kind]
    async with GatewayProcessRig(tmp_path, MEMORY_LIMIT_MB) as rig:
        for number in range(LARGE_ENTRIES):
            await rig.store.put(key.format(number), value)
            await asyncio.sleep(WRITE_PAUSE_S)
        await check_beside_entries(rig)


# Guards against keeping each version of a key that is written again and again.
async def test_key_that_is_rewritten_takes_no_memory(tmp_path):
    async with GatewayProcessRig(tmp_path, MEMORY_LIMIT_MB) as rig:
        for _ in range(REWRITES):
            await rig.store.put("servers/other", UNREADABLE)
            await asyncio.sleep(WRITE_PAUSE_S)
        await check_beside_entries(rig)


# Guards against a process that isn't ready, or keeps them all, beside many entries.
@pytest.mark.parametrize(
    "value", [b"x" * 100, json.dumps(SERVER | {"service": "other"}).encode()]
)
async def test_many_small_entries_leave_the_process_ready(tmp_path, value):
    async with GatewayProcessRig(tmp_path, MEMORY_LIMIT_MB) as rig:
        for number in range(SMALL_ENTRIES):
            await rig.store.put(f"servers/other-{number}", value)
        await check_beside_entries(rig)
