"""Clients of the probe listeners that don't read."""

import asyncio
import time

from gateway.test_memory_limit import run_process

from tanagerwalk.platform.settings import METRICS_PORT


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
