"""What clients are told before an instance has its first copy of the store."""

import asyncio

from tanagerwalk.decisions.freshness import find_start_retry_delay, find_start_wait
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest


def test_client_retries_soon_at_a_fleet_that_has_just_started():
    assert find_start_retry_delay(0.05) <= 0.3
    assert find_start_retry_delay(5.0) == 1.0


async def test_request_waits_a_moment_for_the_first_copy_after_a_start():
    """As after a restart of all instances, when no other one could answer."""
    async with GatewayCluster() as cluster:
        await cluster.add_server("desk-0", "desk")
        await cluster.store.put("op/config", build_manifest())
        cluster.store.mode = "busy"
        instance = cluster.build_instance("early")
        await instance.start()
        cluster.instances.append(instance)
        headers = {"X_Tanagerwalk_Deadline_Ms": "12000"}
        request = cluster.encode("GET", "/jobs/1", **headers)
        sent = asyncio.create_task(cluster.send(request))
        await asyncio.sleep(0.1)
        cluster.store.mode = "up"
        assert (await sent).status == 200


def test_no_request_waits_at_an_instance_that_has_waited_for_long():
    assert find_start_wait(0.1, 16.0) == 0.9
    assert find_start_wait(0.1, 0.8) == 0.05
    assert find_start_wait(4.0, 16.0) == 0.0
