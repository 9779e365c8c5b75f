"""Changes of the store reach instances that do not watch it, also under faults."""

import asyncio
import random

import pytest
import pytest_asyncio
from expression import Error, Ok

from tanagerwalk.changes import Changes, ConfirmedChanges
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.change_log import ChangeLog
from tanagerwalk.decisions.watchers import MIN_DOMAIN_SIZE
from tanagerwalk.gateway.change_feed import (
    MAX_PEER_AGE_S,
    PEER_POLL_INTERVAL_S,
    SharedFeed,
    StoreFeed,
    decode_changes,
)
from tanagerwalk.gateway.change_server import ChangeServer, encode_changes
from tanagerwalk.gateway.clocks import read_boot_clock
from tanagerwalk.ids import InstanceId, Revision
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.changes.ttypes import (
    ChangesRequest,
    ChangesResponse,
    WrittenEntry,
)
from tanagerwalk.peers.rpc import MessageKind, PeerClient, RequestFault
from tanagerwalk.platform.entries import EntryReduction
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest
from tanagerwalk.writes import Entry, StoreFault

WATCH_PATH = "/api/kv-watch"


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=1, instances=MIN_DOMAIN_SIZE)
        assert await poll_until(lambda: count_watchers(built) == 1, 0.05, 20.0)
        yield built


def count_watchers(cluster):
    return sum(not instance.feed._list_sources() for instance in cluster.instances)


def find_watcher(cluster):
    (watcher,) = [i for i in cluster.instances if not i.feed._list_sources()]
    return watcher


def has_revision(cluster, revision):
    manifests = [i.cluster_state.manifest for i in cluster.instances]
    return all(manifest.revision >= revision for manifest in manifests)


async def test_one_instance_watches_and_all_get_a_new_manifest(cluster):
    before = cluster.store.calls.count(WATCH_PATH)
    await cluster.store.put("op/config", build_manifest(2))
    revision = cluster.store.revision
    assert await poll_until(lambda: has_revision(cluster, revision), 0.05, 10.0)
    assert all(instance.freshness.is_fresh() for instance in cluster.instances)
    await asyncio.sleep(2.0)
    calls = cluster.store.calls.count(WATCH_PATH) - before
    assert calls < 2 * MIN_DOMAIN_SIZE


async def test_others_take_over_from_a_watcher_that_dies(cluster):
    """The entry of a killed instance stays in the store until its lease expires."""
    watcher = find_watcher(cluster)
    cluster.instances.remove(watcher)
    await watcher.close()
    await cluster.store.put("op/config", build_manifest(2))
    revision = cluster.store.revision
    assert await poll_until(lambda: has_revision(cluster, revision), 0.05, 10.0)
    assert await poll_until(lambda: count_watchers(cluster) == 1, 0.05, 10.0)


async def test_no_changes_without_the_key_of_the_fleet(cluster):
    watcher = find_watcher(cluster)
    address = f"{find_address()}:{watcher.peer_server.port}"
    client = PeerClient("another key", InstanceId("forger"), 1.0)
    request = encode(ChangesRequest(0))
    result = await client.request(address, MessageKind.FETCH_CHANGES, request)
    await client.close()
    assert result.is_error()


async def test_instance_without_the_key_answers_nobody():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0, instances=1)
        (instance,) = cluster.instances
        instance.peer_server.secret = None
        address = f"{find_address()}:{instance.peer_server.port}"
        client = PeerClient("guess", InstanceId("forger"), 1.0)
        request = encode(ChangesRequest(0))
        result = await client.request(address, MessageKind.FETCH_CHANGES, request)
        await client.close()
        assert result.is_error()


class FakeStoreFeed(StoreFeed):
    """Answers like the store, or fails, and counts the reads."""

    def __init__(self, result):
        super().__init__(None, "")
        self.result = result
        self.reads = 0

    async def read(self, revision, may_wait=True):
        self.reads += 1
        return self.result


class FakeSelection:
    """Names peers as sources, and records which are suspected."""

    is_shared = True

    def __init__(self, sources):
        self.sources = sources
        self.suspected = []
        self.watchers = 12

    def is_watcher(self, now):
        return False

    def list_sources(self, now, random):
        return self.sources

    def count_watchers(self):
        return self.watchers

    def suspect(self, peer_id, now):
        self.suspected.append(peer_id)


class FakePeers:
    """Stands for a PeerClient whose peers answer with the given results."""

    def __init__(self, results):
        self.results = results
        self.asked = []

    async def request(self, address, kind, payload):
        self.asked.append(address)
        return self.results[address]


def build_response(age, revision=9, **changes):
    response = ChangesResponse(revision, int(age * 1000), [], [], False)
    for name, value in changes.items():
        setattr(response, name, value)
    return Ok(encode(response))


def build_feed(peers, store_result, instances=195):
    feed = SharedFeed(
        FakeStoreFeed(store_result),
        FakeSelection(list(peers)),
        lambda peer_id: peer_id,
        "own",
        lambda: 4.0,
        lambda: instances,
        lambda: 0.0,
        random.Random(1),
    )
    feed._client = FakePeers(peers)
    return feed


FAULT = Error(StoreFault.UNKNOWN)


