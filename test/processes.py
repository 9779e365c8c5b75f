"""Helpers that start and stop tanagerwalk processes in tests."""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field


@dataclass
class Process:
    """A tanagerwalk process and the JSON log lines read from it so far."""

    subprocess: asyncio.subprocess.Process
    log_entries: list[dict] = field(default_factory=list)

    @property
    def pid(self):
        return self.subprocess.pid

    async def wait_for_event(self, event):
        """Read log lines up to the next one with this event, and return it."""
        async for line in self.subprocess.stdout:
            entry = json.loads(line)
            self.log_entries.append(entry)
            if entry["event"] == event:
                return entry
        raise AssertionError(f"the process ended without event {event!r}")

    def send_signal(self, signal_number):
        self.subprocess.send_signal(signal_number)

    async def stop(self, signal_number=signal.SIGTERM):
        """Send a signal to the process, wait until it exits and return its status.

        The rest of its log is added to `log_entries`.
        """
        if self.subprocess.returncode is None:
            self.subprocess.send_signal(signal_number)
        rest, _ = await self.subprocess.communicate()
        self.log_entries += [json.loads(line) for line in rest.splitlines()]
        return self.subprocess.returncode


async def start_process(*arguments, preexec=None):
    """Start `tanagerwalk ARGUMENTS`; `preexec` runs in the new process before."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tanagerwalk",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        preexec_fn=preexec,
    )
    return Process(process)
