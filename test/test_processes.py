"""The whole path as separate processes."""

import asyncio
import json
import signal
from pathlib import Path

import pytest_asyncio
from processes import start_process

from tanagerwalk.standins.entry_cluster import EntryCluster


class ProcessWorld(EntryCluster):
    """A world whose entry instances are processes."""

    def __init__(self, folder):
        super().__init__()
        self.folder = folder
        self.processes = {}

    async def serve(self, name, extra=""):
        path = self.folder / f"{name}.ini"
        path.write_text(self.make_settings(name, extra=extra))
        process = await start_process("serve", "--settings", str(path))
        self.processes[name] = process
        process.ports = await process.wait_for("listening")
        return process

    async def send(self, process, path, body, **headers):
        url = f"http://127.0.0.1:{process.ports['callers_port']}{path}"
        headers = {"Authorization": "Bearer desk-key", **headers}
        async with self.http.post(url, json=body, headers=headers) as response:
            return response.status, await response.read(), response.headers

    async def send_until_ready(self, process):
        url = f"http://127.0.0.1:{process.ports['callers_port']}/health/ready"
        while True:
            async with self.http.get(url) as response:
                if response.status == 200:
                    break
            await asyncio.sleep(0.02)
        # A server takes work once its first load report is in.
        await asyncio.sleep(0.3)


@pytest_asyncio.fixture
async def process_world(tmp_path):
    async with ProcessWorld(tmp_path) as world:
        await world.add_engine("engine-1", ["wren:1", "heron:1"])
        await world.add_service("booking-1", "booking")
        await world.apply()
        yield world
        for process in world.processes.values():
            await process.end(signal.SIGKILL)


def ask(work_class, **more):
    message = {"role": "user", "content": "deed book"}
    return {"model": work_class, "messages": [message], **more}


async def test_request_is_served_by_separate_processes(process_world):
    process = await process_world.serve("entry-1")
    await process_world.send_until_ready(process)
    status, content, headers = await process_world.send(
        process, "/v1/chat/completions", ask("label")
    )
    assert status == 200
    assert headers["X-Version"] == "wren:1"
    text = json.loads(content)["choices"][0]["message"]["content"]
    assert text.split()[0] == "wren:1-0"
    assert await process.end() == 0


async def test_planned_stop_cuts_no_request(process_world):
    process = await process_world.serve("entry-1")
    await process_world.send_until_ready(process)
    process_world.engines["engine-1"].token_delay = 0.05
    request = asyncio.create_task(
        process_world.send(
            process, "/v1/chat/completions", ask("plan", stream=True, max_tokens=20)
        )
    )
    await process_world.wait_until(lambda: process_world.engines["engine-1"].running)
    process.send(signal.SIGTERM)
    status, content, _ = await request
    assert status == 200
    assert content.endswith(b"data: [DONE]\n\n")
    assert await process.end() == 0
    assert process.lines[-1]["event"] == "stopped"


async def test_booking_survives_kill_of_its_instance(process_world):
    """After kill -9 in mid-run, a resend elsewhere gets "unknown", never a run."""
    first = await process_world.serve("entry-1")
    second = await process_world.serve("entry-2")
    for process in (first, second):
        await process_world.send_until_ready(process)
    service = process_world.services["booking-1"]
    service.delay = 0.3
    key = {"Idempotency-Key": "slot-1"}
    request = asyncio.create_task(
        process_world.send(first, "/v1/classes/booking", {"slot": 1}, **key)
    )
    await process_world.wait_until(lambda: service.runs)
    await first.end(signal.SIGKILL)
    await asyncio.gather(request, return_exceptions=True)
    status, content, _ = await process_world.send(
        second, "/v1/classes/booking", {"slot": 1}, **key
    )
    assert status == 409
    assert json.loads(content)["error"]["run_state"] == "unknown"
    assert service.runs == ["slot-1"]


async def test_process_starts_no_other_and_has_no_io_uring(process_world):
    process = await process_world.serve("entry-1")
    await process_world.send_until_ready(process)
    children, links = read_process(process.pid)
    assert not any(children)
    assert not any("io_uring" in link for link in links)


def read_process(pid):
    """Return the child processes and the open files of a process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    links = Path(f"/proc/{pid}/fd").iterdir()
    return [path.read_text().strip() for path in tasks], [
        str(path.readlink()) for path in links if path.is_symlink()
    ]
