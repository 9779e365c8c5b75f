"""Measures the cost of logging in the gateway: `python -m bench.gateway_logs`.

This is the CPU time of the log line written at the end of a request, and of whole
lookups and streams through one instance with logging on and off. The stand-ins run in
the same process, so only the difference between on and off is due to logging.
"""

import asyncio
import os
import statistics
import time

import structlog

from tanagerwalk.gateway import execution
from tanagerwalk.logs import configure_logs
from tanagerwalk.logsink import LogSink
from tanagerwalk.standins.gateway_cluster import GatewayCluster

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
    """A sink without a rate limit, so that every line is written."""

    def _spend_budget(self, size):
        return True


def measure_line():
    """Return CPU microseconds per `request` log line."""
    log = structlog.get_logger(__name__)
    started = time.process_time()
    for _ in range(LINES):
        log.info("request", **REQUEST_LINE)
    return (time.process_time() - started) / LINES * 1e6


async def measure_requests(encode):
    """Return CPU microseconds per request, including the stand-ins."""
    async with GatewayCluster() as world:
        await world.build()
        await world.send(encode(world))
        started = time.process_time()
        for _ in range(REQUESTS):
            await world.send(encode(world))
        return (time.process_time() - started) / REQUESTS * 1e6


def encode_lookup(world):
    """Return an encoded lookup request."""
    return world.encode("GET", "/jobs/1")


def encode_plan(world):
    """Return an encoded request for a streamed answer."""
    return world.encode_plan()


def configure(sink, level):
    """Send gateway log lines of at least `level` to `sink`."""
    configure_logs(level, sink=sink)
    # A logger keeps the configuration of its first use, so it is replaced.
    execution.log = structlog.get_logger(execution.__name__)


def main():
    """Print the cost of a line, then of requests with and without logging."""
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
