"""Parts of prompts that crash servers, in requests of which no two are alike."""

import asyncio
import itertools

import pytest_asyncio

from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

CRASHING_PART = "dead"
# From the fifth crash on, the whole fleet may send this many more requests with the
# part once the news has had its time.
MAX_CRASHES = 5
MAX_LATER_SENDS = 3
NEWS_S = 3.0
RESTART_S = 0.3
# Sound requests between two that crash their servers.
SOUND_REQUESTS = 6


class CrashingFleet:
    """Two gateway instances before engines that crash on one part and come back."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.servers = []
        self._numbers = itertools.count()

    async def start_server(self):
        server = await self.cluster.add_server(f"start-{len(self.servers)}", "drafts")
        server.behaviour = Behaviour(crashing_part=CRASHING_PART, delay=0.02)
        self.servers.append(server)

    async def restart_crashed(self):
        """Replace each server that crashes by a new start, some time later."""
        restarted = set()
        while True:
            await asyncio.sleep(RESTART_S)
            for server in list(self.servers):
                if server.has_crashed and server not in restarted:
                    restarted.add(server)
                    await self.cluster.store.remove(f"servers/{server.id}")
                    await self.start_server()

    @property
    def crash_count(self):
        return sum(server.has_crashed for server in self.servers)

    def count_sends(self):
        return sum(
            f",{CRASHING_PART}:" in request.headers["x-tanagerwalk-prompt-prefix"]
            for server in self.servers
            for request in server.requests
        )

    async def send(self, middle=""):
        """Send a request with the shared first and caller's parts, and its own last."""
        number = next(self._numbers)
        prefix = f"first:500,caller:300,{middle}own{number}:100"
        data = self.cluster.encode_plan(X_Tanagerwalk_Prompt_Prefix=prefix)
        instances = self.cluster.instances
        return await self.cluster.send(data, instances[number % len(instances)])

    async def send_crashing(self):
        return await self.send(f"{CRASHING_PART}:90,")

    async def send_round(self):
        """Send sound requests with one between them that crashes; return the former."""
        sends = [self.send() for _ in range(SOUND_REQUESTS)]
        sends.insert(SOUND_REQUESTS // 2, self.send_crashing())
        replies = await asyncio.gather(*sends)
        del replies[SOUND_REQUESTS // 2]
        return replies


@pytest_asyncio.fixture
async def fleet():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0, instances=2)
        fleet = CrashingFleet(cluster)
        for _ in range(5):
            await fleet.start_server()
        assert await cluster.wait_until_connected()
        # What is sound has been answered before.
        await asyncio.gather(*(fleet.send() for _ in range(8)))
        task = asyncio.create_task(fleet.restart_crashed())
        yield fleet
        task.cancel()


# Guards against BUDGET: a part that crashes servers in requests of which no two are
# alike, so that none of them is ever sent three times.
async def test_requests_with_a_part_that_crashes_servers_are_refused(fleet):
    for _ in range(6):
        await fleet.send_round()
        await asyncio.sleep(RESTART_S)
    await asyncio.sleep(NEWS_S)
    before = fleet.count_sends()
    for _ in range(6):
        await fleet.send_round()
        await asyncio.sleep(RESTART_S)
    assert fleet.crash_count <= MAX_CRASHES
    assert fleet.count_sends() - before <= MAX_LATER_SENDS


# Guards against LOST: sound requests that are refused with those that share their
# caller and first part.
async def test_sound_requests_beside_a_crashing_part_are_answered(fleet):
    for _ in range(3):
        await fleet.send_round()
        await asyncio.sleep(RESTART_S)
    await asyncio.sleep(NEWS_S)
    sent_before = sum(len(server.requests) for server in fleet.servers)
    replies = [reply for _ in range(4) for reply in await fleet.send_round()]
    sent = sum(len(server.requests) for server in fleet.servers) - sent_before
    assert all(reply.status == 200 and reply.complete for reply in replies)
    # Each at its first attempt.
    assert sent <= len(replies) + MAX_LATER_SENDS
