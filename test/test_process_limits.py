"""Real processes at their limits of memory, descriptors and ports."""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
from collections import Counter
from importlib import resources
from pathlib import Path

import pytest
from processes import start_process
from test_processes import ProcessWorld

from tanagerwalk.standins.addresses import find_address

pytestmark = pytest.mark.serial

BYTES_PER_MB = 1000 * 1000
KB_BYTES = 1024
MEMORY_MB = 150
ADDRESS_SPACE_BYTES = 300_000_000
LARGE_BODY_BYTES = 3_900_000
LARGE_BODIES = 60
STALLED_BODIES = 40
IDLE_CONNECTIONS = 400
DESCRIPTORS = 300
LARGE_ANSWER_BYTES = 4_000_000
UNREAD_ANSWERS = 40
RECEIVE_BUFFER_BYTES = 4096
LIMIT_S = 20.0
REPEATED_STOPS = 3
SIGNAL_PAUSE_S = 0.002


class LimitedProcess:
    """An entry instance with limits, in a process of its own."""

    def __init__(self, world, process):
        self.world = world
        self.process = process

    @classmethod
    async def start(cls, world, **limits):
        lines = "".join(f"{name} = {value}\n" for name, value in limits.items())
        await world.add_engine("engine-1", ["wren:1", "heron:1"])
        await world.add_service("booking-1", "booking")
        demo = resources.files("tanagerwalk.standins").joinpath("demo.ini").read_text()
        patient = "lateness = 500 ms\npatience = 30 s"
        await world.apply(demo.replace("lateness = 500 ms", patient))
        process = await world.start_instance("entry-1", extra=f"[limits]\n{lines}")
        await world.wait_until_ready(process)
        return cls(world, process)

    def read_peak_mb(self):
        """Return the most resident memory so far."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * KB_BYTES / BYTES_PER_MB
        raise AssertionError("no VmHWM")

    async def connect(self):
        """Open a connection of callers that keeps little of what it doesn't read."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        address = (find_address(), self.process.listening["callers_port"])
        await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)

    def count_descriptors(self):
        """Return the number of open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def wait_for_metric(self, name, condition):
        """Wait until a metric meets a condition.

        Raises
        ------
        TimeoutError
            If it does not in time.
        """
        async with asyncio.timeout(LIMIT_S):
            while not condition(await self.read_metric(name)):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def send(self, body, size=None):
        """Send a request, with the head of a body of another size if one is given."""
        reader, writer = await self.connect()
        writer.write(build_request(body, size or len(body)))
        return reader, writer

    async def ask(self, body):
        """Send a request; return its status and body, or None without an answer."""
        reader, writer = await self.send(body)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()

    async def check_serving(self):
        """Check that a small request is answered with 200."""
        status, content = await self.ask(b"{}") or (None, "no answer")
        assert status == 200, content

    async def read_metric(self, name):
        """Return the value of a metric."""
        port = self.process.listening["admin_port"]
        async with self.world.http.get(
            f"http://{find_address()}:{port}/metrics"
        ) as page:
            lines = (await page.text()).splitlines()
        return next(float(line.split()[1]) for line in lines if line.startswith(name))


def build_request(body, size):
    head = (
        "POST /v1/classes/status HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer desk-key\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + body


def build_body(size):
    return b'{"text":"' + b"x" * size + b'"}'


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    size = int(head.split("content-length: ")[1].split("\r\n")[0])
    return int(head.split(" ")[1]), await reader.readexactly(size)


@pytest.fixture
async def process_world(tmp_path):
    async with ProcessWorld(tmp_path) as world:
        yield world
        for process in world.processes.values():
            if process.subprocess.returncode is None:
                process.subprocess.kill()
            await process.subprocess.communicate()


async def test_large_bodies_stay_within_memory(process_world):
    """Guards against large bodies at once that take more than the memory limit."""
    limited = await LimitedProcess.start(process_world, memory=MEMORY_MB * BYTES_PER_MB)
    process_world.services["booking-1"].delay = 0.3
    body = build_body(LARGE_BODY_BYTES)
    answers = await asyncio.gather(*[limited.ask(body) for _ in range(LARGE_BODIES)])
    refused = [json.loads(content) for status, content in answers if status == 503]
    codes = Counter(refusal["error"]["code"] for refusal in refused)
    assert codes["memory_full"] == len(refused) > 0
    assert all(refusal["error"]["run_state"] == "not_run" for refusal in refused)
    assert all(refusal["error"]["retry_after"] for refusal in refused)
    assert limited.read_peak_mb() < MEMORY_MB
    await limited.check_serving()
    assert await limited.process.stop() == 0


async def test_bodies_stay_within_address_space(process_world):
    """Guards against bodies and threads that use up a limit of the address space."""

    def limit():
        resource.setrlimit(resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES,) * 2)

    process_world.preexec = limit
    limited = await LimitedProcess.start(process_world)
    body = build_body(900_000)
    answers = await asyncio.gather(*[limited.ask(body) for _ in range(LARGE_BODIES)])
    assert {answer[0] for answer in answers} == {200, 503}
    await limited.check_serving()
    assert await limited.process.stop() == 0


async def test_body_that_stops_gives_its_memory_back(process_world):
    """Guards against bodies that stop and hold their memory for a day."""
    limited = await LimitedProcess.start(
        process_world, memory=MEMORY_MB * BYTES_PER_MB, receive_timeout=1
    )
    body = build_body(LARGE_BODY_BYTES)
    stalled = await asyncio.gather(
        *[limited.send(body[:-9], len(body)) for _ in range(STALLED_BODIES)]
    )
    await limited.check_serving()
    async with asyncio.timeout(LIMIT_S):
        answers = await asyncio.gather(*[read_answer(pair[0]) for pair in stalled])
    assert {status for status, _ in answers} == {408, 503}
    assert await limited.read_metric("tanagerwalk_memory_used") == 0
    assert limited.read_peak_mb() < MEMORY_MB
    assert await limited.process.stop() == 0


async def test_readers_that_stop_are_reset(process_world):
    """Guards against unread answers that are kept without bound."""
    limited = await LimitedProcess.start(
        process_world, memory=MEMORY_MB * BYTES_PER_MB, read_timeout=1
    )
    process_world.services["booking-1"].padding = LARGE_ANSWER_BYTES
    readers = [await limited.send(b"{}") for _ in range(UNREAD_ANSWERS)]
    await limited.wait_for_metric(
        "tanagerwalk_memory_used", lambda used: used > 2 * LARGE_ANSWER_BYTES
    )
    stopped = 'tanagerwalk_connections_closed{reason="reader_stopped"}'
    await limited.wait_for_metric(stopped, lambda count: count > 1)
    await limited.wait_for_metric("tanagerwalk_memory_used", lambda used: used == 0)
    for _, writer in readers:
        writer.close()
    await limited.check_serving()
    assert limited.read_peak_mb() < MEMORY_MB
    assert await limited.process.stop() == 0


async def test_idle_connections_leave_descriptors(process_world):
    """Guards against idle connections that take the descriptors of all else."""
    limited = await LimitedProcess.start(process_world, descriptors=DESCRIPTORS)
    idle = [await limited.connect() for _ in range(IDLE_CONNECTIONS)]
    await limited.check_serving()
    closed = 'tanagerwalk_connections_closed{reason="idle"}'
    await limited.wait_for_metric(closed, lambda count: count > IDLE_CONNECTIONS // 2)
    assert limited.count_descriptors() < DESCRIPTORS
    for _, writer in idle:
        writer.close()
    assert await limited.process.stop() == 0


async def test_busy_connections_leave_descriptors(process_world):
    """Guards against busy connections that take the descriptors of all else."""
    limited = await LimitedProcess.start(process_world, descriptors=DESCRIPTORS)
    busy = [await limited.send(b"{", 9) for _ in range(IDLE_CONNECTIONS)]
    reset = 'tanagerwalk_connections_closed{reason="new"}'
    await limited.wait_for_metric(reset, lambda count: count > IDLE_CONNECTIONS // 2)
    for _, writer in busy:
        writer.close()
    await asyncio.sleep(0.2)
    await limited.check_serving()
    assert await limited.process.stop() == 0


@pytest.mark.parametrize("name", ["callers_port", "admin_port", "peers_port"])
async def test_port_in_use_is_waited_for(process_world, name):
    """Guards against a start that ends as a port is still in use."""
    with socket.create_server((find_address(), 0)) as taken:
        process = await start_at_port(process_world, name, taken.getsockname()[1])
        await process.wait_for_event("port in use")
    listening = await process.wait_for_event("listening")
    assert listening[name]
    assert await process.stop() == 0


async def test_stop_while_port_is_in_use(process_world):
    """Guards against a planned stop that counts as a fault while a port is in use."""
    with socket.create_server((find_address(), 0)) as taken:
        process = await start_at_port(
            process_world, "admin_port", taken.getsockname()[1]
        )
        await process.wait_for_event("port in use")
        async with asyncio.timeout(LIMIT_S):
            assert await process.stop() == 0


async def test_foreign_address_ends_start(process_world):
    """Guards against a wait for an address that the machine doesn't have."""
    path = process_world.folder / "entry-1.ini"
    text = process_world.make_settings("entry-1")
    own = f"address = {find_address()}"
    assert own in text
    path.write_text(text.replace(own, "address = 192.0.2.1"))
    process = await start_process("serve", "--settings", str(path))
    async with asyncio.timeout(LIMIT_S):
        assert await process.subprocess.wait() == 1


async def start_at_port(world, name, port):
    """Start an instance with one port that is given."""
    path = world.folder / "entry-1.ini"
    text = world.make_settings("entry-1")
    path.write_text(text.replace("[instance]", f"[instance]\n{name} = {port}", 1))
    process = await start_process("serve", "--settings", str(path))
    world.processes["entry-1"] = process
    return process


async def test_signals_during_the_end_keep_its_status(process_world):
    """Guards against a second signal that ends the process after its planned stop."""
    for _ in range(REPEATED_STOPS):
        process = await process_world.start_instance("entry-1")
        while process.subprocess.returncode is None:
            # Not by `send_signal`, which may take the status from asyncio's watcher.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
            await asyncio.sleep(SIGNAL_PAUSE_S)
        assert process.subprocess.returncode == 0
