"""Hosts that answer no packet for a moment, or never again."""

import asyncio
import contextlib
import json
import socket
import time

import pytest

from tanagerwalk.gateway.connections import open_connection
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.backend import EVENT_COUNT
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest
from tanagerwalk.standins.metadata import MetadataStandIn
from tanagerwalk.standins.paths import Cut, ServerPath
from tanagerwalk.standins.silence import accept_packets, drop_packets

pytestmark = pytest.mark.serial

HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ANSWER_DUE_S = 4.5
# When a silence begins after a request, and for how long.
SILENCES = [(1.8, 1.2), (1.5, 1.0), (1.9, 0.3), (0.9, 1.5), (2.2, 1.5)]
BOOKING_S = 4.0
PAUSE_S = 3.6
# As long as the route allows.
DEADLINE_MS = "5000"
# Within which a request in flight ends after the last packet of a host that is gone.
ENDED_IN_S = 3.3
# Seconds after which requests don't meet a host that is gone any more.
NOTICED_IN_S = 4.0
ANSWERED_IN_S = 1.0
# Seconds after which a kept connection to a host that is gone isn't used any more.
KEPT_S = 3.3


class Host:
    """A host that accepts one connection, whose socket is `sock`."""

    def __init__(self):
        self.sock = None
        self._listener = socket.create_server((find_address(), 0))
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()

    async def accept(self):
        loop = asyncio.get_running_loop()
        self.sock, _ = await loop.sock_accept(self._listener)
        self._listener.close()

    async def read(self):
        return await asyncio.get_running_loop().sock_recv(self.sock, 4096)

    async def answer(self):
        # The other end may have reset the connection.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self.sock, ANSWER)

    async def fall_silent(self, start, seconds):
        await asyncio.sleep(start)
        drop_packets(self.sock)
        await asyncio.sleep(seconds)
        accept_packets(self.sock)


async def connect(host):
    connected = asyncio.create_task(open_connection(host.address, 1.0))
    await host.accept()
    return (await connected).ok


async def find_loss_time(connection):
    """Return the seconds until a connection ends without the answer it waits for."""
    began = time.monotonic()
    async with asyncio.timeout(9.0):
        result = await connection.read_head()
    assert result.is_error()
    return time.monotonic() - began


# Guards against LOST: the kernel ended a connection if one keep-alive probe met a
# silence of its host, though the host went on and answered.
@pytest.mark.parametrize(("start", "seconds"), SILENCES)
async def test_answer_comes_over_a_connection_whose_host_was_silent(start, seconds):
    host = Host()
    connection = await connect(host)
    connection.send(HEAD)
    await host.read()
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(host.fall_silent(start, seconds))
        await asyncio.sleep(ANSWER_DUE_S)
        await host.answer()
    head = await connection.read_head()
    connection.abort()
    assert head.is_ok()


# Guards against LOST: a request sent into a silence of its host was given up.
async def test_request_sent_in_a_silence_is_answered():
    host = Host()
    connection = await connect(host)
    connection.send(HEAD)
    await host.read()
    await host.answer()
    await connection.read_head()
    await connection.read_body()
    drop_packets(host.sock)
    connection.send(HEAD)
    await asyncio.sleep(1.4)
    accept_packets(host.sock)
    assert await host.read() == HEAD
    await host.answer()
    head = await connection.read_head()
    connection.abort()
    assert head.is_ok()


# Guards against LOST: kept connections ended at each silence of their host, and the
# requests that would have used them needed new ones.
@pytest.mark.parametrize("start", [0.5, 1.0, 1.5, 1.9, 2.5])
async def test_kept_connection_outlives_a_silence(start):
    host = Host()
    connection = await connect(host)
    connection.send(HEAD)
    await host.read()
    await host.answer()
    await connection.read_head()
    await connection.read_body()
    await host.fall_silent(start, 1.5)
    await asyncio.sleep(2.0)
    assert connection.is_reusable()
    connection.abort()


# Guards against requests held by a host that is gone until their deadline.
@pytest.mark.parametrize("start", [0.1, 0.9, 1.7, 2.5])
async def test_connection_to_a_host_that_is_gone_ends(start):
    host = Host()
    connection = await connect(host)
    connection.send(HEAD)
    await host.read()
    await asyncio.sleep(start)
    drop_packets(host.sock)
    assert await find_loss_time(connection) <= ENDED_IN_S


