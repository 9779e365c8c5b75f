"""Entries of the metadata store that other writers have left there."""

import asyncio
import json

import pytest
import pytest_asyncio

from tanagerwalk.standins.gateway_cluster import GatewayCluster

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
    for _ in range(4):
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 200
    await cluster.add_server("desk-late", "desk")
    async with asyncio.timeout(2.0):
        while instance.servers.find("desk-late") is None:
            await asyncio.sleep(0.01)


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
