"""Connections to backend servers through another instance."""

import asyncio
from types import SimpleNamespace

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.paths import PathState
from tanagerwalk.gateway.tunnel_client import TunnelTransport
from tanagerwalk.gateway.tunnels import CHUNK_BYTES, TunnelFault
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.rpc import MessageKind, PeerClient, RequestFault
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply
from tanagerwalk.standins.paths import Cut, ServerPath

WAIT_S = 5.0


@pytest_asyncio.fixture
async def cluster():
    """Two instances, of which the first is cut off from the only server."""
    async with GatewayCluster() as built:
        await built.build(drafts=1, desks=1, instances=2)
        first, second = built.instances
        assert await poll_until(lambda: can_tunnel(first, second), 0.02, WAIT_S)
        built.paths = [ServerPath(instance) for instance in built.instances]
        built.paths[0].cut(Cut.RESET)
        yield built


def can_tunnel(first, second):
    return second.peer_server.secret is not None and any(
        first.tunnel_client.rank_peers(usage.server)
        for usage in first.servers.list_usages("desk")
    )


async def test_answers_pass_whole_and_the_server_sees_each_request_once(cluster):
    replies = [
        await cluster.send(cluster.encode("POST", "/bookings/7", b"x" * 40000)),
        await cluster.send(cluster.encode_plan()),
    ]
    assert [reply.status for reply in replies] == [200, 200]
    assert replies[1].complete
    assert replies[1].body.count(b"id: ") == 5
    (booking,) = cluster.servers["desk-0"].requests
    assert booking.body == b"x" * 40000
    assert len(cluster.servers["draft-0"].requests) == 1


# Guards against a response without a length that looks complete although the server
# reset its connection to the instance at the other end of the tunnel.
@pytest.mark.parametrize(
    ("fault", "statuses"), [("unframed", {200}), ("unframed_reset", {502})]
)
async def test_only_an_orderly_end_at_the_server_ends_a_response(
    cluster, fault, statuses
):
    cluster.servers["desk-0"].behaviour = Behaviour(fault)
    reply = await cluster.send(cluster.encode("POST", "/bookings/7", b"slot"))
    assert {reply.status} == statuses


async def test_server_sees_that_the_client_has_left(cluster):
    cluster.servers["desk-0"].behaviour = Behaviour("silent")
    _, writer = await cluster.connect()
    writer.write(cluster.encode("GET", "/jobs/7"))
    requests = cluster.servers["desk-0"].requests
    assert await poll_until(lambda: bool(requests), 0.01, WAIT_S)
    writer.transport.abort()
    assert await poll_until(lambda: requests[0].cancelled, 0.01, 0.5)
    (_, second) = cluster.instances
    assert await poll_until(lambda: second.tunnel_server.tunnel_count == 0, 0.01, 0.5)


# Guards against requests that a planned stop of the instance at the other end breaks.
async def test_stopping_instance_finishes_its_tunnels(cluster):
    cluster.servers["desk-0"].behaviour = Behaviour(delay=0.8)
    first, second = cluster.instances
    data = cluster.encode("POST", "/bookings/7", b"slot")
    task = asyncio.create_task(cluster.send(data))
    assert await poll_until(lambda: second.tunnel_server.tunnel_count == 1, 0.01, 1.0)
    cluster.instances.remove(second)
    await second.stop()
    assert (await task).status == 200
    usage = first.servers.find("desk-0")
    assert first.connection_pool.acquire_idle(usage.server) is None


# Guards against a request that was refused because the instance at the other end began
# to stop between the opening of its tunnel and its sending.
async def test_new_tunnel_is_used_once_although_its_instance_stops(cluster):
    (_, second) = cluster.instances
    data = cluster.encode("POST", "/bookings/7", b"slot")
    task = asyncio.create_task(cluster.send(data))
    assert await poll_until(lambda: second.tunnel_server.tunnel_count == 1, 1e-9, 1.0)
    second.tunnel_server.stop_accepting()
    assert (await task).status == 200
    assert await poll_until(lambda: second.tunnel_server.tunnel_count == 0, 0.01, 1.0)


async def test_direct_path_is_used_again_once_it_works(cluster):
    await cluster.send(cluster.encode("GET", "/jobs/7"))
    first = cluster.instances[0]
    assert first.paths.get_state("desk-0") is PathState.INDIRECT
    cluster.paths[0].heal()
    assert await poll_until(
        lambda: first.paths.get_state("desk-0") is PathState.DIRECT, 0.05, WAIT_S
    )
    usage = first.servers.find("desk-0")
    assert first.connection_pool.acquire_idle(usage.server).via is None


async def open_tunnel(instance, server_id, secret):
    address = f"{find_address()}:{instance.peer_server.port}"
    client = PeerClient(secret, InstanceId("other"), 1.0)
    return await client.open_stream(
        address, MessageKind.OPEN_TUNNEL, server_id.encode()
    )


