"""Client of the metadata store against a stand-in, with faults of the store."""

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


async def test_list_combines_all_pages(standin, store):
    standin.page_items = 2
    for number in range(5):
        await standin.put(f"servers/{number}", b"x")
    snapshot = (await store.list("servers/")).ok
    assert [entry.key for entry in snapshot.entries] == [
        f"servers/{number}" for number in range(5)
    ]
    assert snapshot.revision == standin.revision


async def test_watch_reports_writes_and_deletions(standin, store):
    start = standin.revision
    await standin.put("a/1", b"one")
    await standin.remove("a/1")
    changes = (await store.wait_for_changes("a/", start, 1.0)).ok
    assert [(e.key, e.value) for e in changes.written] == [("a/1", b"one")]
    assert [key for key, _ in changes.deleted] == ["a/1"]


async def test_watch_without_changes_returns_no_changes(standin, store):
    changes = (await store.wait_for_changes("a/", standin.revision, 0.05)).ok
    assert changes.written == ()
    assert not changes.compacted


async def test_watch_from_a_compacted_revision_is_reported(standin, store):
    start = standin.revision
    await standin.put("a/1", b"one")
    standin.compact()
    assert (await store.wait_for_changes("a/", start, 0.05)).ok.compacted


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


async def test_revoked_lease_deletes_its_keys(standin, store):
    lease = (await store.grant_lease(5.0)).ok
    await store.put("own/x", b"1", lease)
    assert (await store.renew_lease(lease)).is_ok()
    await store.revoke_lease(lease)
    assert (await store.get("own/x")).ok is None
    assert (await store.renew_lease(lease)).error is StoreFault.REJECTED


@pytest.mark.parametrize(
    ("mode", "fault"),
    [("busy", StoreFault.REJECTED), ("reset", StoreFault.UNKNOWN)],
)
async def test_rejected_and_unknown_faults_are_distinguished(
    standin, store, mode, fault
):
    standin.mode = mode
    assert (await store.get("a")).error is fault
    assert (await store.list("a")).error is fault


async def test_write_with_lost_response_is_unknown_and_not_retried(standin, store):
    standin.lost_writes = 1
    result = await store.put("own/x", b"1")
    assert result.error is StoreFault.UNKNOWN
    assert standin.calls.count("/api/kv-txn") == 1
    assert standin.read("own/x") == b"1"


async def test_write_to_a_stopped_store_is_not_applied(standin, store):
    await standin.stop()
    assert (await store.put("own/x", b"1")).error is StoreFault.NOT_APPLIED
