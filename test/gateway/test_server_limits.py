"""Servers that name the requests a second that they take from all instances."""

import asyncio
import time

import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.backend import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

WAIT_S = 5.0
INSTANCES = 3
# The rule counts from this time after the first such answer on.
NEWS_S = 3.0
WINDOW_S = 4.0


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=2, instances=INSTANCES)
        assert await poll_until(lambda: is_connected(built), 0.02, WAIT_S)
        yield built


def is_connected(cluster):
    """Return whether the instances know each other and the key of the fleet."""
    return all(
        len(instance.membership.peers) == INSTANCES - 1
        and instance.sharing._secret is not None
        for instance in cluster.instances
    )


async def send_for(cluster, seconds, pause=0.02):
    """Send requests through all instances for a while and return the statuses."""
    ends_at = time.monotonic() + seconds
    replies = []
    while time.monotonic() < ends_at:
        for instance in cluster.instances:
            data = cluster.encode("GET", "/jobs/7")
            replies.append(asyncio.create_task(cluster.send(data, instance)))
        await asyncio.sleep(pause)
    return [reply.status for reply in await asyncio.gather(*replies)]


def count_most(server, since):
    """Return the most requests that a server got in any window since a time."""
    times = [r.received_at for r in server.requests if r.received_at >= since]
    return max(
        (sum(start <= at < start + WINDOW_S for at in times) for start in times),
        default=0,
    )


def allow(limit):
    return 1.5 * limit * WINDOW_S + 5.0


# Guards against LIMIT: more requests than a server in need takes from all instances.
async def test_server_with_a_limit_gets_no_more_than_that_from_the_fleet(cluster):
    limit = 2.0
    server = cluster.servers["desk-0"]
    server.behaviour = Behaviour(limit=str(limit))
    began = time.monotonic()
    statuses = await send_for(cluster, NEWS_S + 2.0 * WINDOW_S)
    assert count_most(server, began + NEWS_S) <= allow(limit)
    assert set(statuses) == {200}