# Guards against requests held until their deadline that were sent to a host that is
# gone.
async def test_connection_with_bytes_for_a_host_that_is_gone_ends():
    host = Host()
    connection = await connect(host)
    drop_packets(host.sock)
    connection.send(HEAD)
    assert await find_loss_time(connection) <= ENDED_IN_S


async def send_in_silence(cluster, server, data, start, seconds):
    """Return the reply to a request during which its server falls silent."""
    async with asyncio.TaskGroup() as tasks:
        sent = tasks.create_task(cluster.send(data))
        await asyncio.sleep(start)
        server.fall_silent()
        await asyncio.sleep(seconds)
        server.end_silence()
    return sent.result()


# Guards against LOST: a booking got 502 though it ran, as its server was silent for a
# second while it was at work.
@pytest.mark.parametrize(("start", "seconds"), [(1.8, 1.0), (1.9, 0.3), (1.7, 1.3)])
async def test_booking_is_answered_though_its_server_was_silent(start, seconds):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        server = cluster.servers["desk-0"]
        server.behaviour = Behaviour(delay=BOOKING_S)
        headers = {"X_Tanagerwalk_Deadline_Ms": DEADLINE_MS}
        data = cluster.encode("POST", "/bookings/7", b"slot", **headers)
        reply = await send_in_silence(cluster, server, data, start, seconds)
        bookings = [r for r in server.requests if r.method == "POST"]
    assert reply.status == 200
    assert len(bookings) == 1


async def pause_stream(server, paused_for):
    """Have a stream pause after its first event, which comes within 0.2 s."""
    await asyncio.sleep(0.1)
    server.behaviour.delay = paused_for
    await asyncio.sleep(0.5)
    server.behaviour.delay = 0.05


# Guards against LOST: a stream that had no other attempt was cut, as its server was
# silent for a second between two events.
@pytest.mark.parametrize(("start", "seconds"), [(2.0, 1.0), (2.1, 0.3)])
async def test_stream_goes_on_though_its_server_was_silent(start, seconds):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=1, desks=0, instances=0)
        manifest = json.loads(build_manifest(version=2))
        for route in manifest["routes"]:
            route["max_attempts"] = 1
        await cluster.store.put("op/config", json.dumps(manifest).encode())
        await cluster.add_instance("gateway-0")
        server = cluster.servers["draft-0"]
        server.behaviour = Behaviour(delay=0.2)
        data = cluster.encode_plan(X_Tanagerwalk_Deadline_Ms=DEADLINE_MS)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(pause_stream(server, PAUSE_S))
            reply = await send_in_silence(cluster, server, data, start, seconds)
        plans = [r for r in server.requests if r.method == "POST"]
    assert reply.status == 200
    assert reply.complete
    assert reply.body.count(b"id: ") == EVENT_COUNT
    assert len(plans) == 1


# Guards against bookings held until their deadline by a server that is gone, and
# against later requests that are sent to it.
async def test_requests_are_served_by_others_once_a_server_is_gone():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=2)
        for server in cluster.servers.values():
            server.behaviour = Behaviour(delay=BOOKING_S)
        headers = {"X_Tanagerwalk_Deadline_Ms": DEADLINE_MS}
        data = cluster.encode("POST", "/bookings/7", b"slot", **headers)
        began = time.monotonic()
        booking = asyncio.create_task(cluster.send(data))
        await asyncio.sleep(0.2)
        [gone] = [s for s in cluster.servers.values() if is_at_work(s)]
        for server in cluster.servers.values():
            server.behaviour = Behaviour()
        gone.fall_silent()
        gone_at = time.monotonic()
        reply = await booking
        held = time.monotonic() - began
        await asyncio.sleep(gone_at + NOTICED_IN_S - time.monotonic())
        began = time.monotonic()
        later = [cluster.encode("POST", "/bookings/8", b"slot") for _ in range(20)]
        later += [cluster.encode("GET", "/jobs/8") for _ in range(20)]
        replies = await asyncio.gather(*map(cluster.send, later))
        seconds = time.monotonic() - began
    assert reply.status == 502
    assert held <= ENDED_IN_S
    assert {each.status for each in replies} == {200}
    assert seconds <= ANSWERED_IN_S


