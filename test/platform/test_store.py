"""Contract of the metadata store's client, with fault cases."""

import pytest
import pytest_asyncio

from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.metadata import MetadataStandIn
from tanagerwalk.writes import ABSENT, StoreFault, Write


@pytest_asyncio.fixture
async def standin():
    standin = MetadataStandIn()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
def store(standin):
    host, _, port = standin.address.rpartition(":")
    return MetadataStore((host, int(port)))


async def test_pages_make_one_snapshot(standin, store):
    standin.page_items = 2
    for number in range(5):
        await standin.put(f"servers/{number}", b"x")
    snapshot = (await store.list("servers/")).ok
    assert [entry.key for entry in snapshot.entries] == [
        f"servers/{number}" for number in range(5)
    ]
    assert snapshot.revision == standin.revision


async def test_watch_tells_writes_and_deletions(standin, store):
    start = standin.revision
    await standin.put("a/1", b"one")
    await standin.remove("a/1")
    changes = (await store.wait_for_changes("a/", start, 1.0)).ok
    assert [(e.key, e.value) for e in changes.written] == [("a/1", b"one")]
    assert [key for key, _ in changes.deleted] == ["a/1"]


async def test_watch_without_changes_ends_empty(standin, store):
    changes = (await store.wait_for_changes("a/", standin.revision, 0.05)).ok
    assert changes.written == ()
    assert not changes.lost


async def test_watch_of_forgotten_history_says_so(standin, store):
    start = standin.revision
    await standin.put("a/1", b"one")
    standin.compact()
    assert (await store.wait_for_changes("a/", start, 0.05)).ok.lost


async def test_conditional_write_applies_once(store):
    first = await store.write(
        Write("own/x", b"1", ABSENT, extra_puts=(("own/y", b"2"),))
    )
    second = await store.write(Write("own/x", b"3", ABSENT))
    assert first.ok.applied
    assert not second.ok.applied
    assert second.ok.existing.value == b"1"
    assert (await store.get("own/y")).ok.value == b"2"


async def test_missing_key_is_none(store):
    assert (await store.get("own/none")).ok is None


async def test_lease_ends_with_its_keys(standin, store):
    lease = (await store.grant_lease(5.0)).ok
    await store.put("own/x", b"1", lease)
    assert (await store.keep_lease(lease)).is_ok()
    await store.end_lease(lease)
    assert (await store.get("own/x")).ok is None
    assert (await store.keep_lease(lease)).error is StoreFault.REJECTED


@pytest.mark.parametrize(
    ("mode", "fault"),
    [("busy", StoreFault.REJECTED), ("reset", StoreFault.UNKNOWN)],
)
async def test_faults_are_told_apart(standin, store, mode, fault):
    standin.mode = mode
    assert (await store.get("a")).error is fault
    assert (await store.list("a")).error is fault


async def test_lost_answer_of_a_write_leaves_it_unknown_and_is_not_repeated(
    standin, store
):
    standin.lost_writes = 1
    result = await store.put("own/x", b"1")
    assert result.error is StoreFault.UNKNOWN
    assert standin.calls.count("/api/kv-txn") == 1
    assert standin.read("own/x") == b"1"


async def test_store_that_is_gone_did_nothing(standin, store):
    await standin.stop()
    assert (await store.put("own/x", b"1")).error is StoreFault.NOT_APPLIED
