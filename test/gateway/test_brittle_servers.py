"""Servers that fall over if they have to reject too many requests."""

import asyncio
import time

import pytest
from brittle_load import LEFT, SERVERS, BrittleLoad

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster
from tanagerwalk.standins.places import Places

pytestmark = pytest.mark.serial

ALLOWED_FALLS = 2.0 + 0.1 * SERVERS
WARM_UP_S = 1.5
BRITTLE_S = 10.0
# Of what the servers have room for; the rest pays for starts and round trips.
MIN_SERVED_SHARE = 0.8
NOT_RUN_OR_SERVED = {200, 429, 503}
MAY_HAVE_RUN = 502


def _check_cut_off(brittle, statuses):
    """Check that only a request that a fall has cut off may have run."""
    cut_off = brittle.count_cut_off()
    seen = f"{cut_off} cut off by {brittle.count_falls()} falls, {statuses}"
    assert statuses[MAY_HAVE_RUN] <= cut_off, seen


# Guards against LIMIT: servers that fall over under the requests that they reject.
@pytest.mark.parametrize("load", [0.9, 1.3])
async def test_brittle_servers_stay_up_and_clients_are_served(load):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0, instances=3)
        assert await cluster.wait_until_connected()
        brittle = BrittleLoad(cluster, load)
        await brittle.add_servers()
        traffic = asyncio.create_task(brittle.run(WARM_UP_S + BRITTLE_S))
        await asyncio.sleep(WARM_UP_S)
        began = time.monotonic()
        await brittle.become_brittle()
        await traffic
        falls = brittle.count_falls()
        await brittle.wait()
        statuses = brittle.count_statuses(began, began + BRITTLE_S)
        seen = f"{falls} falls, {statuses}"
        assert falls <= ALLOWED_FALLS, seen
        room = min(1.0, 1.0 / load) * statuses.total()
        assert statuses[200] >= MIN_SERVED_SHARE * room, seen
        assert statuses.keys() <= NOT_RUN_OR_SERVED | {MAY_HAVE_RUN}, seen
        _check_cut_off(brittle, statuses)


# Guards against LIMIT: requests whose clients have left, and which the servers go on
# with, hold places that nobody counts.
@pytest.mark.parametrize("work", [0.25, 1.0])
async def test_brittle_servers_stay_up_although_clients_leave(work):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0, instances=3)
        assert await cluster.wait_until_connected()
        brittle = BrittleLoad(cluster, load=0.9, leaving=0.3, work=work)
        await brittle.add_servers()
        traffic = asyncio.create_task(brittle.run(WARM_UP_S + BRITTLE_S))
        await asyncio.sleep(WARM_UP_S)
        began = time.monotonic()
        await brittle.become_brittle()
        await traffic
        falls = brittle.count_falls()
        await brittle.wait()
        statuses = brittle.count_statuses(began, began + BRITTLE_S)
        seen = f"{falls} falls, {statuses}"
        assert falls <= ALLOWED_FALLS, seen
        assert statuses.keys() <= NOT_RUN_OR_SERVED | {LEFT, MAY_HAVE_RUN}, seen
        _check_cut_off(brittle, statuses)


async def test_only_requests_that_a_fall_cuts_off_may_have_run():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0, instances=0)
        server = await cluster.add_server("desk-0", "desk", places=Places(2, 1))
        await cluster.add_instance("gateway-0")
        server.behaviour = Behaviour(delay=5.0)
        data = [cluster.encode("POST", f"/bookings/{n}", b"slot") for n in range(2)]
        under_way = [asyncio.create_task(cluster.send(each)) for each in data]
        assert await poll_until(lambda: server.places.load == "2,0,2", 0.01, 2.0)
        await server.fall(0.0)
        assert [(await each).status for each in under_way] == [MAY_HAVE_RUN] * 2
        assert server.cut_off == 2
        await server.fall(0.0)
        assert server.cut_off == 2
