"""Instances that can't reach any backend server, while others can."""

import asyncio

import pytest

from tanagerwalk.standins.gateway_cluster import GatewayCluster
from tanagerwalk.standins.paths import Cut, ServerPath

pytestmark = pytest.mark.serial

# The rules' limits: when they begin to count, and what they then allow.
CONTACT_S = 3.0
MIN_SERVED_RATIO = 2.0 / 3.0
MAX_FAILURES = 10
MAX_FAILED_SHARE = 1.0 / 50.0
# Share of a client's time for which a request that can't be served may be held.
MAX_HELD_SHARE = 1.0 / 8.0
CLIENT_TIME_S = 4.0
ROUNDS = 6
PAUSE_S = 0.05


def encode_requests(cluster):
    return [
        cluster.encode("GET", "/jobs/7"),
        cluster.encode("POST", "/bookings/7", b"slot"),
        cluster.encode_plan(),
    ]


async def count_served(cluster, instances):
    """Return how many first attempts were sent to some instances, and served."""
    tasks = []
    for _ in range(ROUNDS):
        for instance in instances:
            for data in encode_requests(cluster):
                tasks.append(asyncio.create_task(cluster.send(data, instance)))
        await asyncio.sleep(PAUSE_S)
    replies = await asyncio.gather(*tasks)
    return len(tasks), sum(r.status == 200 and r.complete for r in replies)


# Guards against RECOVER: an instance cut off from all servers served next to nothing,
# though other instances, which it reached, could connect to them.
@pytest.mark.parametrize("how", Cut)
async def test_first_attempts_at_instances_cut_from_all_servers_are_served(how):
    async with GatewayCluster() as cluster:
        await cluster.build(instances=3)
        paths = [ServerPath(i) for i in cluster.instances]
        await count_served(cluster, cluster.instances)
        for path in paths[:2]:
            path.cut(how)
        await asyncio.sleep(CONTACT_S)
        (sent, served), (others_sent, others_served) = await asyncio.gather(
            count_served(cluster, cluster.instances[:2]),
            count_served(cluster, cluster.instances[2:]),
        )
    limit = MIN_SERVED_RATIO * others_served / others_sent
    failed = sent - served + others_sent - others_served
    is_within_failures = failed <= MAX_FAILURES + MAX_FAILED_SHARE * sent
    assert served / sent >= limit or is_within_failures


# Guards against requests held until their deadline by an instance that knows that
# neither it nor any other instance reaches a server.
@pytest.mark.parametrize("how", [Cut.SILENT, Cut.RESET])
async def test_request_is_refused_early_if_no_instance_reaches_a_server(how):
    async with GatewayCluster() as cluster:
        await cluster.build(instances=2)
        paths = [ServerPath(i) for i in cluster.instances]
        await count_served(cluster, cluster.instances)
        for path in paths:
            path.cut(how)
        await asyncio.sleep(CONTACT_S)
        await count_served(cluster, cluster.instances)
        began = asyncio.get_running_loop().time()
        reply = await cluster.send(cluster.encode("POST", "/bookings/7", b"slot"))
        held = asyncio.get_running_loop().time() - began
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) <= CLIENT_TIME_S / 3.0
    assert held <= MAX_HELD_SHARE * CLIENT_TIME_S
