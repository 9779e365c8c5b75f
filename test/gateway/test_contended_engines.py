"""Requests of two accounts that compete for the slots of an engine."""

import asyncio
import time

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest
from tanagerwalk.standins.places import Places

pytestmark = pytest.mark.serial

PRIORITY = "x-tanagerwalk-request-priority"
ACCOUNT = "x-tanagerwalk-tenant"
EVENT_S = 0.2
WAIT_S = 5.0
FLOODING_CONNECTIONS = 40
FLOOD_S = 6.0
# Until the demands of the accounts are known.
SETTLE_S = 3.0
QUIET_PAUSE_S = 0.1
MIN_SERVED_SHARE = 0.9
EQUAL_TENANTS = [
    {"name": name, "api_keys": [f"key-{name}"], "priority": 5}
    for name in ("flood", "quiet", "other")
]
TENANTS = [
    {"name": "urgent", "api_keys": ["key-u"], "priority": 1},
    {"name": "patient", "api_keys": ["key-p"], "priority": 7},
]


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=0, instances=2)
        assert await built.wait_until_connected()
        await built.store.put("op/config", build_manifest(tenants=TENANTS))
        server = await built.add_server("draft-0", "drafts", places=Places(4, 33))
        server.behaviour = Behaviour(delay=EVENT_S)
        assert await poll_until(
            lambda: all(
                "key-u" in i.cluster_state.manifest.accounts
                and i.servers.find("draft-0") is not None
                for i in built.instances
            ),
            0.02,
            WAIT_S,
        )
        yield built


def send(cluster, count, key):
    """Send requests of an account, by turns to each instance."""
    return [
        asyncio.create_task(
            cluster.send(
                cluster.encode_plan(X_Tanagerwalk_Key=key),
                cluster.instances[number % len(cluster.instances)],
            )
        )
        for number in range(count)
    ]


def list_priorities(cluster, account):
    requests = cluster.servers["draft-0"].requests
    return [r.headers.get(PRIORITY) for r in requests if r.headers[ACCOUNT] == account]


# Load: two requests for each slot, then two of an account that goes first.
async def test_requests_of_an_urgent_account_pass_those_that_wait(cluster):
    patient = send(cluster, 9, "key-p")
    monitors = [instance.contention_monitor for instance in cluster.instances]
    assert await poll_until(
        lambda: all(monitor.refresh("drafts").is_contended for monitor in monitors),
        0.02,
        WAIT_S,
    )
    page = cluster.instances[0].metrics.render().decode()
    assert 'tanagerwalk_gateway_contended{service="drafts"} 1.0' in page
    urgent = await asyncio.gather(*send(cluster, 2, "key-u"))
    assert sum(task.done() for task in patient) < 9
    late = await asyncio.gather(*send(cluster, 1, "key-p"), *patient)
    assert {reply.status for reply in (*urgent, *late)} == {200}
    first_of_urgent = list_priorities(cluster, "urgent")
    assert max(map(int, first_of_urgent)) < int(list_priorities(cluster, "patient")[-1])


# Load: one request at a time.
async def test_requests_that_find_a_slot_bear_no_priority(cluster):
    for _ in range(4):
        (reply,) = await asyncio.gather(*send(cluster, 1, "key-u"))
        assert reply.status == 200
    assert list_priorities(cluster, "urgent") == [None] * 4


async def repeat(cluster, instance, key, ends_at):
    """Send one request after the other, whatever comes back."""
    while time.monotonic() < ends_at:
        await cluster.send(cluster.encode_plan(X_Tanagerwalk_Key=key), instance)
        await asyncio.sleep(0.02)


# Load: one account keeps 80 requests at engines that serve 16 at a time; another one
# asks for a fifth of what they do. Guards against refusals that hit both alike.
async def test_account_within_its_share_is_served_beside_a_flood():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0, instances=2)
        assert await cluster.wait_until_connected()
        await cluster.store.put("op/config", build_manifest(2, tenants=EQUAL_TENANTS))
        for number in range(2):
            places = Places(8, 64)
            server = await cluster.add_server(
                f"draft-{number}", "drafts", places=places
            )
            server.behaviour = Behaviour(delay=0.05)
        assert await poll_until(
            lambda: all(
                "key-quiet" in i.cluster_state.manifest.accounts
                and i.servers.find("draft-1") is not None
                for i in cluster.instances
            ),
            0.02,
            WAIT_S,
        )
        ends_at = time.monotonic() + FLOOD_S
        flood = [
            asyncio.create_task(repeat(cluster, instance, "key-flood", ends_at))
            for instance in cluster.instances
            for _ in range(FLOODING_CONNECTIONS)
        ]
        await asyncio.sleep(SETTLE_S)
        quiet = []
        while time.monotonic() < ends_at:
            quiet += send(cluster, 1, "key-quiet")
            await asyncio.sleep(QUIET_PAUSE_S)
        replies = await asyncio.gather(*quiet)
        await asyncio.gather(*flood)
    served = sum(reply.status == 200 for reply in replies)
    assert served >= MIN_SERVED_SHARE * len(replies), f"{served} of {len(replies)}"