# Guards against bookings that are sent over kept connections to a server that is gone.
async def test_kept_connections_to_a_server_that_is_gone_are_not_used():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=2)
        headers = {"X_Tanagerwalk_Deadline_Ms": DEADLINE_MS}
        for server in cluster.servers.values():
            server.behaviour = Behaviour(delay=0.1)
        data = cluster.encode("POST", "/bookings/7", b"slot", **headers)
        await asyncio.gather(*(cluster.send(data) for _ in range(10)))
        gone = cluster.servers["desk-0"]
        gone.fall_silent()
        await asyncio.sleep(KEPT_S)
        usage = cluster.instances[0].servers.find("desk-0")
        assert cluster.instances[0].connection_pool.acquire_idle(usage.server) is None
        began = time.monotonic()
        replies = await asyncio.gather(*(cluster.send(data) for _ in range(10)))
        seconds = time.monotonic() - began
    assert {each.status for each in replies} == {200}
    assert seconds <= ANSWERED_IN_S


async def hold_channel_silent(instance, start, seconds):
    """Have an instance drop what comes through the only tunnel of another one."""
    await asyncio.sleep(start)
    [channel] = instance.tunnel_server._channels
    sock = channel.writer.get_extra_info("socket")
    drop_packets(sock)
    await asyncio.sleep(seconds)
    accept_packets(sock)


async def book_through_tunnel(cluster):
    """Return a task that books, for 4 s, through the second of two instances."""
    await cluster.build(drafts=0, desks=1, instances=2)
    assert await cluster.wait_until_connected()
    cluster.paths = [ServerPath(instance) for instance in cluster.instances]
    cluster.paths[0].cut(Cut.RESET)
    await cluster.send(cluster.encode("GET", "/jobs/7"))
    cluster.servers["desk-0"].behaviour = Behaviour(delay=BOOKING_S)
    headers = {"X_Tanagerwalk_Deadline_Ms": DEADLINE_MS}
    data = cluster.encode("POST", "/bookings/7", b"slot", **headers)
    return asyncio.create_task(cluster.send(data))


# Guards against LOST: a silence between two instances ended the channel of a booking
# that ran.
@pytest.mark.parametrize(("start", "seconds"), [(1.8, 1.0), (1.9, 0.3)])
async def test_tunnel_outlives_a_silence_of_its_instance(start, seconds):
    async with GatewayCluster() as cluster:
        booking = await book_through_tunnel(cluster)
        await hold_channel_silent(cluster.instances[1], start, seconds)
        reply = await booking
        requests = cluster.servers["desk-0"].requests
        bookings = [r for r in requests if r.method == "POST"]
    assert reply.status == 200
    assert len(bookings) == 1


# Guards against LOST: a silence of a server ended its connection to the instance at
# the other end of a tunnel.
async def test_tunnel_outlives_a_silence_of_its_server():
    async with GatewayCluster() as cluster:
        booking = await book_through_tunnel(cluster)
        await asyncio.sleep(1.8)
        cluster.servers["desk-0"].fall_silent()
        await asyncio.sleep(1.0)
        cluster.servers["desk-0"].end_silence()
        reply = await booking
    assert reply.status == 200


# Guards against bookings held until their deadline by an instance that is gone.
async def test_tunnel_through_an_instance_that_is_gone_ends():
    async with GatewayCluster() as cluster:
        booking = await book_through_tunnel(cluster)
        began = time.monotonic()
        silence = hold_channel_silent(cluster.instances[1], 0.3, BOOKING_S)
        silent = asyncio.create_task(silence)
        reply = await booking
        held = time.monotonic() - began
        silent.cancel()
    assert reply.status == 502
    assert held <= ENDED_IN_S


# Guards against LOST: a silence of the store ended the watch, and a new one had to be
# made.
async def test_watch_of_the_store_outlives_a_silence():
    standin = MetadataStandIn()
    await standin.start()
    host, _, port = standin.address.rpartition(":")
    store = MetadataStore((host, int(port)))
    listed = (await store.list("servers/")).ok
    watch = asyncio.create_task(store.wait_for_changes("servers/", listed.revision, 4))
    await asyncio.sleep(1.8)
    [sock] = [t.get_extra_info("socket") for t in standin._transports]
    drop_packets(sock)
    await asyncio.sleep(1.0)
    accept_packets(sock)
    result = await watch
    store.drop_idle()
    await standin.stop()
    assert result.is_ok()


def is_at_work(server):
    return any(r.method == "POST" and not r.finished for r in server.requests)
