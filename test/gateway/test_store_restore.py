"""A store that comes back from an older copy, in a new era."""

import asyncio
import random

import pytest
import pytest_asyncio

from tanagerwalk.changes import combine_revision, split_revision
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.components import FLEET_KEY_NAME
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.gateway_cluster import (
    API_KEY,
    GatewayCluster,
    build_manifest,
)
from tanagerwalk.standins.metadata import MetadataStandIn
from tanagerwalk.writes import Write

WAIT_S = 5.0
OTHER_KEY = "key-of-the-archive"


def build_accounts(*keys):
    return {"tenants": [{"name": "archive", "api_keys": list(keys), "priority": 1}]}


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=2, instances=2)
        yield built


async def wait_for_era(cluster, era):
    assert await poll_until(
        lambda: all(
            split_revision(i.mirror._revision or 0)[0] == era for i in cluster.instances
        ),
        0.02,
        WAIT_S,
    )


async def wait_for_version(cluster, version):
    assert await poll_until(
        lambda: all(
            i.cluster_state.manifest.version == version for i in cluster.instances
        ),
        0.02,
        WAIT_S,
    )


async def call(cluster, key=API_KEY, instance=None):
    data = cluster.encode("GET", "/jobs/7", X_Tanagerwalk_Key=key)
    return (await cluster.send(data, instance)).status


# Guards against an instance that ignores all that is written after a restore, since
# the revisions are lower than those that it knew.
@pytest.mark.parametrize("restores", [1, 2])
async def test_changes_after_a_restore_are_read(cluster, restores):
    copy = cluster.store.take_copy()
    await cluster.store.put("op/config", build_manifest(2))
    await wait_for_version(cluster, 2)
    for _ in range(restores):
        await cluster.store.restore(copy)
    accounts = build_accounts(API_KEY, OTHER_KEY)
    await cluster.store.put("op/config", build_manifest(3, **accounts))
    await wait_for_version(cluster, 3)
    assert await call(cluster, OTHER_KEY) == 200


# Guards against a withdrawn key or an old manifest that is believed again on the word
# of a restored copy.
async def test_older_manifest_of_a_restored_copy_is_not_put_in_force(cluster):
    accounts = build_accounts(API_KEY, OTHER_KEY)
    await cluster.store.put("op/config", build_manifest(2, **accounts))
    await wait_for_version(cluster, 2)
    copy = cluster.store.take_copy()
    await cluster.store.put("op/config", build_manifest(3))
    await wait_for_version(cluster, 3)
    assert await call(cluster, OTHER_KEY) == 401
    await cluster.store.restore(copy)
    await wait_for_era(cluster, 1)
    assert [await call(cluster, OTHER_KEY, i) for i in cluster.instances] == [401, 401]
    assert await call(cluster) == 200
    await cluster.store.put("op/config", build_manifest(4))
    await wait_for_version(cluster, 4)


async def test_draining_server_stays_so_although_the_copy_lists_it_as_ready(cluster):
    copy = cluster.store.take_copy()
    server = cluster.servers["desk-0"]
    await cluster.store.put(*server.build_entry("desk", "a-1", state="draining"))
    assert await poll_until(
        lambda: (
            not any(
                i.servers.find("desk-0").accepts_requests for i in cluster.instances
            )
        ),
        0.02,
        WAIT_S,
    )
    await cluster.store.restore(copy)
    await wait_for_era(cluster, 1)
    seen = len(server.requests)
    assert [await call(cluster, instance=i) for i in cluster.instances] == [200, 200]
    assert len(server.requests) == seen


async def test_server_that_the_copy_lacks_is_used_until_it_registers_again(cluster):
    copy = cluster.store.take_copy()
    await cluster.add_server("desk-2", "desk")
    first = cluster.instances[0]
    assert await poll_until(lambda: first.servers.find("desk-2"), 0.02, WAIT_S)
    await cluster.store.restore(copy)
    await wait_for_era(cluster, 1)
    assert first.servers.find("desk-2") is not None
    await cluster.store.put(*cluster.servers["desk-2"].build_entry("desk", "a-1"))
    await asyncio.sleep(2.5)
    assert first.servers.find("desk-2") is not None


