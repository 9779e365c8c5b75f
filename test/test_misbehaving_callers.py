"""A process of `serve` outlives crowds of callers that keep to no manners.

As test/gateway/test_misbehaving_clients.py does for the gateway.
"""

import asyncio
import contextlib
import time

import crowds
import pytest
from test_process_limits import BYTES_PER_MB, LimitedProcess
from test_processes import ProcessWorld

from tanagerwalk.standins.addresses import find_address

pytestmark = pytest.mark.serial

MEMORY_MB = 120
DESCRIPTORS = 300
TIMEOUT_S = 2
CROWD_S = 3.0
RETRY_S = 10.0
DOORS = ["/v1/classes/status", "/without-route", "/health/ready", "admin"]
CROWDS = {
    crowds.send_whole_body: 200,
    crowds.send_small_pieces: 30,
    crowds.send_tiny_chunks: 40,
    crowds.send_body_over_limit: 60,
    crowds.send_chunks_over_limit: 60,
    crowds.send_short_fields: 200,
    crowds.send_short_query: 200,
    crowds.send_ahead: 200,
    crowds.send_slow_head: 300,
    crowds.send_endless_head: 100,
    crowds.stop_in_head: 300,
}


def _encode(path, *lines, method="POST"):
    fields = ["Host: x", "Authorization: Bearer desk-key", *lines]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *fields])
    return f"{head}\r\n\r\n".encode()


async def _send_ordinary_request(limited):
    """Send an ordinary request until it is not refused; return its status."""
    deadline = time.monotonic() + RETRY_S
    status = None
    while status != 200 and time.monotonic() < deadline:
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(5.0):
                status, _ = await limited.ask(b"{}") or (None, b"")
        await asyncio.sleep(0.1)
    return status


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("send", CROWDS, ids=lambda send: send.__name__)
async def test_process_outlives_the_crowd(tmp_path, send, door):
    """Callers beyond control ended processes, which ran out of memory."""
    async with ProcessWorld(tmp_path) as world:
        limited = await LimitedProcess.start(
            world,
            memory=MEMORY_MB * BYTES_PER_MB,
            descriptors=DESCRIPTORS,
            request_size=crowds.BODY_BYTES,
            receive_timeout=TIMEOUT_S,
            read_timeout=TIMEOUT_S,
        )
        process = limited.process
        name = "admin_port" if door == "admin" else "callers_port"
        path = "/metrics" if door == "admin" else door
        address = (find_address(), process.listening[name])
        crowd = [
            asyncio.create_task(crowds.join_crowd(address, send(_encode, path)))
            for _ in range(CROWDS[send])
        ]
        await asyncio.sleep(CROWD_S)
        status = await _send_ordinary_request(limited)
        seen = (
            f"{limited.read_peak_mb():.0f} MB, {limited.count_descriptors()} "
            f"descriptors, {status}"
        )
        print(f"SEEN {send.__name__} {door}: {seen}")
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        assert process.subprocess.returncode is None, seen
        assert limited.read_peak_mb() < MEMORY_MB, seen
        assert limited.count_descriptors() < DESCRIPTORS, seen
        assert status == 200, seen
        process.subprocess.kill()
        await process.subprocess.communicate()
