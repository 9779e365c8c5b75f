"""The local store copy: changes, compacted history, outages and grace periods."""

import asyncio
import random

import pytest

from tanagerwalk.changes import Changes, Snapshot
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.freshness import WATCH_MARGIN_S
from tanagerwalk.gateway import mirror as mirror_module
from tanagerwalk.gateway.change_feed import StoreFeed
from tanagerwalk.gateway.mirror import Mirror
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.metadata import MetadataStandIn
from tanagerwalk.writes import Entry


async def run_mirror(standin, **changes):
    host, _, port = standin.address.rpartition(":")
    store = MetadataStore((host, int(port)))
    options = {"wait": 0.2, "pause": 0.0, "grace_prefix": "servers/"} | changes
    feed = StoreFeed(store, "", options["wait"])
    feed.pause = options["pause"]
    feed.retry_pause = 0.2
    mirror = Mirror(store, "", feed, random.Random(1), options["grace_prefix"])
    task = asyncio.create_task(mirror.run())
    assert await poll_until(lambda: mirror.is_loaded, 0.01, 5.0)
    return mirror, task


def build_mirror():
    """Return a Mirror without a store, for tests that apply changes directly."""
    return Mirror(None, "", None, random.Random(1), "servers/")


@pytest.fixture
async def standin():
    standin = MetadataStandIn()
    await standin.start()
    yield standin
    await standin.stop()


async def test_changes_are_applied(standin):
    await standin.put("op/config", b"1")
    mirror, task = await run_mirror(standin)
    await standin.put("op/config", b"2")
    assert await poll_until(
        lambda: mirror.entries["op/config"].value == b"2", 0.01, 5.0
    )
    await standin.remove("op/config")
    assert await poll_until(lambda: "op/config" not in mirror.entries, 0.01, 5.0)
    task.cancel()


async def test_prefix_is_listed_again_after_compaction(standin):
    await standin.put("op/config", b"1")
    mirror, task = await run_mirror(standin)
    standin.mode = "busy"
    await asyncio.sleep(0.3)
    await standin.put("op/config", b"2")
    await standin.put("op/more", b"3")
    standin.compact()
    standin.mode = "up"
    assert await poll_until(lambda: "op/more" in mirror.entries, 0.01, 5.0)
    assert mirror.entries["op/config"].value == b"2"
    task.cancel()


async def test_entry_deleted_in_an_outage_is_kept_for_the_grace_period(
    standin, monkeypatch
):
    monkeypatch.setattr(mirror_module, "RECONNECT_GRACE_S", 0.6)
    await standin.put("servers/back", b"1")
    await standin.put("servers/gone", b"1")
    mirror, task = await run_mirror(standin)
    standin.mode = "busy"
    await asyncio.sleep(0.4)
    await standin.remove("servers/back")
    await standin.remove("servers/gone")
    standin.mode = "up"
    await asyncio.sleep(0.3)
    assert "servers/back" in mirror.entries
    await standin.put("servers/back", b"2")
    assert await poll_until(lambda: "servers/gone" not in mirror.entries, 0.01, 5.0)
    assert mirror.entries["servers/back"].value == b"2"
    task.cancel()


async def test_entry_deleted_without_an_outage_is_removed_at_once(standin):
    await standin.put("servers/gone", b"1")
    mirror, task = await run_mirror(standin)
    await standin.remove("servers/gone")
    assert await poll_until(lambda: "servers/gone" not in mirror.entries, 0.01, 1.5)
    task.cancel()


def test_older_revision_never_replaces_a_newer_one():
    mirror = build_mirror()
    mirror._apply_snapshot(Snapshot((Entry("op/config", b"new", 9),), 9))
    mirror._apply_changes(Changes((Entry("op/config", b"old", 7),), (), 9))
    assert mirror.entries["op/config"].value == b"new"
    mirror._apply_changes(Changes((), (("op/config", 8),), 9))
    assert "op/config" in mirror.entries


async def test_watch_without_changes_confirms_the_time_near_its_end(standin):
    """An empty watch must confirm a time close to its end, not its start.

    Confirming the start made the copy seem stale a second too early in each outage
    of the store, and requests were refused for that second.
    """
    times = []
    mirror, task = await run_mirror(standin, wait=0.5)
    mirror.subscribe_to_confirmations(
        lambda time: times.append((time, mirror_module.read_boot_clock()))
    )
    assert await poll_until(lambda: len(times) >= 3, 0.01, 5.0)
    task.cancel()
    for confirmed_at, now in times[1:]:
        assert now - 0.5 < confirmed_at <= now - WATCH_MARGIN_S


async def test_watch_with_changes_confirms_the_time_of_its_start(standin):
    times = []
    mirror, task = await run_mirror(standin, wait=5.0)
    mirror.subscribe_to_confirmations(
        lambda time: times.append((time, mirror_module.read_boot_clock()))
    )
    await asyncio.sleep(0.3)
    await standin.put("op/config", b"1")
    assert await poll_until(lambda: times, 0.01, 5.0)
    task.cancel()
    confirmed_at, now = times[0]
    assert confirmed_at <= now - 0.3


