"""Non-blocking, rate-limited output for log lines."""

import os
import time
from collections import deque

import msgspec

MAX_LINES_PER_S = 400
MAX_BYTES_PER_S = 256 * 1024
MAX_BUFFERED_BYTES = 512 * 1024


class LogSink:
    """Writes lines to a descriptor within a rate budget and counts dropped lines.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is switched to non-blocking mode.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    dropped : int
        Total number of lines dropped.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = deque()
        self._buffered_bytes = 0
        self._lines_left = float(MAX_LINES_PER_S)
        self._bytes_left = float(MAX_BYTES_PER_S)
        self._refilled_at = clock()
        self._unreported = 0
        self.dropped = 0

    def msg(self, line):
        """Write a line, or drop it if it exceeds the budget or the buffer."""
        data = line.encode("utf-8", "replace") + b"\n"
        if not self._spend_budget(len(data)):
            self.dropped += 1
            self._unreported += 1
            return
        self._report_dropped()
        self._append(data)
        self.flush()

    # structlog calls the method that is named after the level.
    debug = info = warning = error = critical = exception = msg

    def _spend_budget(self, size):
        now = self._clock()
        passed = now - self._refilled_at
        self._refilled_at = now
        lines = self._lines_left + passed * MAX_LINES_PER_S
        size_left = self._bytes_left + passed * MAX_BYTES_PER_S
        self._lines_left = min(lines, float(MAX_LINES_PER_S))
        self._bytes_left = min(size_left, float(MAX_BYTES_PER_S))
        if self._buffered_bytes + size > MAX_BUFFERED_BYTES:
            return False
        if self._lines_left < 1.0 or self._bytes_left < size:
            return False
        self._lines_left -= 1.0
        self._bytes_left -= size
        return True

    def _report_dropped(self):
        if self._unreported:
            notice = {"event": "log lines dropped", "count": self._unreported}
            self._append(msgspec.json.encode(notice) + b"\n")
            self._unreported = 0

    def _append(self, data):
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self):
        """Write buffered data until the descriptor would block."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error can't be logged either.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
