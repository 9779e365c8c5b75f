"""LogSink never blocks on its reader and bounds its buffer."""

import json
import os
import subprocess
import sys

import pytest

from tanagerwalk.logsink import (
    MAX_BUFFERED_BYTES,
    MAX_BYTES_PER_S,
    MAX_LINES_PER_S,
    LogSink,
)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    parts = []
    while True:
        try:
            data = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            break
        parts.append(data)
    return b"".join(parts)


def test_stalled_reader_does_not_block_writes():
    """Guards against a blocking write to a full pipe, which would stop all requests."""
    reader, writer = os.pipe()
    clock = Clock()
    sink = LogSink(writer, clock)
    line = "x" * 1000
    for _ in range(5000):
        clock.now += 0.1
        sink.msg(line)
    assert sink.dropped > 0
    assert (5000 - sink.dropped) * 1001 <= MAX_BUFFERED_BYTES + (1 << 20)
    os.close(reader)
    os.close(writer)


def test_lines_beyond_the_budget_are_counted_and_reported():
    reader, writer = os.pipe()
    clock = Clock()
    sink = LogSink(writer, clock)
    for _ in range(MAX_LINES_PER_S + 50):
        sink.msg('{"event":"x"}')
    assert sink.dropped == 50
    clock.now += 1.0
    sink.msg('{"event":"y"}')
    lines = [json.loads(line) for line in read_all(reader).splitlines()]
    assert {"event": "log lines dropped", "count": 50} in lines
    assert lines[-1] == {"event": "y"}
    os.close(reader)
    os.close(writer)


def test_line_beyond_the_byte_budget_is_dropped():
    reader, writer = os.pipe()
    sink = LogSink(writer, Clock())
    sink.msg("x" * (MAX_BYTES_PER_S + 1))
    assert sink.dropped == 1
    os.close(reader)
    os.close(writer)


def test_partially_written_line_is_continued():
    reader, writer = os.pipe()
    clock = Clock()
    sink = LogSink(writer, clock)
    lines = [f"{number:05d}" + "x" * 995 for number in range(200)]
    for line in lines:
        clock.now += 0.1
        sink.msg(line)
    got = b""
    for _ in range(10):
        got += read_all(reader)
        sink.flush()
    assert got.decode().splitlines() == lines
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LogSink(writer, Clock())
    sink.msg("x")
    sink.msg("y")
    os.close(writer)


SCRIPT = """
import logging, sys
from tanagerwalk.logs import route_standard_logs
from tanagerwalk.logsink import LogSink
if sys.argv[1:] == ["routed"]:
    route_standard_logs(LogSink(1))
for _ in range(4000):
    logging.getLogger("asyncio").error("task failed " + 90 * "x")
"""


def run_script(timeout, *arguments):
    """Run the script with a standard error that nobody reads."""
    command = [sys.executable, "-c", SCRIPT, *arguments]
    reader, writer = os.pipe()
    try:
        return subprocess.run(
            command, stdout=subprocess.PIPE, stderr=writer, timeout=timeout, check=True
        )
    finally:
        os.close(reader)
        os.close(writer)


def test_logs_of_libraries_wait_for_no_reader():
    """What the event loop logged blocked the process if nobody read standard error."""
    with pytest.raises(subprocess.TimeoutExpired):
        run_script(2.0)
    lines = run_script(20.0, "routed").stdout.splitlines()
    assert "task failed" in json.loads(lines[0])["message"]
