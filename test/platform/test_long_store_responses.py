"""Responses of the metadata store that are long, or have no end."""

import base64
import json

import pytest
import pytest_asyncio
from aiohttp import web
from odd_servers import SERVER

from tanagerwalk.platform.entries import EntryReduction
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.server import StandIn

LARGE = base64.b64encode(b"x" * 1_000_000).decode()
ITEM = {"value": LARGE, "revision": 5}
MAX_SENT_BYTES = 64 * 1024 * 1024
CHUNK = b"x" * 65536


class LongStore(StandIn):
    """Answers every call with parts that a function yields, in chunks."""

    list_parts = None

    def list_routes(self):
        return [web.route("*", "/{path:.*}", self._answer)]

    async def _answer(self, request):
        self.sent = 0
        response = web.StreamResponse()
        await response.prepare(request)
        for part in self.list_parts():
            await response.write(part)
            self.sent += len(part)
        await response.write_eof()
        return response


@pytest_asyncio.fixture
async def standin():
    standin = LongStore()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
def store(standin):
    host, _, port = standin.address.rpartition(":")
    return MetadataStore((host, int(port)), EntryReduction())


def list_events(items):
    yield b'{"events": ['
    for number, item in enumerate(items):
        yield (b", " if number else b"") + json.dumps(item).encode()
    yield b'], "current_rev": 9}'


# Guards against an instance that never reads the store again: the answer to its watch
# was longer than a body may be.
async def test_long_watch_is_read_to_its_end(standin, store):
    keys = [f"servers/{number}" for number in range(20)]
    items = [{"key": key, **ITEM} for key in [*keys, "other/a"]]
    manifest = {"key": "op/config", "value": "eA==", "revision": 6}
    standin.list_parts = lambda: list_events([*items, manifest])
    changes = (await store.wait_for_changes("", 4, 0.0)).ok
    assert [entry.key for entry in changes.written] == ["op/config"]
    assert [key for key, _ in changes.deleted] == keys
    assert changes.unread_count == 1
    assert changes.revision == 9


# Guards against a watch that begins anew each time, as its answer takes too long.
async def test_watch_that_is_too_long_is_replaced_by_a_list(standin, store):
    items = [{"key": "servers/a", **ITEM}] * 40
    standin.list_parts = lambda: list_events(items)
    assert (await store.wait_for_changes("", 4, 0.0)).ok.compacted


# Guards against entries that can be read, without end, in one answer.
async def test_watch_that_holds_too_much_is_replaced_by_a_list(standin, store):
    value = base64.b64encode(b"{}").decode()
    items = [
        {"key": f"tanagerwalk/instance/{number}", "value": value, "revision": 5}
        for number in range(30000)
    ]
    standin.list_parts = lambda: list_events(items)
    assert (await store.wait_for_changes("", 4, 0.0)).ok.compacted


async def test_list_that_holds_too_much_is_not_whole(standin, store):
    value = base64.b64encode(b"{}").decode()

    def list_parts():
        page = standin.page = standin.page + 1
        items = [
            {"key": f"tanagerwalk/instance/{page}-{n}", "value": value, "revision": 5}
            for n in range(5000)
        ]
        more = b"true" if page < 8 else b"false"
        yield b'{"more_pages": %s, "items": ' % more
        yield json.dumps(items).encode()
        yield b', "current_rev": 9}'

    standin.page = 0
    standin.list_parts = list_parts
    snapshot = (await store.list("")).ok
    assert not snapshot.is_whole
    assert 10000 < len(snapshot.entries) < 40000


# Guards against an instance that starts without the key of the fleet and the others:
# their entries come after those of any number of servers.
async def test_list_with_too_many_servers_has_the_other_entries(standin, store):
    value = base64.b64encode(json.dumps(SERVER).encode()).decode()
    servers = [f"servers/{number}" for number in range(20000)]
    items = [
        {"key": key, "value": value, "revision": 5}
        for key in [*servers, "tanagerwalk/fleet-key"]
    ]
    standin.list_parts = lambda: [
        b'{"items": ',
        json.dumps(items).encode(),
        b', "current_rev": 9}',
    ]
    snapshot = (await store.list("")).ok
    assert not snapshot.is_whole
    assert snapshot.entries[-1].key == "tanagerwalk/fleet-key"


def repeat(start, part):
    yield start
    for _ in range(4 * MAX_SENT_BYTES // len(part)):
        yield part


# Guards against bytes without end that are kept until the memory is full.
@pytest.mark.parametrize(
    "start", [b"", b'{"note": "', b'{"current_rev": 1', b"[" * 60000, b'"']
)
async def test_endless_response_is_broken_off(standin, store, start):
    standin.list_parts = lambda: repeat(start, CHUNK)
    for call in (
        lambda: store.wait_for_changes("", 4, 0.0),
        lambda: store.list(""),
        lambda: store.get("op/config"),
        lambda: store.put("own/x", b""),
    ):
        result = await call()
        assert result.is_error() or result.ok.compacted
        assert standin.sent < MAX_SENT_BYTES
