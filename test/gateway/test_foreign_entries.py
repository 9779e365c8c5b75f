"""Entries of the metadata store that other writers have left there."""

import asyncio
import contextlib
import json

import pytest
import pytest_asyncio
import uvloop
from odd_servers import NESTED, encode_server, list_odd_entries

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=1)
        yield built


async def check_that_store_is_followed(cluster, instance=None):
    """Assert that the instance runs, serves, and learns of a new server."""
    await asyncio.sleep(0.1)
    instance = instance or cluster.instances[0]
    assert not instance.count_defects()
    reader, writer = await cluster.connect()
    for _ in range(4):
        writer.write(cluster.encode("POST", "/bookings/1", b"slot"))
        assert (await read_reply(reader)).status == 200
    writer.close()
    await cluster.add_server("desk-late", "desk")
    assert await poll_until(lambda: instance.servers.find("desk-late"), 0.01, 2.0)


# Guards against an entry that ends the process when it is read, or closes the
# connection of the client whose request is sent there.
async def test_odd_entries_name_no_server(cluster):
    entries = list_odd_entries()
    for key, value in entries:
        await cluster.store.put(key, value)
    await check_that_store_is_followed(cluster)
    servers = cluster.instances[0].servers
    found = [key for key, _ in entries if servers.find(key.removeprefix("servers/"))]
    assert found == []


async def test_instance_starts_beside_odd_entries(cluster):
    for key, value in list_odd_entries():
        await cluster.store.put(key, value)
    await cluster.instances.pop().close()
    await cluster.add_instance("gateway-late")
    await check_that_store_is_followed(cluster)


# Guards against a nested value that ends the process.
@pytest.mark.parametrize(
    "key",
    [
        "op/config",
        "op/rollout/desk",
        "tanagerwalk/instance/other",
        "tanagerwalk/rollout/desk",
        "status/rollout/desk",
    ],
)
@pytest.mark.parametrize("value", [NESTED, '{"a": ' + NESTED + "}", NESTED[:-1]])
async def test_nested_value_of_any_key_is_ignored(cluster, key, value):
    await cluster.store.put(key, value.encode())
    await check_that_store_is_followed(cluster)


ODD_PEERS = [
    {"address": "h" * 70, "port": 9},
    {"address": "", "port": 9},
    {"address": "\x00", "port": 9},
    {"address": "peer.example", "port": 9},
    {"address": "0.0.0.0", "port": 9},
    {"address": "::1%lo", "port": 9},
    {"address": "127.0.0.1", "port": 0},
    {"address": "127.0.0.1", "port": -1},
    {"address": "127.0.0.1", "port": 65536},
    {"address": "127.0.0.1", "port": 10**30},
    {"address": "127.0.0.1", "port": 9, "changes_port": -1},
    {"address": "127.0.0.1", "port": 9, "changes_port": 65536},
    {"address": "127.0.0.1", "port": 9, "changes_port": 10**30},
    {"address": "127.0.0.1", "port": 9, "changes_port": "9"},
    {"address": "127.0.0.1", "port": 9, "failure_domain": None},
]


# Guards against an address of another instance that ends the task that sends to it.
@pytest.mark.parametrize("peer", ODD_PEERS)
async def test_odd_peer_is_no_instance(cluster, peer):
    (instance,) = cluster.instances
    assert await poll_until(lambda: instance.sharing.has_key, 0.01, 2.0)
    value = json.dumps(peer).encode()
    await cluster.store.put("tanagerwalk/instance/other.1", value)
    await check_that_store_is_followed(cluster)
    assert instance.membership.peers == {}
    await asyncio.sleep(2.0 * instance.shared_loads.period)
    assert not instance.count_defects()


FOREIGN_STATUSES = [200, 204, 301, 302, 304, 400, 401, 403, 404, 405, 410, 451, 499]


class ForeignServer:
    """A server of another system: it knows neither attempt ids nor seals."""

    def __init__(self, status):
        self._answer = (
            f"HTTP/1.1 {status} Foreign\r\nContent-Length: 0\r\n\r\n".encode()
        )
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, find_address(), 0)
        return self

    async def __aexit__(self, *exc):
        self._server.close()

    @property
    def address(self):
        return f"{find_address()}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._answer)
        writer.close()


# Guards against an answer of whoever listens at the address of an odd entry: clients
# were told 401 or 404 for requests that the manifest allows.
@pytest.mark.parametrize("status", FOREIGN_STATUSES)
async def test_answer_of_another_system_is_no_answer(cluster, status):
    async with ForeignServer(status) as server:
        entry = encode_server(address=server.address)
        await cluster.store.put("servers/other", entry)
        find = cluster.instances[0].servers.find
        assert await poll_until(lambda: find("other"), 0.01, 2.0)
        statuses = set()
        for _ in range(8):
            cluster.instances[0].servers.end_pause(find("other").server)
            reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
            statuses.add(reply.status)
    assert statuses == {200}


# Guards against an address of another family, for which the event loop of a process
# raises, that ends the sending of load messages at all instances.
@pytest.mark.parametrize("address", ["::1", "fe80::1", "::ffff:127.0.0.1", "240.0.0.1"])
def test_peer_of_another_address_family_stops_no_messages(address):
    async def run():
        async with GatewayCluster() as cluster:
            await cluster.build(drafts=0, desks=1, instances=2)
            assert await cluster.wait_until_connected()
            await check_beside_peer(cluster, address)

    uvloop.run(run())


async def check_beside_peer(cluster, address):
    first, second = cluster.instances
    peer = json.dumps({"address": address, "port": 9, "changes_port": 9}).encode()
    # Before and after the other one in the order of the entries.
    for key in ("tanagerwalk/instance/a.1", "tanagerwalk/instance/z.1"):
        await cluster.store.put(key, peer)
    assert await poll_until(lambda: len(first.membership.peers) == 3, 0.01, 3.0)
    heard = []
    second.sharing._process = heard.append
    # An idle instance sends nothing.
    first.sharing._was_idle = False
    assert await poll_until(lambda: heard, 0.01, 10.0 * first.shared_loads.period)
    for instance in cluster.instances:
        assert not instance.count_defects()
    await check_that_store_is_followed(cluster, first)


# Guards against a table that grows with each entry that comes and goes.
async def test_entries_that_have_gone_leave_nothing_behind(cluster):
    state = cluster.instances[0].cluster_state
    known = set(state._decoded)
    for number in range(20):
        await cluster.store.put(f"servers/passing-{number}", encode_server())
    assert await poll_until(lambda: len(state._decoded) >= len(known) + 20, 0.01, 2.0)
    for number in range(20):
        await cluster.store.remove(f"servers/passing-{number}")
    assert await poll_until(lambda: set(state._decoded) == known, 0.01, 5.0)
