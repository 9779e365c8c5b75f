"""Measures what logging costs the gateway: `python -m bench.gateway_logs`.

Processor time of the line that a request ends with, and of whole lookups and streams
through one instance with logs on and off. The stand-ins run in the same process, so
that only the difference between the two is the gateway's logging.
"""

import asyncio
import os
import statistics
import time

import structlog

from tanagerwalk.gateway import execution
from tanagerwalk.logs import configure_logs
from tanagerwalk.logsink import LogSink
from tanagerwalk.standins.gateways import GatewayWorld

LINES = 20000
REQUESTS = 400
ROUNDS = 5
ATTEMPT = {
    "server": "i-7f3a91c2",
    "release": "v1",
    "model": "daka510000",
    "outcome": "delivered",
    "detail": "",
    "ms": 1234,
    "first_ms": 210,
    "gap_ms": 18,
    "load": (12, 0, 64),
    "wait_ms": 40,
}
REQUEST_LINE = {
    "id": "9c41d07be2a35f68",
    "route": "portfolio-review",
    "account": "hule930",
    "session": "s-19",
    "manifest": 412,
    "end": "answered",
    "ms": 1450,
    "first_ms": 400,
    "max_gap_ms": 55,
    "prompt": 11992,
    "attempts": [ATTEMPT, ATTEMPT],
}


class UnlimitedLogSink(LogSink):
    """A sink without a budget, so that every line is paid for."""

    def _spend_budget(self, size):
        return True


def measure_line():
    """Return microseconds of processor time for one `request` line."""
    log = structlog.get_logger(__name__)
    started = time.process_time()
    for _ in range(LINES):
        log.info("request", **REQUEST_LINE)
    return (time.process_time() - started) / LINES * 1e6


async def measure_requests(encode):
    """Return microseconds of processor time for one request, stand-ins included."""
    async with GatewayWorld() as world:
        await world.build()
        await world.send(encode(world))
        started = time.process_time()
        for _ in range(REQUESTS):
            await world.send(encode(world))
        return (time.process_time() - started) / REQUESTS * 1e6


def encode_lookup(world):
    """Return the bytes of a lookup."""
    return world.encode("GET", "/jobs/1")


def encode_plan(world):
    """Return the bytes of a request for a stream."""
    return world.encode_plan()


def configure(sink, level):
    """Send the logs of the gateway to a sink, from a level on."""
    configure_logs(level, sink=sink)
    # The logger keeps the configuration that it was first used with.
    execution.log = structlog.get_logger(execution.__name__)


def main():
    """Print a table."""
    sink = UnlimitedLogSink(os.open(os.devnull, os.O_WRONLY))
    configure(sink, "info")
    lines = [measure_line() for _ in range(ROUNDS)]
    print(f"one request line: {statistics.median(lines):.1f} us")
    for name, encode in (("lookup", encode_lookup), ("stream", encode_plan)):
        costs = {"info": [], "critical": []}
        for _ in range(ROUNDS):
            for level, samples in costs.items():
                configure(sink, level)
                samples.append(asyncio.run(measure_requests(encode)))
        on, off = (statistics.median(samples) for samples in costs.values())
        print(f"{name}: {on:.0f} us with logs, {off:.0f} us without")


if __name__ == "__main__":
    main()
