"""Instances that prefer the backend servers of their own failure domain."""

import asyncio
import dataclasses

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.registry import ServerState
from tanagerwalk.standins.gateway_cluster import GatewayCluster

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}
WAIT_S = 5.0


def read_metric(instance, name, **labels):
    registry = instance.metrics.registry
    return registry.get_sample_value(f"tanagerwalk_gateway_{name}", labels)


async def send_many(cluster, count):
    sent = [cluster.send(cluster.encode("GET", "/jobs/7")) for _ in range(count)]
    return [reply.status for reply in await asyncio.gather(*sent)]


async def start_servers(cluster):
    await cluster.build(drafts=0, desks=0)
    for domain in REGIONS:
        await cluster.add_server(domain, "desk", domain=domain)
    servers = cluster.instances[0].servers
    assert await poll_until(lambda: len(servers.list_usages("desk")) == 3, 0.01, WAIT_S)


async def test_requests_stay_and_are_counted_by_distance():
    async with GatewayCluster(REGIONS) as cluster:
        await start_servers(cluster)
        for _ in range(10):
            assert await send_many(cluster, 1) == [200]
        (instance,) = cluster.instances
        assert len(cluster.servers["a-1"].requests) == 10
        name = "attempt_distances_total"
        assert read_metric(instance, name, distance="same_domain") == 10
        assert read_metric(instance, name, distance="same_region") is None


async def test_requests_leave_when_the_last_own_server_drains():
    async with GatewayCluster(REGIONS) as cluster:
        await start_servers(cluster)
        (instance,) = cluster.instances
        usage = instance.servers.find("a-1")
        usage.server = dataclasses.replace(usage.server, state=ServerState.DRAINING)
        assert await send_many(cluster, 5) == [200] * 5
        assert not cluster.servers["a-1"].requests
        assert read_metric(
            instance, "attempt_distances_total", distance="same_region"
        ) == len(cluster.servers["a-2"].requests)
        instance.metrics_page.render()
        assert read_metric(instance, "departures", reason="no_server") == 5
