"""A server whose address another one seemed to have taken."""

import json

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

WAIT_S = 3.0


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=1)
        yield built


async def send_one(cluster):
    return (await cluster.send(cluster.encode("GET", "/jobs/1"))).status


@pytest.mark.parametrize("sequence", [2, 3])
async def test_server_that_writes_again_after_a_421_is_used(cluster, sequence):
    """Guards against one wrong answer that takes a server out of use for good."""
    (instance,) = cluster.instances
    server = cluster.servers["desk-0"]
    server.behaviour = Behaviour("misdirect", 1)
    assert await send_one(cluster) == 503
    key, value = server.build_entry("desk", "a-1")
    entry = json.loads(value) | {"sequence": sequence}
    before = instance.mirror.entries[key].revision
    await cluster.store.put(key, json.dumps(entry).encode())
    assert await poll_until(
        lambda: instance.mirror.entries[key].revision > before, 0.01, WAIT_S
    )
    assert await send_one(cluster) == 200
