"""A gateway process outlives crowds of clients that keep to no manners.

Each test plays one kind of crowd at one door of a process with lowered limits. It
checks that the process lives within its limits, and that an ordinary request is
answered while the crowd is still connected.
"""

import asyncio
import contextlib
import random
import time

import crowds
import pytest
from gateway.test_memory_limit import encode_head, send_booking
from gateway_process import GatewayProcessRig

from tanagerwalk.platform.settings import METRICS_PORT
from tanagerwalk.standins.behaviours import Behaviour

pytestmark = pytest.mark.serial

MEMORY_LIMIT_MB = 80
# Of which 200 are kept for files.
MAX_FDS = 500
MANIFEST = {
    "limits": {
        "max_header_bytes": crowds.HEADER_BYTES,
        "max_body_bytes": crowds.BODY_BYTES,
        "header_timeout_ms": 1500,
        "idle_timeout_ms": 1000,
    }
}
# How long a crowd sends, and how long an ordinary client repeats a refused request.
CROWD_S = 3.0
RETRY_S = 10.0
# Each path of the clients' listener, or the name of another listener.
DOORS = ["/jobs/1", "/without-route", "ready", "metrics"]


def _encode(path, *lines, method="POST"):
    return encode_head(f"try-{random.random()}", method, path, *lines)


# Each kind of client, and how many of them there are.
CROWDS = {
    crowds.send_whole_body: 200,
    crowds.send_small_pieces: 30,
    crowds.send_tiny_chunks: 40,
    crowds.send_body_over_limit: 60,
    crowds.send_chunks_over_limit: 60,
    crowds.send_short_fields: 200,
    crowds.send_short_query: 200,
    crowds.send_short_parts: 200,
    crowds.send_short_counts: 200,
    crowds.send_long_session: 100,
    crowds.send_ahead: 150,
    crowds.send_slow_head: 400,
    crowds.send_endless_head: 100,
    crowds.stop_in_head: 400,
}


async def send_ordinary_request(rig):
    """Send an ordinary request until it is not refused; return its status."""
    deadline = time.monotonic() + RETRY_S
    status = None
    while status != 200 and time.monotonic() < deadline:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(5.0):
                reply = await send_booking(rig, f"ordinary-{random.random()}", b"slot")
                status = reply.status
        await asyncio.sleep(0.1)
    return status


def _find_address(rig, door):
    if door.startswith("/"):
        return (rig.ip, rig.ports["front"]), door
    port = METRICS_PORT if door == "metrics" else rig.ports["ready"]
    return (rig.ip, port), "/api/ready"


async def check_process(rig, crowd):
    """Check a process while a crowd, a list of tasks, is there; then end the crowd."""
    status = await send_ordinary_request(rig)
    is_ready = await rig.is_ready()
    peak = rig.read_memory_mb("VmHWM")
    descriptors = rig.count_descriptors()
    seen = (
        f"{peak:.0f} MB, {descriptors} descriptors, {status}, ready: {is_ready}, "
        f"{rig.process.returncode}"
    )
    print("SEEN", seen)
    for task in crowd:
        task.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    assert rig.process.returncode is None, seen
    assert peak < MEMORY_LIMIT_MB, seen
    assert descriptors < MAX_FDS, seen
    assert status == 200, seen
    assert is_ready, seen
    assert "Traceback" not in rig.log


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("send", CROWDS, ids=lambda send: send.__name__)
async def test_process_outlives_the_clients(tmp_path, send, door):
    """Clients beyond control ended processes, which ran out of memory."""
    rig = GatewayProcessRig(tmp_path, MEMORY_LIMIT_MB, MAX_FDS, MANIFEST)
    async with rig:
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.3)
        address, path = _find_address(rig, door)
        crowd = [
            asyncio.create_task(crowds.join_crowd(address, send(_encode, path)))
            for _ in range(CROWDS[send])
        ]
        await asyncio.sleep(CROWD_S)
        await check_process(rig, crowd)