async def test_grace_period_ends_on_time_during_a_slow_store_call(
    monkeypatch,
):
    """The grace period must end on time while a call to the store is pending.

    It was checked only when the store responded, so a server that had left still
    got requests 3.9 s later.
    """
    monkeypatch.setattr(mirror_module, "RECONNECT_GRACE_S", 0.2)
    mirror = build_mirror()
    mirror._apply_snapshot(Snapshot((Entry("servers/gone", b"1", 5),), 5))
    mirror.reconnected_at = mirror_module.read_boot_clock()
    mirror._apply_changes(Changes((), (("servers/gone", 6),), 6))
    assert "servers/gone" in mirror.entries
    assert await poll_until(lambda: not mirror.entries, 0.01, 5.0)


async def test_only_the_very_first_list_may_be_old(standin):
    """An old list may be older than the history that the store still has."""
    lists = []
    await standin.put("op/config", b"1")
    host, _, port = standin.address.rpartition(":")
    store = MetadataStore((host, int(port)))
    read = store.list

    async def list_and_record(prefix, may_be_old=False):
        lists.append(may_be_old)
        result = await read(prefix, may_be_old)
        if may_be_old:
            await standin.put("op/config", b"2")
            standin.compact()
        return result

    store.list = list_and_record
    feed = StoreFeed(store, "", 0.2)
    feed.pause = feed.retry_pause = 0.0
    mirror = Mirror(store, "", feed, random.Random(1), "servers/")
    task = asyncio.create_task(mirror.run())
    assert await poll_until(lambda: mirror.is_loaded, 0.01, 5.0)
    task.cancel()
    assert lists == [True, False]
    assert mirror.entries["op/config"].value == b"2"


async def restore_unread(standin, monkeypatch, *keys):
    """Return a mirror that first reads of `keys` in a restored copy of the store."""
    monkeypatch.setattr(mirror_module, "ENTRY_LIFETIME_S", 0.6)
    mirror, task = await run_mirror(standin)
    standin.mode = "busy"
    await asyncio.sleep(0.4)
    for key in keys:
        await standin.put(key, b"1")
    await standin.restore(standin.take_copy())
    standin.mode = "up"
    assert await poll_until(lambda: mirror.era == 1, 0.01, 5.0)
    return mirror, task


async def test_server_that_stays_listed_after_a_restore_is_used_in_the_end(
    standin, monkeypatch
):
    """Guards against an instance that refuses a service which the others serve."""
    mirror, task = await restore_unread(standin, monkeypatch, "servers/quiet")
    assert "servers/quiet" not in mirror.entries
    told = []
    mirror.subscribe(lambda: told.append("servers/quiet" in mirror.entries))
    assert await poll_until(lambda: "servers/quiet" in mirror.entries, 0.01, 3.0)
    assert told == [True]
    task.cancel()


@pytest.mark.parametrize("ending", ["removed", "missing in the next list"])
async def test_server_that_is_gone_after_a_restore_is_never_used(
    standin, monkeypatch, ending
):
    """Guards against requests to a server that had left before the restore."""
    mirror, task = await restore_unread(standin, monkeypatch, "servers/gone")
    if ending == "removed":
        await standin.remove("servers/gone")
    else:
        items, leases, revision = standin.take_copy()
        items.pop("servers/gone")
        await standin.restore((items, leases, revision))
    for _ in range(25):
        await asyncio.sleep(0.05)
        assert "servers/gone" not in mirror.entries
    task.cancel()


async def test_listed_server_is_not_used_while_the_store_is_out(standin, monkeypatch):
    """Guards against a server that was removed while nothing could be read."""
    mirror, task = await restore_unread(standin, monkeypatch, "servers/gone")
    standin.mode = "busy"
    await asyncio.sleep(1.5)
    assert "servers/gone" not in mirror.entries
    await standin.remove("servers/gone")
    standin.mode = "up"
    await asyncio.sleep(1.0)
    assert "servers/gone" not in mirror.entries
    task.cancel()


async def test_second_restore_starts_the_grace_of_a_listed_server_anew(
    standin, monkeypatch
):
    """Guards against a server that left: each copy lists it for a while again."""
    mirror, task = await restore_unread(standin, monkeypatch, "servers/gone")
    await asyncio.sleep(0.3)
    await standin.restore(standin.take_copy())
    assert await poll_until(lambda: mirror.era == 2, 0.01, 5.0)
    await asyncio.sleep(0.4)
    assert "servers/gone" not in mirror.entries
    await standin.remove("servers/gone")
    await asyncio.sleep(0.5)
    assert "servers/gone" not in mirror.entries
    task.cancel()
