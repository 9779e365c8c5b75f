"""Entries of the metadata store that other writers have left there."""

import asyncio
import json

import pytest
import pytest_asyncio
from odd_servers import NESTED, list_odd_entries

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=1)
        yield built


async def check_that_store_is_followed(cluster):
    """Assert that the instance runs, serves, and learns of a new server."""
    await asyncio.sleep(0.1)
    (instance,) = cluster.instances
    assert not instance.failed.is_set()
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
    assert not instance.failed.is_set()
