"""Time between the store's acknowledgement of a change and its being in force."""

import asyncio
import json
import random
import time

import pytest

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.gateway_cluster import (
    GatewayCluster,
    build_manifest,
    read_reply,
)

# The rule's bound, from the acknowledgement on.
BOUND_S = 2.5
POLL_S = 0.01
SHARED_DOMAIN_SIZE = 6


class Changes:
    """Writes manifests, and measures when all instances have put them in force."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.version = 1
        self.delays = []
        self._tasks = []

    async def write(self, manifest=None):
        """Write the next version; its delay is measured meanwhile."""
        self.version += 1
        manifest = manifest or build_manifest(self.version)
        await self.cluster.store.put("op/config", manifest)
        self._tasks.append(asyncio.create_task(self._measure(self.version)))

    async def _measure(self, version):
        acked_at = time.monotonic()
        await poll_until(lambda: self._is_in_force(version), POLL_S, 4.0 * BOUND_S)
        self.delays.append(time.monotonic() - acked_at)

    def _is_in_force(self, version):
        instances = self.cluster.instances
        return all(i.cluster_state.manifest.version >= version for i in instances)

    async def wait(self):
        """Wait until all are in force; return the longest delay in seconds."""
        await asyncio.gather(*self._tasks)
        return max(self.delays)

    async def wait_for_read(self):
        """Wait until the first instance has just read changes."""
        mirror = self.cluster.instances[0].mirror
        before = mirror.confirmed_at
        await poll_until(lambda: mirror.confirmed_at > before, 0.001, BOUND_S)


# Guards against CONFIG: a pause, a lost answer and a pause that are each short enough.
async def test_change_is_in_force_in_time_if_the_answer_to_its_read_is_lost():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=1)
        changes = Changes(cluster)
        await changes.wait_for_read()
        cluster.store.lost_answers = 1
        await changes.write()
        assert await changes.wait() <= BOUND_S


# Guards against CONFIG: dead connections, each of which costs one timeout.
async def test_change_is_in_force_in_time_if_all_open_connections_are_dead():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=1)
        store = cluster.instances[0].store
        calls = [store.get("op/config") for _ in range(3)]
        await asyncio.gather(*calls)
        changes = Changes(cluster)
        await changes.wait_for_read()
        cluster.store.silence_connections()
        await changes.write()
        assert await changes.wait() <= BOUND_S


# Guards against CONFIG: answers lost in a row, of the read and of the watch beside it,
# and dead connections on top.
@pytest.mark.parametrize("are_dead", [False, True], ids=["alive", "dead"])
@pytest.mark.parametrize("lost", [2, 3, 4])
async def test_change_is_in_force_in_time_if_answers_are_lost_in_a_row(lost, are_dead):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=1)
        changes = Changes(cluster)
        await changes.wait_for_read()
        cluster.store.lost_answers = lost
        if are_dead:
            cluster.store.silence_connections()
        await changes.write()
        assert await changes.wait() <= BOUND_S


# Guards against CONFIG where the history is gone and the list after it gets no answer.
@pytest.mark.parametrize("lost", [1, 2])
async def test_change_is_in_force_in_time_if_answers_to_lists_are_lost(lost):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=1)
        changes = Changes(cluster)
        await changes.wait_for_read()
        cluster.store.lost_lists = lost
        await changes.write()
        cluster.store.compact()
        assert await changes.wait() <= BOUND_S
        assert cluster.store.lost_lists == 0


def move_routes(version, moves):
    """Return a manifest in which routes lead to copies of their services."""
    manifest = json.loads(build_manifest(version))
    for route in manifest["routes"]:
        route["service"] = moves[route["service"]]
    copies = [s | {"name": moves[s["name"]]} for s in manifest["services"]]
    manifest["services"] += copies
    return json.dumps(manifest).encode()


# Guards against CONFIG: a choice that was made before a change and outlives it, of a
# session, on a kept connection of a client or of a server.
async def test_sessions_and_connections_follow_a_route_to_its_new_service():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=2, desks=2, instances=2)
        await cluster.add_server("new-draft", "new-drafts")
        await cluster.add_server("new-desk", "new-desk")
        connections = [await cluster.connect(i) for i in cluster.instances]

        async def send_all():
            for reader, writer in connections:
                writer.write(cluster.encode_plan(Session="s1"))
                assert (await read_reply(reader)).status == 200
                writer.write(cluster.encode("GET", "/jobs/7", Session="s1"))
                assert (await read_reply(reader)).status == 200

        await send_all()
        changes = Changes(cluster)
        moves = {"drafts": "new-drafts", "desk": "new-desk"}
        await changes.write(move_routes(2, moves))
        assert await changes.wait() <= BOUND_S
        for server in cluster.servers.values():
            server.requests.clear()
        await send_all()
        reached = {name for name, s in cluster.servers.items() if s.requests}
        assert reached == {"new-draft", "new-desk"}
        for _, writer in connections:
            writer.close()


# Guards against CONFIG where one instance watches the store for others.
@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_change_is_in_force_in_time_in_a_domain_that_shares_its_watcher(lost):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=SHARED_DOMAIN_SIZE)
        assert await cluster.wait_until_connected()
        await asyncio.sleep(1.0)
        assert sum(i.feed.is_watcher for i in cluster.instances) == 1
        changes = Changes(cluster)
        cluster.store.lost_answers = lost
        await changes.write()
        assert await changes.wait() <= BOUND_S


# Guards against CONFIG under anything that may come between ack and force.
@pytest.mark.parametrize("seed", range(3))
async def test_changes_are_in_force_in_time_whatever_the_store_does(seed):
    numbers = random.Random(seed)
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=3)
        assert await cluster.wait_until_connected()
        changes = Changes(cluster)
        for _ in range(16):
            step = numbers.choice(["lose", "silence", "compact", "write", "storm"])
            if step == "lose":
                cluster.store.lost_answers = numbers.randint(1, 2)
            if step == "silence":
                cluster.store.silence_connections()
            if step == "compact":
                cluster.store.compact()
            for _ in range(5 if step == "storm" else 1):
                await changes.write()
                await asyncio.sleep(0.05 * numbers.random())
            await asyncio.sleep(0.8 * numbers.random())
        assert await changes.wait() <= BOUND_S