async def test_instances_know_each_other_until_they_have_registered_again(cluster):
    assert await poll_until(
        lambda: all(i.membership.peers for i in cluster.instances), 0.02, WAIT_S
    )
    items, _, revision = cluster.store.take_copy()
    kept = {key: item for key, item in items.items() if "/instance/" not in key}
    await cluster.store.restore((kept, {}, revision))
    await wait_for_era(cluster, 1)
    for _ in range(20):
        assert all(i.store_copy.count_instances() == 2 for i in cluster.instances)
        await asyncio.sleep(0.4)
    entries = [key for key in cluster.store.items if "/instance/" in key]
    assert len(entries) == 2


@pytest_asyncio.fixture
async def store():
    standin = MetadataStandIn()
    await standin.start()
    host, _, port = standin.address.rpartition(":")
    yield standin, MetadataStore((host, int(port)))
    await standin.stop()


async def test_revisions_of_a_later_era_are_higher(store):
    standin, client = store
    await standin.put("a", b"1")
    before = (await client.get("a")).ok
    copy = standin.take_copy()
    await standin.put("a", b"2")
    await standin.restore(copy)
    after = (await client.get("a")).ok
    assert (before.value, after.value) == (b"1", b"1")
    assert after.revision > before.revision
    assert split_revision(after.revision) == (1, split_revision(before.revision)[1])


# Guards against changes that a watch misses, and against writes whose condition holds
# by chance, because a revision was given out again.
async def test_nothing_is_asked_by_a_revision_of_an_earlier_era(store):
    standin, client = store
    await standin.put("a", b"1")
    entry = (await client.get("a")).ok
    await standin.restore(standin.take_copy())
    assert (await client.wait_for_changes("", entry.revision, 0.0)).ok.compacted
    calls = len(standin.calls)
    assert (await client.wait_for_changes("", entry.revision, 0.0)).ok.compacted
    write = Write("a", b"2", entry.revision)
    assert not (await client.write(write)).ok.applied
    assert len(standin.calls) == calls
    current = (await client.get("a")).ok
    assert (await client.write(Write("a", b"2", current.revision))).ok.applied
    assert (await client.write(Write("b", b"1"))).ok.applied


def test_absent_key_has_revision_zero_in_every_era():
    assert combine_revision(3, 0) == 0
    assert split_revision(combine_revision(3, 7)) == (3, 7)
    assert combine_revision(1, 1) > combine_revision(0, 10**9)


# Guards against CONFIG: an instance that starts between a restore and the operators'
# next write takes the older manifest of the copy for the newest, and accepts a key that
# was withdrawn.
async def test_instance_that_starts_after_a_restore_learns_of_the_newer_manifest(
    cluster,
):
    await cluster.store.put(
        "op/config", build_manifest(2, **build_accounts(API_KEY, OTHER_KEY))
    )
    await wait_for_version(cluster, 2)
    copy = cluster.store.take_copy()
    await cluster.store.put("op/config", build_manifest(3))
    await wait_for_version(cluster, 3)
    await cluster.store.restore(copy)
    await wait_for_era(cluster, 1)
    started = await cluster.add_instance("gateway-late")
    assert await call(cluster, OTHER_KEY, started) in (401, 503)
    await wait_for_version(cluster, 3)
    assert await call(cluster, OTHER_KEY, started) == 401


async def test_instance_without_others_serves_by_the_restored_copy():
    async with GatewayCluster() as built:
        await built.store.restore(built.store.take_copy())
        began = asyncio.get_running_loop().time()
        await built.build(drafts=0, desks=1, instances=1)
        assert asyncio.get_running_loop().time() - began < 3.0
        assert await call(built) == 200


# Guards against DRAIN: a server that has left and that an older copy lists again.
async def test_server_that_had_left_is_not_used_until_it_registers_again(cluster):
    copy = cluster.store.take_copy()
    await cluster.store.remove("servers/desk-0")
    first = cluster.instances[0]
    assert await poll_until(lambda: not first.servers.find("desk-0"), 0.02, WAIT_S)
    await cluster.store.restore(copy)
    await wait_for_era(cluster, 1)
    server = cluster.servers["desk-0"]
    seen = len(server.requests)
    for _ in range(20):
        assert await call(cluster) == 200
    assert len(server.requests) == seen
    await cluster.store.put(*server.build_entry("desk", "a-1"))
    assert await poll_until(lambda: first.servers.find("desk-0"), 0.02, WAIT_S)


