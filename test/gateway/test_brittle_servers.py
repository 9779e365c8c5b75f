"""Servers that fall over if they have to reject too many requests."""

import asyncio
import time

import pytest
from brittle_load import LEFT, SERVERS, BrittleLoad

from tanagerwalk.standins.gateway_cluster import GatewayCluster

ALLOWED_FALLS = 2.0 + 0.1 * SERVERS
WARM_UP_S = 1.5
BRITTLE_S = 10.0
# Of what the servers have room for; the rest pays for starts and round trips.
MIN_SERVED_SHARE = 0.8
NOT_RUN_OR_SERVED = {200, 429, 503}


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
        assert falls <= ALLOWED_FALLS, statuses
        room = min(1.0, 1.0 / load) * statuses.total()
        assert statuses[200] >= MIN_SERVED_SHARE * room, statuses
        assert statuses.keys() <= NOT_RUN_OR_SERVED


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
        assert falls <= ALLOWED_FALLS, statuses
        assert statuses.keys() <= NOT_RUN_OR_SERVED | {LEFT}