@pytest.mark.parametrize("server_id", ["no-such-server", "10.0.0.1:80", "", "\0"])
async def test_tunnel_leads_to_registered_servers_only(cluster, server_id):
    (_, second) = cluster.instances
    result = await open_tunnel(second, server_id, second.peer_server.secret)
    assert result.error is RequestFault.FAILED
    opened = await second.tunnel_server.open(server_id.encode(), "other")
    assert opened.error == TunnelFault.UNKNOWN_SERVER.value


async def test_no_tunnel_without_the_key_of_the_fleet(cluster):
    (_, second) = cluster.instances
    result = await open_tunnel(second, "desk-0", "another key")
    assert result.error is RequestFault.BROKEN
    assert second.tunnel_server.tunnel_count == 0


async def test_instance_that_is_cut_off_itself_refuses_at_once(cluster):
    first, _ = cluster.instances
    await cluster.send(cluster.encode("GET", "/jobs/7"))
    opened = await first.tunnel_server.open(b"desk-0", "other")
    assert opened.error == TunnelFault.UNREACHABLE.value


async def test_stream_resumes_elsewhere_when_the_tunnel_breaks(cluster):
    await cluster.add_server("draft-1", "drafts")
    for server in cluster.servers.values():
        server.behaviour = Behaviour(delay=0.2)
    reader, writer = await cluster.connect()
    writer.write(cluster.encode_plan())
    (_, second) = cluster.instances
    assert await poll_until(lambda: second.tunnel_server.tunnel_count == 1, 0.01, 1.0)
    await asyncio.sleep(0.5)
    for channel in list(second.tunnel_server._channels):
        channel.writer.transport.abort()
    reply = await read_reply(reader)
    writer.close()
    assert reply.complete
    assert reply.body.count(b"id: ") == 5


# Guards against BUDGET and DRAIN: requests through tunnels that were opened before the
# instance at the other end heard that the server rests or leaves.
@pytest.mark.parametrize(
    "behaviour",
    [Behaviour("refuse", retry_after="3"), Behaviour(is_leaving=True)],
    ids=["rest", "leaving"],
)
async def test_kept_tunnel_heeds_what_the_far_instance_has_heard(cluster, behaviour):
    first, second = cluster.instances
    server = cluster.servers["desk-0"]
    server.behaviour = Behaviour(delay=0.2)
    data = [cluster.encode("GET", "/jobs/7") for _ in range(6)]
    await asyncio.gather(*(cluster.send(each, first) for each in data))
    assert second.tunnel_server.tunnel_count >= 3
    server.behaviour = behaviour
    await cluster.send(cluster.encode("GET", "/jobs/7"), second)
    # The news of the leaving is not what keeps the first instance away.
    first.servers.mark_leaving = lambda lives: []
    await asyncio.sleep(0.5)
    seen = len(server.requests)
    for _ in range(6):
        await cluster.send(cluster.encode("GET", "/jobs/7"), first)
    assert len(server.requests) == seen


# Guards against buffers of tunnels that take more memory than the instance may use.
async def test_tunnels_beyond_the_memory_of_the_instance_are_refused(cluster):
    (_, second) = cluster.instances
    free = second.limits.memory.capacity - second.limits.memory.used
    second.limits.memory.reserve(free)
    assert (await second.tunnel_server.open(b"desk-0", "x")).error == "too_many"
    second.limits.memory.release(free)
    used = second.limits.memory.used
    cluster.servers["desk-0"].behaviour = Behaviour(delay=0.3)
    task = asyncio.create_task(cluster.send(cluster.encode("GET", "/jobs/7")))
    assert await poll_until(lambda: second.tunnel_server.tunnel_count == 1, 0.01, 1.0)
    assert second.limits.memory.used > used
    assert (await task).status == 200
    cluster.instances[0].connection_pool.close()
    assert await poll_until(lambda: second.limits.memory.used == used, 0.01, 1.0)


# Guards against frames that the other instance has to hold whole: a body of 4 MB took
# several copies of 2 MB there; and against a copy of the body that waits here.
async def test_large_body_passes_in_small_frames_as_they_are_taken():
    class Channel:
        sizes = ()
        taken = asyncio.Event()
        is_closing = False

        @property
        def writer(self):
            return self

        async def read(self):
            await asyncio.sleep(3600)

        def write(self, kind, payload):
            del kind
            self.sizes += (len(payload),)

        async def drain(self):
            await self.taken.wait()

        def abort(self):
            pass

    channel = Channel()
    connection = SimpleNamespace(connection_lost=lambda error: None)
    transport = TunnelTransport(channel, connection)
    transport.write(bytes(4_000_000))
    await asyncio.sleep(0.05)
    assert sum(channel.sizes) == CHUNK_BYTES
    transport.write(b"end")
    channel.taken.set()
    await asyncio.sleep(0.05)
    transport.abort()
    assert sum(channel.sizes) == 4_000_003
    assert max(channel.sizes) <= CHUNK_BYTES
    assert channel.sizes[-1] == 3
