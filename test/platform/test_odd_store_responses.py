"""Responses of the metadata store with parts that can't be read."""

import base64

import pytest
import pytest_asyncio
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.platform.store_messages import (
    decode_changes,
    decode_conflict,
    decode_entry,
    decode_granted,
    decode_page,
    decode_written,
)
from tanagerwalk.standins.server import StandIn

VALUE = base64.b64encode(b"x")
GOOD = b'{"key": "servers/a", "value": "%s", "revision": 5}' % VALUE
LAST = b'{"key": "servers/z", "value": "%s", "revision": 6}' % VALUE
NESTED = b"[" * 2000 + b"]" * 2000
# Items without a key that can be read.
UNREADABLE_ITEMS = [
    b'{"key": "servers/\xff", "value": "%s", "revision": 5}' % VALUE,
    b'{"key": 7, "value": "%s", "revision": 5}' % VALUE,
    b'{"key": "servers/b", "value": "%s", "revision": "5"}' % VALUE,
    b'{"key": "servers/b", "value": "%s", "revision": -1}' % VALUE,
    b'{"key": "servers/b", "value": "%s", "revision": 1e999}' % VALUE,
    b'{"key": "servers/b", "value": "%s", "revision": 1%s}' % (VALUE, b"0" * 30),
    b'{"key": "servers/b", "value": null, "revision": 5}',
    b"null",
    b"7",
    b"[]",
]
ODD_VALUES = [b"x", b"====", b"a" * 5, "\u00e9".encode(), b"eA==eA", b"e A=="]
ODD_REVISIONS = [b"-1", b'"7"', b"1e999", b"1" + b"0" * 30, b"null", NESTED]


class RawStore(StandIn):
    """Answers every call with fixed bytes."""

    body = b""
    era = ""

    def list_routes(self):
        return [web.route("*", "/{path:.*}", self._answer)]

    async def _answer(self, request):
        headers = {"Store-Era": self.era} if self.era else {}
        return web.Response(body=self.body, headers=headers)


@pytest_asyncio.fixture
async def standin():
    standin = RawStore()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
def store(standin):
    host, _, port = standin.address.rpartition(":")
    return MetadataStore((host, int(port)))


def encode_page(*items, revision=b"7"):
    return b'{"items": [%s], "more_pages": false, "current_rev": %s}' % (
        b", ".join(items),
        revision,
    )


# Guards against one item that stops an instance following the store.
@pytest.mark.parametrize("item", UNREADABLE_ITEMS)
async def test_item_that_cannot_be_read_leaves_the_others(standin, store, item):
    standin.body = encode_page(GOOD, item, LAST)
    snapshot = (await store.list("servers/")).ok
    assert [entry.key for entry in snapshot.entries] == ["servers/a", "servers/z"]
    standin.body = standin.body.replace(b'"items"', b'"events"')
    changes = (await store.wait_for_changes("servers/", 1, 0.0)).ok
    assert [entry.key for entry in changes.written] == ["servers/a", "servers/z"]


# Guards against base64 that raised out of the reader and ended the process.
@pytest.mark.parametrize("value", ODD_VALUES)
async def test_value_that_is_no_base64_is_empty(standin, store, value):
    item = b'{"key": "servers/b", "value": "%s", "revision": 5}' % value
    standin.body = encode_page(GOOD, item)
    snapshot = (await store.list("servers/")).ok
    values = {entry.key: entry.value for entry in snapshot.entries}
    assert values == {"servers/a": b"x", "servers/b": b""}
    standin.body = item
    assert (await store.get("servers/b")).ok.value == b""


@pytest.mark.parametrize("revision", ODD_REVISIONS)
async def test_impossible_revision_of_the_store_is_a_fault(standin, store, revision):
    standin.body = encode_page(GOOD, revision=revision)
    assert (await store.list("servers/")).is_error()
    standin.body = b'{"revision": %s}' % revision
    assert (await store.put("own/x", b"")).is_error()


@pytest.mark.parametrize("era", ["9" * 5000, "9" * 30, "-1", "x", "\u00b2", "1.5"])
async def test_impossible_era_is_ignored(standin, store, era):
    standin.body = encode_page(GOOD)
    standin.era = "2"
    assert (await store.list("servers/")).is_ok()
    standin.era = era
    assert (await store.list("servers/")).is_ok()
    assert store.era == 2


@given(
    st.binary()
    | st.text(alphabet='{}[]:,"keyvalurisonmp_0123456789-.e\\ ').map(str.encode)
)
def test_any_body_is_decoded_without_an_exception(body):
    for decode in (
        decode_changes,
        decode_conflict,
        decode_entry,
        decode_granted,
        decode_page,
        decode_written,
    ):
        decode(0, body)
