"""Test of a gateway process that starts while one of its ports is in use."""

import asyncio
import base64
import json
import os
import signal
import socket

import pytest
import uvloop
from expression import Ok
from gateway_process import GatewayProcessRig

from tanagerwalk.bound_sockets import bind_stream
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.port_wait import PortWait
from tanagerwalk.gateway.probes import ProbeListener
from tanagerwalk.platform.settings import METRICS_PORT
from tanagerwalk.standins.addresses import find_address

START_TIMEOUT_S = 15.0
MAX_ADDRESS_SPACE_MB = 150.0


class BlockedRig(GatewayProcessRig):
    """A rig whose process finds some of its ports in use when it starts."""

    def __init__(self, folder, *taken):
        super().__init__(folder)
        self.taken = taken
        self.sockets = []

    def write_settings(self):
        super().write_settings()
        text = self.settings_path.read_text()
        first = self.ports["peers"]
        old, new = f"[{first}, {first}]", f"[{first}, {first + 5}]"
        self.settings_path.write_text(text.replace(old, new))

    async def start(self):
        ports = self.ports | {"metrics": METRICS_PORT}
        for name, kind in self.taken:
            taken = socket.socket(socket.AF_INET, kind)
            if kind is socket.SOCK_STREAM:
                # Connections of an earlier test may still hold the port for a while.
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((self.ip, ports[name]))
            if kind is socket.SOCK_STREAM:
                taken.listen()
            self.sockets.append(taken)
        await super().start()

    async def wait_until_ready(self):
        if any(name in ("front", "ready") for name, _ in self.taken):
            assert await self.wait_for_log("membership entry written", START_TIMEOUT_S)
        else:
            await super().wait_until_ready()

    def free_ports(self):
        for taken in self.sockets:
            taken.close()


@pytest.mark.parametrize("name", ["front", "ready"])
async def test_port_in_use_is_waited_for(tmp_path, name):
    """A start beside a used port of clients or readiness ended with status 1."""
    async with BlockedRig(tmp_path, (name, socket.SOCK_STREAM)) as rig:
        assert rig.process.returncode is None, rig.log
        assert "port in use" in rig.log
        rig.free_ports()
        assert await poll_page(rig.is_ready, 1.0)
        assert await rig.stop() == 0


async def test_readiness_waits_for_the_port_of_clients(tmp_path):
    """An instance without a listener for clients must not get connections."""
    async with BlockedRig(tmp_path, ("front", socket.SOCK_STREAM)) as rig:
        page = await rig.fetch(rig.ports["ready"], "/api/ready")
        assert page.startswith("HTTP/1.1 503"), page or rig.log


async def test_stop_while_a_port_is_in_use(tmp_path):
    """SIGTERM during the wait for a port must end the process with status 0."""
    async with BlockedRig(tmp_path, ("front", socket.SOCK_STREAM)) as rig:
        rig.process.send_signal(signal.SIGHUP)
        assert await rig.stop() == 0, rig.log


async def test_metrics_port_in_use_delays_nothing(tmp_path):
    """A start beside a used port of metrics ended with status 1."""
    async with BlockedRig(tmp_path, ("metrics", socket.SOCK_STREAM)) as rig:
        assert "port in use" in rig.log
        rig.free_ports()
        assert await poll_page(rig.fetch_metrics, 2.0)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
async def test_another_port_of_the_range_is_taken(tmp_path, kind):
    """A start beside a used first port of instances ended with status 1."""
    async with BlockedRig(tmp_path, ("peers", kind)) as rig:
        assert await rig.wait_for_log("membership entry written")
        items = rig.store.items.items()
        [entry] = [item for key, item in items if "/instance/" in key]
        port = json.loads(base64.b64decode(entry.value))["port"]
        assert rig.ports["peers"] < port <= rig.ports["peers"] + 5


async def test_process_has_one_thread(tmp_path):
    """Threads that resolved addresses reserved more than the memory limit.

    With the address space limited to 150 MB the process ended by SIGSEGV.
    """
    async with GatewayProcessRig(tmp_path) as rig:
        await rig.fetch_metrics()
        reader, writer = await rig.connect()
        writer.write(b"GET /open/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n")
        await reader.readline()
        writer.close()
        assert len(os.listdir(f"/proc/{rig.process.pid}/task")) == 1
        assert rig.read_memory_mb("VmPeak") < MAX_ADDRESS_SPACE_MB


def has_port(listener):
    server = listener._server
    return server is not None and server.sockets[0] is not None


async def poll_page(fetch, seconds):
    """Return whether a coroutine function returns something true in time."""
    pages = []

    async def poll():
        while True:
            pages.append(await fetch())
            await asyncio.sleep(0.02)

    task = asyncio.create_task(poll())
    try:
        return await poll_until(lambda: any(pages), 0.02, seconds)
    finally:
        task.cancel()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_port_that_is_lost_before_it_listens_is_waited_for(run):
    """Another process that binds at the same moment makes `listen` fail, not `bind`.

    uvloop raises nothing then.
    """
    run(lose_port())


async def lose_port():
    first, second = (socket.socket() for _ in range(2))
    for each in (first, second):
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    first.bind((find_address(), 0))
    second.bind(first.getsockname())
    first.listen()
    listener = ProbeListener(lambda: b"")
    ports = [Ok(second), bind_stream((find_address(), 0))]
    wait = PortWait()
    await wait.open("metrics", lambda: ports.pop(0), listener.serve)
    assert second.fileno() == -1
    assert await poll_until(lambda: not ports and has_port(listener), 0.02, 2.0)
    listener.stop()
    first.close()
