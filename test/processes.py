"""Starting and stopping of the project's own processes in tests."""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field


@dataclass
class Process:
    """A running process of ours and the JSON log lines that it has written."""

    process: asyncio.subprocess.Process
    lines: list[dict] = field(default_factory=list)

    @property
    def pid(self):
        return self.process.pid

    async def wait_for(self, event):
        """Return the next log line whose event is `event`."""
        async for line in self.process.stdout:
            entry = json.loads(line)
            self.lines.append(entry)
            if entry["event"] == event:
                return entry
        raise AssertionError(f"the process ended without event {event!r}")

    def send(self, number):
        self.process.send_signal(number)

    async def end(self, number=signal.SIGTERM):
        """Signal the process, and return its exit status and the rest of its log."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        rest, _ = await self.process.communicate()
        self.lines += [json.loads(line) for line in rest.splitlines()]
        return self.process.returncode


async def start_process(*arguments):
    """Start `tanagerwalk ARGUMENTS`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tanagerwalk", *arguments, stdout=asyncio.subprocess.PIPE
    )
    return Process(process)
