"""When clients that are refused while the store is out are told to come back."""

import asyncio
from random import Random

import pytest

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.freshness import (
    choose_stale_retry_delay,
    find_start_retry_delay,
    find_start_wait,
)
from tanagerwalk.decisions.watchers import MIN_DOMAIN_SIZE
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest

STALE_AGE_S = 4.0


def count_served(timeout, outage):
    """Return the part of the clients in an outage that is served with one retry.

    Instances refuse from the time at which their copies are STALE_AGE_S old.
    """
    random = Random(1)
    arrivals = [random.uniform(STALE_AGE_S, outage) for _ in range(2000)]
    delays = [
        choose_stale_retry_delay(arrival, timeout, True, random.random())
        for arrival in arrivals
    ]
    come_back = map(sum, zip(arrivals, delays, strict=True))
    return sum(time >= outage for time in come_back) / len(arrivals)


@pytest.mark.parametrize("outage", [6.0, 8.0, 12.0])
def test_most_patient_clients_come_back_after_the_outage(outage):
    assert count_served(30.0, outage) >= 0.6


@pytest.mark.parametrize("timeout", [0.9, 4.0, 20.0])
def test_no_client_is_told_to_use_up_its_time(timeout):
    for age in (4.0, 8.0, 1e6, float("inf")):
        for draw in (0.0, 1.0):
            delay = choose_stale_retry_delay(age, timeout, True, draw)
            assert 0.2 <= delay <= timeout / 3.0


def test_client_of_an_instance_that_is_cut_off_alone_retries_at_once():
    assert choose_stale_retry_delay(8.0, 20.0, False, 1.0) == 0.2


def test_client_retries_soon_at_a_fleet_that_has_just_started():
    assert find_start_retry_delay(0.05) <= 0.3
    assert find_start_retry_delay(5.0) == 1.0


async def test_clients_are_told_to_wait_while_the_store_is_out_for_all():
    async with GatewayCluster() as cluster:
        await cluster.build(instances=MIN_DOMAIN_SIZE)
        instances = cluster.instances
        askers = []

        def has_one_watcher():
            askers[:] = [i for i in instances if not i.feed.is_watcher]
            return len(askers) == MIN_DOMAIN_SIZE - 1

        assert await poll_until(has_one_watcher, 0.05, 20.0)
        cluster.store.mode = "busy"
        (asker, *_) = askers
        assert await poll_until(lambda: not asker.freshness.is_fresh(), 0.05, 10.0)
        headers = {"X_Tanagerwalk_Deadline_Ms": "12000"}
        request = cluster.encode("GET", "/jobs/1", **headers)
        reply = await cluster.send(request, asker)
        assert reply.status == 503
        assert 1.5 <= float(reply.headers["retry-after"]) <= 4.0
        cluster.store.mode = "up"
        assert await poll_until(asker.freshness.is_fresh, 0.05, 2.0)


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
