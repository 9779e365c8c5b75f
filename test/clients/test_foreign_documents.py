"""JSON of the platform and of engines that exhausts the decoder's stack."""

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web

from tanagerwalk.clients.engines import ChatAttempt, EngineClient
from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.clients.orders import OrderClient
from tanagerwalk.clients.ratings import RatingsClient
from tanagerwalk.clients.targets import TargetsClient
from tanagerwalk.decisions.claims import ClaimRecord
from tanagerwalk.decisions.exposure import decode_ledger
from tanagerwalk.decisions.halts import decode_halt
from tanagerwalk.decisions.orders import Order, OrderOutcome
from tanagerwalk.decisions.placement import Move, MoveKind
from tanagerwalk.documents import decode_json
from tanagerwalk.settings import parse_settings
from tanagerwalk.standins.server import StandIn

NESTING_DEPTH = 2000
NESTED = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH
DOCUMENT = '{"a": ' + NESTED + "}"
SETTINGS = parse_settings("").ok
METRICS = "num_requests_running 1\nnum_requests_waiting 0\n"


class NestingServer(StandIn):
    """Answers every call with nested lists, as JSON or as an event of a stream."""

    prefix = ""

    def list_routes(self):
        return [
            web.get("/metrics", self._answer_metrics),
            web.route("*", "/{path:.*}", self._answer),
        ]

    async def _answer_metrics(self, request):
        return web.Response(text=METRICS)

    async def _answer(self, request):
        return web.Response(text=self.prefix + DOCUMENT + "\n")


@pytest_asyncio.fixture
async def http():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest_asyncio.fixture
async def server():
    standin = NestingServer()
    await standin.start()
    yield standin
    await standin.stop()


# Guards against a nested response that ends the controllers of `serve`.
async def test_store_reports_a_nested_response_as_a_fault(http, server):
    client = KeyValueClient(http, f"http://{server.address}", 1.0)
    assert (await client.get("a")).is_error()
    assert (await client.list("a")).is_error()
    assert (await client.create("a", b"")).is_error()
    assert (await client.wait_for_change("a", 0, 1.0)).is_error()


async def test_platform_reports_a_nested_response_as_a_fault(http, server):
    targets = TargetsClient(http, f"http://{server.address}/targets", 1.0)
    ratings = RatingsClient(http, f"http://{server.address}", 1.0)
    assert (await targets.read()).is_error()
    assert (await ratings.rate("plan", "m", {}, "text")).is_error()


async def test_engine_reports_a_nested_response_as_a_fault(http, server):
    client = EngineClient(http, SETTINGS.retries)
    assert (await client.read_load(server.address, 1.0)).is_error()
    order = Order(Move(MoveKind.LOAD, "e", "a"), server.address, 1)
    sent = await OrderClient(http, SETTINGS.orders).send(order)
    assert isinstance(sent.outcome, OrderOutcome)


async def test_nested_event_of_an_engine_fails_the_attempt(http, server):
    server.prefix = "data: "
    client = EngineClient(http, SETTINGS.retries)
    attempt = ChatAttempt("1", server.address, "a", {"messages": []})

    async def ignore(text):
        del text

    assert (await client.complete(attempt, 1.0, ignore)).is_error()


@pytest.mark.parametrize("text", [NESTED, DOCUMENT, NESTED[:-1]])
def test_nested_records_are_unreadable(text):
    assert decode_halt(text.encode()) is None
    assert decode_ledger(text.encode()) is None
    assert decode_json(text.encode(), ClaimRecord).is_error()


class FixedStatusServer(StandIn):
    """Answers every call with an error text."""

    status = 400

    def list_routes(self):
        return [web.route("*", "/{path:.*}", self._answer)]

    async def _answer(self, request):
        return web.Response(status=self.status, text="no such parameter")


# Guards against an error of the next engine that is written into the caller's stream.
@pytest.mark.parametrize("status", [201, 204, 302, 400, 401, 403, 413, 422])
async def test_error_is_no_rest_of_a_generated_text(http, status):
    server = FixedStatusServer()
    server.status = status
    await server.start()

    async def ignore(text):
        del text

    client = EngineClient(http, SETTINGS.retries)
    begun = ChatAttempt("1", server.address, "a", {"messages": []}, "some text")
    fresh = ChatAttempt("2", server.address, "a", {"messages": []})
    assert (await client.complete(begun, 1.0, ignore)).is_error()
    assert (await client.complete(fresh, 1.0, ignore)).ok.status == status
    await server.stop()