# Guards against a fleet that is split by two keys, or an instance that gets none, so
# that crash records, limits and manifests aren't told.
async def test_key_of_the_fleet_that_the_copy_lacks_is_written_again(cluster):
    assert await cluster.wait_until_connected()
    items, leases, revision = cluster.store.take_copy()
    items.pop(FLEET_KEY_NAME)
    before = cluster.store.read(FLEET_KEY_NAME)
    await cluster.store.restore((items, leases, revision))
    await cluster.add_instance("gateway-late")
    assert await cluster.wait_until_connected()
    assert await poll_until(lambda: len(find_secrets(cluster)) == 1, 0.05, WAIT_S)
    assert find_secrets(cluster) == {cluster.store.read(FLEET_KEY_NAME).hex()}
    assert cluster.store.read(FLEET_KEY_NAME) == before


async def test_key_of_the_fleet_that_another_replaces_is_followed(cluster):
    assert await cluster.wait_until_connected()
    await cluster.store.put(FLEET_KEY_NAME, b"another key" * 3)
    expected = {(b"another key" * 3).hex()}
    assert await poll_until(lambda: find_secrets(cluster) == expected, 0.05, WAIT_S)


def find_secrets(cluster):
    """Return the keys of the fleet that the instances use."""
    return {instance.peer_server.secret for instance in cluster.instances}


# Guards against CONFIG: an instance that starts after a restore reads an old list, of
# the era before, and takes its revision for one of the new era.
@pytest.mark.parametrize("others", [0, 1], ids=["alone", "beside another"])
async def test_old_list_of_the_era_before_hides_no_later_change(others):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=others)
        store = cluster.store
        copy = store.take_copy()
        await store.put("op/config", build_manifest(2))
        for _ in range(5):
            await store.put("op/other", b"{}")
        store.old_copy = store.take_copy()
        await store.restore(copy)
        await store.put("op/config", build_manifest(2))
        await store.put("op/config", build_manifest(3))
        for _ in range(9):
            await store.put("op/other", b"{}")
        late = await cluster.add_instance("late")
        assert late.cluster_state.manifest.version == 3


class RestoreWalk:
    """Random writes, restores and compactions of the store of a cluster."""

    def __init__(self, cluster, seed):
        self.random = random.Random(seed)
        self.cluster = cluster
        self.version = 1
        self.copies = [cluster.store.take_copy()]

    async def write(self):
        self.version += self.random.randint(1, 3)
        await self.cluster.store.put("op/config", build_manifest(self.version))

    async def copy(self):
        self.copies.append(self.cluster.store.take_copy())

    async def compact(self):
        self.cluster.store.compact()

    async def restore(self):
        """Restore an old copy; the operators and servers then write theirs again."""
        await self.cluster.store.restore(self.random.choice(self.copies))
        await asyncio.sleep(0.6 * self.random.random())
        await self.cluster.store.put("op/config", build_manifest(self.version))
        for server in self.cluster.servers.values():
            await self.cluster.store.put(*server.build_entry("desk", "a-1"))

    async def step(self):
        action = self.random.choice([self.write, self.copy, self.compact, self.restore])
        await action()
        await asyncio.sleep(0.4 * self.random.random())


async def record_versions(cluster, seen):
    while True:
        for instance in cluster.instances:
            manifest = instance.cluster_state.manifest
            seen.setdefault(instance.incarnation, []).append(manifest.version)
        await asyncio.sleep(0.01)


# Guards against CONFIG: a change that a restore hides, or a manifest that goes back.
@pytest.mark.parametrize("seed", range(8))
async def test_newest_manifest_is_in_force_after_any_series_of_restores(cluster, seed):
    walk = RestoreWalk(cluster, seed)
    seen = {}
    recorder = asyncio.create_task(record_versions(cluster, seen))
    for _ in range(12):
        await walk.step()
    await wait_for_version(cluster, walk.version)
    recorder.cancel()
    for versions in seen.values():
        assert versions == sorted(versions)
    data = cluster.encode("GET", "/jobs/7")
    reply = await cluster.send(data)
    assert reply.status == 200, reply.headers
