"""Test of a gateway process whose connections exceed its limit of descriptors."""

import asyncio
import contextlib
import os
import resource

import pytest
from expression import Error, Ok
from gateway_process import GatewayProcessRig

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.descriptor_budget import DescriptorBudget, DescriptorKind
from tanagerwalk.decisions.paths import PathState
from tanagerwalk.gateway.connect_faults import ConnectFault
from tanagerwalk.gateway.connections import Connection, open_connection
from tanagerwalk.gateway.descriptors import LimitedDial
from tanagerwalk.peers.rpc import MessageKind, PeerClient, RequestFault
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.gateway_cluster import API_KEY, HOST, GatewayCluster

pytestmark = pytest.mark.serial

SYSTEM_LIMIT = 400
CLIENT_COUNT = 600
BATCH = 50
REQUEST = (
    f"GET /open/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Tanagerwalk-Key: {API_KEY}\r\n"
    "X-Tanagerwalk-Attempt-Id: {}\r\nX-Tanagerwalk-Deadline-Ms: 4000\r\n\r\n"
)


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (SYSTEM_LIMIT, SYSTEM_LIMIT))


@contextlib.asynccontextmanager
async def connect_idle(rig, count):
    """Hold idle connections to the listener of clients."""
    writers = []
    try:
        for _ in range(0, count, BATCH):
            opened = await asyncio.gather(
                *(rig.connect() for _ in range(BATCH)), return_exceptions=True
            )
            writers += [each[1] for each in opened if isinstance(each, tuple)]
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


async def send_request(rig, number):
    """Return the first line of the response on a new connection, or nothing."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await rig.connect()
            writer.write(REQUEST.format(f"a-{number}").encode())
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return b""
    return line


@pytest.mark.parametrize("max_fds", [4200, SYSTEM_LIMIT + 200])
async def test_idle_clients_leave_descriptors_for_others(tmp_path, max_fds):
    """Idle clients took all descriptors: no request was served, nor a probe."""
    rig = GatewayProcessRig(tmp_path, max_fds=max_fds)
    rig.preexec = limit_descriptors
    async with rig, connect_idle(rig, CLIENT_COUNT):
        await asyncio.sleep(1.1)
        assert await rig.is_ready(), rig.log
        lines = [await send_request(rig, number) for number in range(30)]
        assert lines == [b"HTTP/1.1 200 OK\r\n"] * 30, rig.log
        assert "server unreachable" not in rig.log
        page = await rig.fetch_metrics()
        assert "tanagerwalk_gateway_client_idle_closed" in page
        assert rig.count_descriptors() < SYSTEM_LIMIT


async def test_request_without_descriptor_is_refused_unrun():
    """Out of descriptors, a server was blamed and the request got another status."""
    async with GatewayCluster() as cluster:
        await cluster.build(desks=1)
        [instance] = cluster.instances
        part = instance.limits.descriptors.parts[DescriptorKind.SERVER]
        while part.try_reserve():
            pass
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 503
        assert b"descriptors_full" in reply.body
        assert "retry-after" in reply.headers
        for _ in range(3):
            part.release()
        assert (await cluster.send(cluster.encode("GET", "/jobs/2"))).status == 200


async def test_kept_connection_makes_room_for_a_new_one():
    """A kept connection must not cost a request to another server."""
    async with GatewayCluster() as cluster:
        await cluster.build(desks=1)
        [instance] = cluster.instances
        await cluster.send(cluster.encode("GET", "/jobs/1"))
        part = instance.limits.descriptors.parts[DescriptorKind.SERVER]
        while part.try_reserve():
            pass
        assert (await cluster.send(cluster.encode_plan())).status == 200


def test_no_kind_starves_another():
    """The sum never exceeds the capacity, and each kind keeps a part of its own."""
    budget = DescriptorBudget(1000)
    for part in budget.parts.values():
        while part.try_reserve():
            pass
        assert part.used >= part.own
    assert budget.total.used <= budget.total.capacity


@contextlib.contextmanager
def use_all_descriptors():
    """Leave this process without a free descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (SYSTEM_LIMIT, hard))
    taken = []
    try:
        with contextlib.suppress(OSError):
            while True:
                taken.append(os.open(os.devnull, os.O_RDONLY))
        yield
    finally:
        for descriptor in taken:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def test_system_without_descriptors_blames_no_address():
    """EMFILE counted as an unreachable server, a crash or an unreachable instance."""
    async with GatewayCluster() as cluster:
        await cluster.build(desks=1)
        [instance] = cluster.instances
        server = instance.servers.find("desk-0").server
        client = PeerClient("secret", "other", 1.0)
        address = f"{find_address()}:{instance.peer_server.port}"
        with use_all_descriptors():
            opened = await open_connection(server.address, 1.0)
            is_alive = await instance.connection_pool.connector.check(server)
            asked = await client.request(address, MessageKind.FETCH_CHANGES, b"")
        assert opened.error is ConnectFault.DESCRIPTORS_FULL
        assert is_alive
        assert instance.paths.get_state(server.id) is PathState.DIRECT
        assert asked.error is RequestFault.DESCRIPTORS_FULL


async def test_descriptors_are_given_back():
    """Counts that don't go down would refuse requests after some hours."""
    async with GatewayCluster() as cluster:
        await cluster.build()
        [instance] = cluster.instances
        parts = instance.limits.descriptors.parts
        requests = (cluster.send(cluster.encode("GET", "/jobs/1")) for _ in range(40))
        await asyncio.gather(*requests)
        assert parts[DescriptorKind.SERVER].used > 0
        for server in cluster.servers.values():
            await server.stop()
        await cluster.send(cluster.encode("GET", "/jobs/1"))
        instance.connection_pool.close()
        assert await poll_until(
            lambda: instance.limits.descriptors.total.used == 0, 0.02, 2.0
        )


async def test_connection_closes_for_a_system_without_descriptors():
    """EMFILE refused a request although a kept connection could have been closed."""
    budget = DescriptorBudget(100)
    results = [Error(ConnectFault.DESCRIPTORS_FULL), Ok(Connection())]
    closed = []

    async def dial(*_):
        return results.pop(0)

    def make_room():
        closed.append(True)
        return True

    part = budget.parts[DescriptorKind.SERVER]
    result = await LimitedDial(part, make_room, dial).open(("127.0.0.1", 1), 1.0)
    assert result.is_ok()
    assert closed == [True]
    assert part.used == 1
