"""Servers that have just started and bear few requests, behind several instances."""

import asyncio
import json
import math
import random
import time
from dataclasses import replace

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest
from tanagerwalk.standins.places import Places

pytestmark = pytest.mark.serial

WAIT_S = 5.0
INSTANCES = 3
SERVERS = 4
SLOTS = 6
WORK_S = 0.06
COLD_START_S = 4.0
COLD_RATE = 8.0
# Of the rule, with the default bounds: 1.5 times the rate, and five more.
MOST = 17
DOWN_S = 1.0
LOAD = 0.6


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=0, instances=INSTANCES)
        services = json.loads(build_manifest())["services"]
        services[1] |= {"cold_start_s": COLD_START_S, "cold_per_s": COLD_RATE}
        await built.store.put("op/config", build_manifest(2, services=services))
        for number in range(SERVERS):
            places = Places(SLOTS, 2 * SLOTS)
            server = await built.add_server(f"desk-{number}", "desk", places=places)
            server.behaviour = Behaviour(delay=WORK_S)
            server.coldness.start_time = COLD_START_S
        assert await built.wait_until_connected()
        yield built


async def send_for(cluster, seconds):
    """Send requests at random times to all instances and return the statuses."""
    pick = random.Random(1)
    rate = LOAD * SERVERS * SLOTS / WORK_S
    ends_at = time.monotonic() + seconds
    next_at = time.monotonic()
    replies = []
    while next_at < ends_at:
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        next_at += pick.expovariate(rate)
        data = cluster.encode("GET", "/jobs/7")
        sending = cluster.send(data, pick.choice(cluster.instances))
        replies.append(asyncio.create_task(sending))
    return [reply.status for reply in await asyncio.gather(*replies)]


async def restart(cluster, name, entry_delay):
    server = cluster.servers[name]
    await server.fall(DOWN_S)
    await asyncio.sleep(entry_delay)
    await cluster.store.put(*server.build_entry("desk", "a-1"))


def count_slots(instance, answer):
    return instance.metrics.limit_slots.labels(answer)._value.get()


# Guards against an instance without a part of a limit that refuses while another one
# has a slot.
async def test_instance_without_a_part_is_granted_the_slot_of_another_one(
    cluster, monkeypatch
):
    # The first one to register has the only part of each limit all the time.
    monkeypatch.setattr("tanagerwalk.decisions.server_limits.SETTLE_S", 600.0)
    services = json.loads(build_manifest())["services"]
    services[1] |= {"cold_start_s": 60.0, "cold_per_s": 1.0}
    bounds = replace(cluster.instances[0].settings.bounds, cold_slack=0.0)
    for instance in cluster.instances:
        instance.settings = replace(instance.settings, bounds=bounds)
    await cluster.store.put("op/config", build_manifest(3, services=services))
    assert await poll_until(
        lambda: all(i.cluster_state.manifest.version == 3 for i in cluster.instances),
        0.02,
        WAIT_S,
    )
    for instance in cluster.instances:
        instance.cold_watch.mark_cold({"a-1"})
    [holder] = [i for i in cluster.instances if list_waits(i)]
    asker = next(i for i in cluster.instances if i is not holder)
    assert await poll_until(lambda: max(list_waits(holder)) == 0.0, 0.02, WAIT_S)
    status = 503
    ends_at = time.monotonic() + WAIT_S
    while status == 503 and time.monotonic() < ends_at:
        # A slow machine may miss the window of a slot.
        status = (await cluster.send(cluster.encode("GET", "/jobs/7"), asker)).status
    assert status == 200
    requests = [r for s in cluster.servers.values() for r in s.requests]
    assert len(requests) == 1
    assert count_slots(asker, "slot_granted") >= 1


def list_waits(instance):
    """Return the seconds until the slots of the own parts of limits."""
    limits, now = instance.servers.limits, instance.clock()
    waits = [
        limits.find_wait(life, now) for life in instance.servers.list_lives("desk")
    ]
    return [wait for wait in waits if math.isfinite(wait)]


def count_cold(cluster):
    clock = cluster.instances[0].clock
    return [i.servers.limits.cold.count(clock()) for i in cluster.instances]


# Guards against FAILBACK: a server that is back looks idle to all instances at once,
# also before its new entry is read.
@pytest.mark.parametrize("entry_delay", [0.0, 1.0])
async def test_server_that_is_back_cold_gets_few_requests_until_it_is_warm(
    cluster, entry_delay
):
    # The servers count as started a moment ago.
    await asyncio.sleep(COLD_START_S)
    sending = asyncio.create_task(send_for(cluster, 1.0 + DOWN_S + COLD_START_S + 5.0))
    await asyncio.sleep(1.0)
    await restart(cluster, "desk-0", entry_delay)
    statuses = await sending
    served = statuses.count(200) / len(statuses)
    server = cluster.servers["desk-0"]
    assert 0 < server.coldness.most <= MOST
    assert served >= 0.95
    recent = time.monotonic() - 1.0
    assert sum(r.received_at >= recent for r in server.requests) > 2 * MOST


async def test_server_that_becomes_cold_again_is_heard_by_its_entry(cluster):
    await asyncio.sleep(COLD_START_S)
    server = cluster.servers["desk-0"]
    server.coldness.begin(2.0)
    await cluster.store.put(*server.build_entry("desk", "a-1"))
    assert await poll_until(lambda: count_cold(cluster) == [1] * 3, 0.02, WAIT_S)
    server.coldness.begin(1.0)
    await send_for(cluster, 1.0)
    assert 0 < server.coldness.most <= MOST
    assert await poll_until(lambda: count_cold(cluster) == [0] * 3, 0.02, WAIT_S)


async def test_servers_of_a_domain_are_cold_after_its_evacuation(cluster):
    await asyncio.sleep(COLD_START_S)
    instance = cluster.instances[0]
    instance.cold_watch.mark_cold({"a-1"})
    assert count_cold(cluster) == [SERVERS, 0, 0]
    assert b"cold_servers 4.0" in instance.metrics_listener.render_response()


@pytest.mark.parametrize("changes", [{}, {"cold_start_s": 4.0}, {"cold_per_s": 8.0}])
async def test_service_without_a_cold_time_is_served_as_before(cluster, changes):
    services = json.loads(build_manifest())["services"]
    services[1] |= changes
    await cluster.store.put("op/config", build_manifest(3, services=services))
    server = cluster.servers["desk-0"]
    server.coldness.begin(WAIT_S)
    await cluster.store.put(*server.build_entry("desk", "a-1"))
    assert await poll_until(
        lambda: all(i.cluster_state.manifest.version == 3 for i in cluster.instances),
        0.02,
        WAIT_S,
    )
    assert await poll_until(lambda: count_cold(cluster) == [0] * 3, 0.02, WAIT_S)


# Guards against FAILBACK where no request shows that the server was down.
async def test_server_that_crashed_while_nothing_was_sent_is_known_to_be_cold(cluster):
    await asyncio.sleep(COLD_START_S)
    await send_for(cluster, 1.0)
    server = cluster.servers["desk-0"]
    await server.fall(DOWN_S)
    await send_for(cluster, 1.5)
    assert 0 < server.coldness.most <= MOST
