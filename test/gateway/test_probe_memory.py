"""Clients of the probe listeners that don't read."""

import asyncio
import time

import pytest
from gateway.test_memory_limit import run_process

from tanagerwalk.platform.settings import METRICS_PORT

pytestmark = pytest.mark.serial


# Guards against a client of the metrics that pipelines requests and reads no answer:
# each is rendered at once, and the readiness check had no answer for a second.
async def test_pipelined_probes_take_no_memory_and_hold_nothing_up(tmp_path):
    async with run_process(tmp_path) as rig:
        _, writer = await asyncio.open_connection(rig.ip, METRICS_PORT)
        writer.transport.pause_reading()
        for _ in range(4):
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 2500)
        await asyncio.sleep(0.1)
        started_at = time.monotonic()
        is_ready = await rig.is_ready()
        took = time.monotonic() - started_at
        writer.transport.abort()
        assert is_ready
        assert took < 0.5


# Guards against a head that never ends, of which the parser keeps all bytes.
async def test_request_without_an_end_is_broken_off(tmp_path):
    async with run_process(tmp_path) as rig:
        reader, writer = await asyncio.open_connection(rig.ip, METRICS_PORT)
        writer.write(b"GET /metrics HTTP/1.1\r\nX: " + b"x" * 200000)
        async with asyncio.timeout(2.0):
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
        writer.transport.abort()


# Guards against pipelined requests of which only the first is answered.
async def test_pipelined_probes_are_all_answered(tmp_path):
    async with run_process(tmp_path) as rig:
        reader, writer = await asyncio.open_connection(rig.ip, METRICS_PORT)
        request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
        writer.write((request + b"\r\n") * 19 + request + b"Connection: close\r\n\r\n")
        async with asyncio.timeout(5.0):
            pages = await reader.read(-1)
        assert pages.count(b"HTTP/1.1 200 OK") == 20
        writer.close()
