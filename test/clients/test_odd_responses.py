"""Responses of the platform and of servers with impossible numbers and texts."""

import base64
import json

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.clients.attempts import is_connection_refused
from tanagerwalk.clients.engines import ChatAttempt, EngineClient
from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.clients.responses import read_retry_after
from tanagerwalk.clients.services import ServiceAttempt, ServiceClient
from tanagerwalk.clients.targets import TargetsClient
from tanagerwalk.settings import parse_settings
from tanagerwalk.standins.server import StandIn

RETRIES = parse_settings("").ok.retries
LABELS = {
    "id": "x",
    "role": "engine",
    "region": "r1",
    "failure_domain": "r1-a",
    "incarnation": "x.1",
}
ODD_ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:\u00b2",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1\x00:9",
    "h" * 70 + ":9",
    "host.example:9",
    "a b:9",
    "0.0.0.0:9",
]
KEY, VALUE = base64.b64encode(b"a").decode(), base64.b64encode(b"x").decode()
GOOD_PAIR = {"key": KEY, "value": VALUE, "mod_revision": "5"}
ODD_PAIRS = [
    {"key": "x"},
    {"key": "/w=="},
    {"value": "x"},
    {"mod_revision": ""},
    {"mod_revision": "five"},
    {"mod_revision": "9" * 5000},
    {"mod_revision": "-1"},
]
ODD_NUMBERS = ["inf", "-inf", "nan", "1e999", "-1", "9" * 400]


class FixedServer(StandIn):
    """Answers every call with fixed bytes."""

    body = ""

    def list_routes(self):
        return [web.route("*", "/{path:.*}", self._answer)]

    async def _answer(self, request):
        return web.Response(body=self.body.encode("utf-8", "surrogatepass"))


@pytest_asyncio.fixture
async def http():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest_asyncio.fixture
async def server():
    standin = FixedServer()
    await standin.start()
    yield standin
    await standin.stop()


# Guards against one odd target that stops an instance following the list, or raises in
# each call to it.
@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_target_without_an_address_leaves_the_others(http, server, address):
    targets = [address, "127.0.0.1:9"]
    server.body = json.dumps([{"targets": targets, "labels": LABELS}])
    listed = await TargetsClient(http, f"http://{server.address}/", 1.0).read()
    assert [record.address for record in listed.ok.servers] == ["127.0.0.1:9"]
    assert await is_connection_refused(address, 0.3) is False


# Guards against an odd entry of the store that raises in the controller that reads it.
@pytest.mark.parametrize("change", ODD_PAIRS)
async def test_pair_that_cannot_be_read_leaves_the_others(http, server, change):
    pairs = [GOOD_PAIR | change, GOOD_PAIR]
    server.body = json.dumps({"header": {"revision": "7"}, "kvs": pairs})
    client = KeyValueClient(http, f"http://{server.address}", 1.0)
    listed = (await client.list("a")).ok
    assert listed[-1].value == b"x"
    assert [entry.key for entry in listed if entry.value == b"x"][-1] == "a"
    server.body = json.dumps({"kvs": [GOOD_PAIR | change]})
    await client.get("a")
    await client.get_newer("a", 1)
    await client.create("a", b"")
    events = [{"kv": pair} for pair in pairs]
    server.body = json.dumps({"result": {"events": events}}) + "\n"
    changed = await client.wait_for_change("a", 0, 1.0)
    assert changed.ok[-1].value == b"x"


@pytest.mark.parametrize("number", ["", "x", "9" * 5000, "-1"])
async def test_odd_numbers_of_the_store_are_faults(http, server, number):
    client = KeyValueClient(http, f"http://{server.address}", 1.0)
    server.body = json.dumps({"ID": number, "TTL": number})
    await client.grant_lease(1.0)
    server.body = json.dumps({"result": {"TTL": number}})
    await client.keep_lease(1)
    server.body = json.dumps({"header": {"revision": number}, "succeeded": True})
    await client.create("a", b"")


@pytest.mark.parametrize("number", ODD_NUMBERS)
async def test_odd_load_is_an_error_value(http, server, number):
    server.body = f"num_requests_running {number}\nnum_requests_waiting 0\n"
    engine = EngineClient(http, RETRIES)
    service = ServiceClient(http, http, RETRIES)
    for client in (engine, service):
        result = await client.read_load(server.address, 1.0, models=False)
        assert result.is_error() or 0 <= result.ok.running <= 1e15


# Guards against a large value of the store that raises where changes are watched.
@pytest.mark.parametrize("size", [600_000, 5_000_000])
async def test_long_line_of_a_watch_is_read_or_a_fault(http, server, size):
    client = KeyValueClient(http, f"http://{server.address}", 5.0)
    value = base64.b64encode(b"x" * size).decode()
    pair = GOOD_PAIR | {"value": value}
    server.body = json.dumps({"result": {"events": [{"kv": pair}]}}) + "\n"
    changed = await client.wait_for_change("a", 0, 5.0)
    assert changed.is_error() or len(changed.ok[-1].value) == size


# Guards against a line without end that raises out of the attempt.
@pytest.mark.parametrize("prefix", ["data: ", ""])
async def test_line_without_end_fails_the_attempt(http, server, prefix):
    server.body = prefix + "x" * 2**21

    async def ignore(text):
        del text

    attempt = ChatAttempt("1", server.address, "a", {"messages": []})
    assert (await EngineClient(http, RETRIES).complete(attempt, 2.0, ignore)).is_error()


@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_call_to_an_odd_address_is_an_error_value(http, address):
    attempt = ServiceAttempt("1", address, "booking", {}, True)
    assert (await ServiceClient(http, http, RETRIES).call(attempt, 1.0)).is_error()


@given(st.text() | st.floats().map(str) | st.sampled_from(ODD_NUMBERS))
def test_any_retry_after_is_finite(text):
    seconds = read_retry_after({"Retry-After": text})
    assert seconds is None or 0.0 <= seconds < float("inf")
