"""Tests of group commit, with a fake client and with the key-value stand-in."""

import asyncio

import aiohttp
import pytest
import pytest_asyncio
from expression import Error, Ok
from stores import StoreModel

from tanagerwalk.clients.batches import MAX_BYTES, MAX_WRITES, BatchingStore
from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.standins.keyvalue import KeyValueStandIn
from tanagerwalk.writes import StoreFault, Write


@pytest_asyncio.fixture
async def standin():
    server = KeyValueStandIn()
    await server.start()
    yield server
    await server.stop()


@pytest_asyncio.fixture
async def client(standin):
    async with aiohttp.ClientSession() as http:
        yield KeyValueClient(http, f"http://{standin.address}", 1.0)


def make_writes(count, value=b"v", **more):
    return [Write(f"k{number}", value, **more) for number in range(count)]


async def send_all(store, writes):
    return await asyncio.gather(*(store.write(write) for write in writes))


class FakeClient:
    """Answers calls from a store model; calls block until `release` is set."""

    def __init__(self, fault=None):
        self.model = StoreModel()
        self.batches = []
        self.fault = fault
        self.release = asyncio.Event()

    async def write(self, write):
        return (await self.write_all([write])).map(lambda outcomes: outcomes[0])

    async def write_all(self, writes):
        self.batches.append([write.key for write in writes])
        await self.release.wait()
        if self.fault is not None:
            return Error(self.fault)
        return Ok([self.model.apply(write) for write in writes])


async def test_writes_are_batched_over_the_wire_protocol(standin, client):
    store = BatchingStore(client)
    results = await send_all(store, make_writes(250))
    assert all(result.ok.applied for result in results)
    assert standin.calls == store.calls == 3
    revisions = {result.ok.revision for result in results}
    assert revisions == {1, 2, 3}
    entry = (await client.get("k0")).ok
    assert entry.revision == results[0].ok.revision
    replaced = await store.write(Write("k0", b"w", entry.revision))
    assert replaced.ok.applied


async def test_each_write_has_its_own_condition(client):
    store = BatchingStore(client)
    await store.write(Write("k1", b"first"))
    results = await send_all(store, make_writes(3, b"second"))
    assert [result.ok.applied for result in results] == [True, False, True]
    assert results[1].ok.existing.value == b"first"


async def test_rejected_write_does_not_fail_the_others(client):
    store = BatchingStore(client)
    faulty = Write("bad", b"v", lease=999)
    results = await send_all(store, [*make_writes(2), faulty])
    assert [result.is_ok() for result in results] == [True, True, False]
    assert results[2].error is StoreFault.REJECTED


async def test_lost_response_is_unknown_for_every_write(standin, client):
    store = BatchingStore(client)
    standin.lose_answers = 1
    results = await send_all(store, make_writes(3))
    assert {result.error for result in results} == {StoreFault.UNKNOWN}
    assert (await client.get("k2")).ok is not None


async def test_writes_of_one_key_go_in_separate_calls_in_order():
    client = FakeClient()
    client.release.set()
    store = BatchingStore(client)
    writes = [Write("a", b"1"), Write("a", b"2"), Write("b", b"3")]
    results = await send_all(store, writes)
    assert client.batches[0] == ["a", "b"]
    assert [result.ok.applied for result in results] == [True, False, True]


@pytest.mark.parametrize(
    ("size", "limit"), [(1, MAX_WRITES), (MAX_BYTES // 4, 4), (MAX_BYTES * 2, 1)]
)
async def test_batch_size_is_limited(size, limit):
    client = FakeClient()
    client.release.set()
    store = BatchingStore(client)
    await send_all(store, make_writes(limit * 2, b"v" * size))
    assert max(map(len, client.batches)) <= limit


async def test_write_that_was_never_sent_is_not_applied(monkeypatch):
    monkeypatch.setattr("tanagerwalk.clients.batches.MAX_QUEUE_TIME_S", 0.01)
    client = FakeClient()
    store = BatchingStore(client)
    first = [asyncio.create_task(store.write(write)) for write in make_writes(1)]
    await asyncio.sleep(0)
    await asyncio.sleep(0.005)
    first.append(asyncio.create_task(store.write(Write("b", b"v"))))
    await asyncio.sleep(0.005)
    late = await store.write(Write("late", b"v"))
    assert late.error is StoreFault.NOT_APPLIED
    client.release.set()
    results = await asyncio.gather(*first)
    assert all(result.is_ok() for result in results)
    assert "late" not in client.model.entries


async def test_after_a_failure_one_call_at_a_time_probes_the_store():
    client = FakeClient(StoreFault.UNKNOWN)
    store = BatchingStore(client)
    client.release.set()
    assert (await store.write(Write("a", b"v"))).error is StoreFault.UNKNOWN
    client.release.clear()
    probe = asyncio.create_task(store.write(Write("b", b"v")))
    await asyncio.sleep(0.01)
    assert len(client.batches) == 2
    meanwhile = await send_all(store, make_writes(5))
    assert {result.error for result in meanwhile} == {StoreFault.NOT_APPLIED}
    client.fault = None
    client.release.set()
    assert (await probe).is_ok()
    assert all(result.is_ok() for result in await send_all(store, make_writes(5)))


@pytest.mark.parametrize("count", [1, 3])
async def test_write_whose_call_raises_has_an_unknown_outcome(monkeypatch, count):
    """Guards against a writer that waits for good after a defect."""
    client = FakeClient()

    async def fail(_writes):
        raise MemoryError

    monkeypatch.setattr(client, "write_all", fail)
    store = BatchingStore(client)
    async with asyncio.timeout(0.5):
        results = await send_all(store, make_writes(count))
    assert [result.error for result in results] == [StoreFault.UNKNOWN] * count
    monkeypatch.undo()
    client.release.set()
    async with asyncio.timeout(0.5):
        (result,) = await send_all(store, make_writes(1))
    assert result.is_ok()
