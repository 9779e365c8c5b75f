"""Requests that end while they wait for the release of their session."""

import asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.gateway_cluster import GatewayCluster


async def _wait_for_owners(request, service):
    del request, service
    await asyncio.sleep(3600.0)


def count_ended(instance, end):
    name = "tanagerwalk_gateway_requests_total"
    registry = instance.metrics.registry
    return registry.get_sample_value(name, {"end": end}) or 0.0


async def build(cluster):
    await cluster.build()
    [instance] = cluster.instances
    instance.assigner.assign = _wait_for_owners
    sent = asyncio.create_task(cluster.send(cluster.encode("GET", "/jobs/1")))
    await asyncio.sleep(0.2)
    return instance, sent


# Guards against an internal error in place of the refusal of an instance that stops.
async def test_request_without_assignment_is_refused_by_a_stop():
    async with GatewayCluster() as cluster:
        instance, sent = await build(cluster)
        instance.stop_control.end_all()
        reply = await sent
        assert reply.status == 503
        assert b"not run" in reply.body
        assert count_ended(instance, "stopping") == 1.0


async def test_client_that_leaves_before_the_assignment_is_counted():
    async with GatewayCluster() as cluster:
        instance, sent = await build(cluster)
        sent.cancel()
        assert await poll_until(lambda: count_ended(instance, "left"), 0.05, 3.0)
