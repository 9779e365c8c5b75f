"""End-to-end tests with entry instances that run as processes of their own."""

import asyncio
import json
import signal
from pathlib import Path

import pytest_asyncio
from processes import start_process

from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.entry_cluster import EntryCluster


class ProcessWorld(EntryCluster):
    """A world whose entry instances run as separate processes."""

    def __init__(self, folder):
        super().__init__()
        self.folder = folder
        self.processes = {}
        self.preexec = None

    async def start_instance(self, name, extra=""):
        path = self.folder / f"{name}.ini"
        path.write_text(self.make_settings(name, extra=extra))
        process = await start_process(
            "serve", "--settings", str(path), preexec=self.preexec
        )
        self.processes[name] = process
        process.listening = await process.wait_for_event("listening")
        return process

    async def send_request(self, process, path, body, **headers):
        url = f"http://{find_address()}:{process.listening['callers_port']}{path}"
        headers = {"Authorization": "Bearer desk-key", **headers}
        async with self.http.post(url, json=body, headers=headers) as response:
            return response.status, await response.read(), response.headers

    async def wait_until_ready(self, process):
        url = (
            f"http://{find_address()}:{process.listening['callers_port']}/health/ready"
        )
        while True:
            async with self.http.get(url) as response:
                if response.status == 200:
                    break
            await asyncio.sleep(0.02)
        # A server only gets requests after its first load report.
        await asyncio.sleep(0.3)


@pytest_asyncio.fixture
async def process_world(tmp_path):
    async with ProcessWorld(tmp_path) as world:
        await world.add_engine("engine-1", ["wren:1", "heron:1"])
        await world.add_service("booking-1", "booking")
        await world.apply()
        yield world
        for process in world.processes.values():
            await process.stop(signal.SIGKILL)


def build_chat_request(work_class, **fields):
    message = {"role": "user", "content": "deed book"}
    return {"model": work_class, "messages": [message], **fields}


async def test_request_is_served_by_separate_processes(process_world):
    process = await process_world.start_instance("entry-1")
    await process_world.wait_until_ready(process)
    status, content, headers = await process_world.send_request(
        process, "/v1/chat/completions", build_chat_request("label")
    )
    assert status == 200
    assert headers["X-Version"] == "wren:1"
    text = json.loads(content)["choices"][0]["message"]["content"]
    assert text.split()[0] == "wren:1-0"
    assert await process.stop() == 0


async def test_graceful_stop_completes_running_request(process_world):
    process = await process_world.start_instance("entry-1")
    await process_world.wait_until_ready(process)
    process_world.engines["engine-1"].token_delay = 0.05
    request = asyncio.create_task(
        process_world.send_request(
            process,
            "/v1/chat/completions",
            build_chat_request("plan", stream=True, max_tokens=20),
        )
    )
    await process_world.wait_until(lambda: process_world.engines["engine-1"].running)
    process.send_signal(signal.SIGTERM)
    status, content, _ = await request
    assert status == 200
    assert content.endswith(b"data: [DONE]\n\n")
    assert await process.stop() == 0
    assert process.log_entries[-1]["event"] == "stopped"


async def test_killed_instance_leaves_booking_unknown(process_world):
    """An instance is killed (SIGKILL) while the service runs its booking.

    A resend to another instance must get run state "unknown" and must not run again.
    """
    first = await process_world.start_instance("entry-1")
    second = await process_world.start_instance("entry-2")
    for process in (first, second):
        await process_world.wait_until_ready(process)
    service = process_world.services["booking-1"]
    service.delay = 0.3
    key = {"Idempotency-Key": "slot-1"}
    request = asyncio.create_task(
        process_world.send_request(first, "/v1/classes/booking", {"slot": 1}, **key)
    )
    await process_world.wait_until(lambda: service.runs)
    await first.stop(signal.SIGKILL)
    await asyncio.gather(request, return_exceptions=True)
    status, content, _ = await process_world.send_request(
        second, "/v1/classes/booking", {"slot": 1}, **key
    )
    assert status == 409
    assert json.loads(content)["error"]["run_state"] == "unknown"
    assert service.runs == ["slot-1"]


async def test_process_has_no_children_and_no_io_uring(process_world):
    process = await process_world.start_instance("entry-1")
    await process_world.wait_until_ready(process)
    children, links = read_process_state(process.pid)
    assert not any(children)
    assert not any("io_uring" in link for link in links)


def read_process_state(pid):
    """Return the child processes and the open files of a process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    links = Path(f"/proc/{pid}/fd").iterdir()
    return [path.read_text().strip() for path in tasks], [
        str(path.readlink()) for path in links if path.is_symlink()
    ]
