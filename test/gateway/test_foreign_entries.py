"""Entries of the metadata store that other writers have left there."""

import asyncio
import json

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply

NESTING_DEPTH = 2000
NESTED = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH
SERVER = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a-1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
    "born": 1,
}


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=1)
        yield built


def nest(name, document=SERVER):
    """Return a document in which one field is a deeply nested list."""
    fields = [f'"{key}": {json.dumps(document[key])}' for key in document]
    fields = [field for field in fields if not field.startswith(f'"{name}"')]
    return ("{" + ", ".join([*fields, f'"{name}": {NESTED}']) + "}").encode()


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


# Guards against a nested value, in a field that is used or not, that ends the process.
@pytest.mark.parametrize("field", [*SERVER, "stage", "unknown"])
async def test_nested_field_of_a_server_names_no_server(cluster, field):
    await cluster.store.put("servers/other", nest(field))
    await check_that_store_is_followed(cluster)
    assert cluster.instances[0].servers.find("other") is None


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


MAX_PORT = 65535
ODD_ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:",
    ":9",
    "127.0.0.1:\u00b2",
    "127.0.0.1:\u0663",
    "127.0.0.1:0",
    "127.0.0.1:-9",
    "127.0.0.1:+9",
    "127.0.0.1: 9",
    f"127.0.0.1:{MAX_PORT + 1}",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1\x00:9",
    "127.0.0.1\r\n:9",
    "127.1:9",
    "256.0.0.1:9",
    "0.0.0.0:9",
    "224.0.0.1:9",
    "255.255.255.255:9",
    "[::]:9",
    "fe80::1%lo:9",
    "h" * 70 + ":9",
    "h" * 5000 + ":9",
    "..:9",
    "localhost:9",
    "xn--:9",
    "\u00e9ngine.example:9",
]


# Guards against an address that can't be connected to: it ended the process when it
# was read, or closed the connection of the client whose request was sent there.
@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_odd_address_names_no_server(cluster, address):
    entry = SERVER | {"address": address}
    await cluster.store.put("servers/other", json.dumps(entry).encode())
    await check_that_store_is_followed(cluster)
    assert cluster.instances[0].servers.find("other") is None
