"""Backend servers on slow machines that report it, behind real instances."""

import asyncio
import random

import pytest
import pytest_asyncio

from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster
from tanagerwalk.standins.places import Places

pytestmark = pytest.mark.serial

INSTANCES = 3
SLOTS = 6
WORK_S = 0.06
REQUESTS_PER_S = 120.0
SECONDS = 4.0


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=6, instances=INSTANCES)
        assert await built.wait_until_connected()
        for number, server in enumerate(built.servers.values()):
            server.places = Places(SLOTS, 50)
            slowdown = 3.0 if number < 2 else 1.0
            server.behaviour = Behaviour(delay=WORK_S, slowdown=slowdown)
        yield built


async def test_servers_three_times_slower_get_less_and_are_not_put_out(cluster):
    """A load header with a fourth figure was dropped, and the counts with it."""
    source = random.Random(1)
    replies = []
    for _ in range(int(SECONDS * REQUESTS_PER_S)):
        data = cluster.encode("GET", "/jobs/7")
        instance = source.choice(cluster.instances)
        replies.append(asyncio.create_task(cluster.send(data, instance)))
        await asyncio.sleep(source.expovariate(REQUESTS_PER_S))
    assert {reply.status for reply in await asyncio.gather(*replies)} == {200}
    counts = [len(server.requests) for server in cluster.servers.values()]
    assert 0 < sum(counts[:2]) < 0.12 * sum(counts)
    for instance in cluster.instances:
        known = instance.servers
        usages = [known.find(server_id) for server_id in cluster.servers]
        assert all(usage.paused_until == float("-inf") for usage in usages)
        now = instance.clock()
        slowdowns = [known.speeds.estimate(hash_life(u.server), now) for u in usages]
        assert min(slowdowns[:2]) > 1.5 * max(slowdowns[2:])
