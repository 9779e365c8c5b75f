"""Measures CPU time and memory of an entry instance, idle and while serving.

The instance is a separate process; the stand-ins and the load generator run in this
one.
"""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

import msgspec

from tanagerwalk.logs import configure_logs
from tanagerwalk.standins.entry_cluster import EntryCluster

from .measuring import read_process_usage

IDLE_S = 10.0
REQUESTS = 1500
WORKERS = 16
ENGINE_COUNTS = (3, 9, 30, 90)
WARM_UP_S = 8.0
# Other settings keep their defaults, so that the shipped configuration is measured.
SETTINGS = """
[instance]
id = entry-1
region = r1
failure_domain = r1-a
[platform]
keyvalue = http://{keyvalue}
instances = http://{platform}/targets
ratings = http://{platform}
[sessions]
secret = bench
[peers]
secret = bench
"""


class ServedWorld(EntryCluster):
    """Stand-ins with one entry instance that runs as a process."""

    async def start_instance(self, folder):
        """Start the entry instance, wait until it listens and let it warm up."""
        path = Path(folder) / "entry.ini"
        path.write_text(
            SETTINGS.format(
                keyvalue=self.keyvalue.address, platform=self.platform.address
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tanagerwalk", "serve", "--settings", str(path)),
            stdout=asyncio.subprocess.PIPE,
        )
        async for line in self.process.stdout:
            entry = msgspec.json.decode(line)
            if entry["event"] == "listening":
                self.port = entry["callers_port"]
                break
        self.reader = asyncio.create_task(self.process.stdout.read())
        await asyncio.sleep(WARM_UP_S)

    async def measure_load(self, body, path="/v1/chat/completions"):
        """Return CPU ms per request, resident MB and failures of REQUESTS requests."""
        url = f"http://127.0.0.1:{self.port}{path}"
        headers = {"Authorization": "Bearer desk-key"}
        remaining = iter(range(REQUESTS))
        failed = 0

        async def send_requests():
            nonlocal failed
            for _ in remaining:
                async with self.http.post(url, json=body, headers=headers) as response:
                    await response.read()
                    failed += response.status != 200

        before = read_process_usage(self.process.pid)
        await asyncio.gather(*(send_requests() for _ in range(WORKERS)))
        after = read_process_usage(self.process.pid)
        cpu_ms = (after.cpu_s - before.cpu_s) * 1000 / REQUESTS
        return cpu_ms, after.resident_mb, failed


async def measure(engines):
    """Run all loads with a number of engines and print one row."""
    with tempfile.TemporaryDirectory() as folder:
        async with ServedWorld() as world:
            for number in range(engines):
                await world.add_engine(f"engine-{number}", ["wren:1", "heron:1"])
            await world.add_service("booking-1", "booking")
            await world.apply()
            await world.start_instance(folder)
            before = read_process_usage(world.process.pid)
            await asyncio.sleep(IDLE_S)
            idle = read_process_usage(world.process.pid)
            share = 100 * (idle.cpu_s - before.cpu_s) / IDLE_S
            message = {"role": "user", "content": "deed book"}
            chat = await world.measure_load(
                {"model": "label", "messages": [message], "max_tokens": 8}
            )
            long = await world.measure_load(
                {"model": "label", "messages": [message], "max_tokens": 64}
            )
            status = await world.measure_load({"job": 1}, "/v1/classes/status")
            per_token = (long[0] - chat[0]) / (64 - 8)
            print(
                f"{engines:>7} {share:>8.2f} {idle.resident_mb:>8.1f} {chat[0]:>8.2f}"
                f" {per_token:>9.4f} {status[0]:>8.2f} {status[1]:>8.1f}"
                f" {chat[2] + long[2] + status[2]:>7}",
                flush=True,
            )
            world.process.send_signal(signal.SIGKILL)
            await world.process.wait()


def main():
    """Print one row for each number of engines."""
    configure_logs("critical")
    print("engines idle_cpu%  idle_MB  chat_ms  token_ms  call_ms  busy_MB  failed")
    for engines in ENGINE_COUNTS:
        asyncio.run(measure(engines))


if __name__ == "__main__":
    main()