async def test_age_of_a_watcher_is_counted_from_the_time_of_the_question():
    """A delayed answer can't make an old copy look recent."""
    entry = Entry("op/config", b"1", Revision(9))
    changes = Changes((entry,), (("servers/1", Revision(8)),), Revision(9))
    copy = type("Copy", (), {"confirmed_at": 40.0, "reconnected_at": 30.0})
    message = decode(ChangesResponse, encode(encode_changes(changes, copy, 41.5))).ok
    confirmed = decode_changes(message, asked_at=20.0)
    assert confirmed.changes == changes
    assert 18.49 <= confirmed.confirmed_at <= 18.5
    assert confirmed.reconnected_at == 8.5


async def test_fresh_answer_of_another_domain_needs_no_call_to_the_store():
    """The own watcher is cut off from the store."""
    feed = build_feed({"own": build_response(9.0), "far": build_response(1.0)}, FAULT)
    result = await feed.read(Revision(5))
    assert read_boot_clock() - result.ok.confirmed_at <= MAX_PEER_AGE_S
    assert feed._store_feed.reads == 0
    assert feed._selection.suspected == []


async def test_silent_watcher_is_suspected_and_the_store_read():
    feed = build_feed(
        {
            "own": Error(RequestFault.TIMED_OUT),
            "far": Error(RequestFault.UNREACHABLE),
        },
        Ok(ConfirmedChanges(Changes(revision=Revision(9)), read_boot_clock())),
    )
    result = await feed.read(Revision(5))
    assert result.ok.changes.revision == 9
    assert feed._selection.suspected == ["own", "far"]


async def test_watcher_that_forgot_the_changes_is_not_believed():
    answer = build_response(0.1, compacted=True)
    store = Ok(ConfirmedChanges(Changes(revision=Revision(9)), read_boot_clock()))
    feed = build_feed({"own": answer}, store)
    assert (await feed.read(Revision(5))).ok.changes.revision == 9
    assert feed._store_feed.reads == 1


async def test_fleet_does_not_call_a_store_that_is_out_for_all_watchers_at_once():
    """195 instances read a hundred times while the store is out."""
    old = build_response(9.0)
    feeds = [build_feed({"own": old, "far": old}, FAULT) for _ in range(195)]
    for number, feed in enumerate(feeds):
        feed._random.seed(number)
        for _ in range(10):
            result = await feed.read(Revision(5))
            assert read_boot_clock() - result.ok.confirmed_at > MAX_PEER_AGE_S
    assert sum(feed._store_feed.reads for feed in feeds) < 20


async def test_instance_reads_the_store_itself_when_its_turn_comes():
    """All watchers in reach lost the store, but this instance did not."""
    old = build_response(9.0)
    store = Ok(ConfirmedChanges(Changes(revision=Revision(9)), read_boot_clock()))
    feed = build_feed({"own": old}, store)
    now = 0.0
    feed._clock = lambda: now
    await feed.read(Revision(5))
    assert feed._store_feed.reads == 0
    now = 4.0
    result = await feed.read(Revision(5))
    assert feed._store_feed.reads == 1
    assert read_boot_clock() - result.ok.confirmed_at <= MAX_PEER_AGE_S


async def test_return_of_the_store_is_noticed_soon():
    """A watcher that lost the store has it back a moment after it was asked."""
    old, fresh = build_response(9.0), build_response(0.1)
    feed = build_feed({"own": old, "far": old}, FAULT)
    await feed.read(Revision(5))
    assert feed.pause <= 0.2
    feed._client.results = {"own": fresh, "far": old}
    await feed.read(Revision(5))
    assert feed.pause == PEER_POLL_INTERVAL_S


# Guards against polls that take much of the time of the watchers of a large domain.
@pytest.mark.parametrize("instances", [6, 60, 340])
async def test_watchers_are_not_flooded_while_the_store_is_out(instances):
    feed = build_feed({"own": build_response(9.0)}, FAULT, instances)
    feed._selection.watchers = 4
    await feed.read(Revision(5))
    instances_per_watcher = instances / feed._selection.watchers
    assert instances_per_watcher / feed.pause <= 200.0
    assert feed.pause <= PEER_POLL_INTERVAL_S


# Guards against large entries that an instance of an older build passes on whole.
def test_entries_of_a_watcher_are_reduced():
    large = WrittenEntry("servers/other", b"x" * 1_000_000, 7)
    unread = WrittenEntry("other/a", b"x" * 1_000_000, 8)
    response = ChangesResponse(9, 100, [large, unread], [], False)
    changes = decode_changes(response, 20.0, EntryReduction()).changes
    assert changes.written == ()
    assert changes.deleted == (("servers/other", Revision(7)),)


# Guards against an answer of many megabytes that is built for each peer that asks.
async def test_changes_that_exceed_an_answer_are_not_passed_on():
    log = ChangeLog()
    log.start(Revision(1))
    copy = type("Copy", (), {"confirmed_at": 0.0, "reconnected_at": 0.0})
    copy.change_log = log
    server = ChangeServer(copy)
    request = encode(ChangesRequest(1))
    for revision, is_compacted in [(2, False), (4000, True)]:
        written = tuple(
            Entry(f"servers/{n}", b"x" * 2000, Revision(n)) for n in range(2, revision)
        )
        log.record(Changes(written, (), Revision(revision)))
        answer = decode(ChangesResponse, await server._serve(request, "peer")).ok
        assert answer.compacted is is_compacted
