"""Contract tests of the platform's instance list and rating service.

Any implementation of these services must pass the first test of each. The tables list
faulty responses that the clients must return as errors.
"""

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web

from tanagerwalk.clients.ratings import RatingsClient
from tanagerwalk.clients.targets import TargetsClient
from tanagerwalk.decisions.servers import ServerRole
from tanagerwalk.standins.platform import PlatformStandIn
from tanagerwalk.standins.server import StandIn

LABELS = {
    "id": "x",
    "region": "r1",
    "failure_domain": "r1-a",
    "incarnation": "x.1",
}


class FaultyServer(StandIn):
    """Answers every call with a fixed status and body, or closes the connection."""

    status = 200
    body = ""
    hang_up = False

    def list_routes(self):
        return [web.route("*", "/{path:.*}", self._answer)]

    async def _answer(self, request):
        if self.hang_up:
            request.transport.abort()
        return web.Response(status=self.status, text=self.body)


@pytest_asyncio.fixture
async def http():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest_asyncio.fixture
async def faulty():
    standin = FaultyServer()
    await standin.start()
    yield standin
    await standin.stop()


@pytest_asyncio.fixture
async def platform():
    standin = PlatformStandIn()
    await standin.start()
    yield standin
    await standin.stop()


async def test_list_separates_servers_and_peers(http, platform):
    platform.add("127.0.0.1:1", role="engine", state="leaving", **LABELS)
    platform.add("127.0.0.1:2", role="service", service="booking", **LABELS)
    platform.add("127.0.0.1:3", role="entry", **LABELS)
    client = TargetsClient(http, f"http://{platform.address}/targets", 1.0)
    listed = (await client.read()).ok
    engine, service = listed.servers
    assert (engine.role, engine.leaving) == (ServerRole.ENGINE, True)
    assert (service.service, service.leaving) == ("booking", False)
    assert [peer.address for peer in listed.peers] == ["127.0.0.1:3"]


async def test_unchanged_list_is_not_sent_again(http, platform):
    platform.add("127.0.0.1:1", role="engine", **LABELS)
    client = TargetsClient(http, f"http://{platform.address}/targets", 1.0)
    first = (await client.read()).ok
    assert (await client.read()).ok == first
    assert platform.lists_sent == 1
    platform.groups[0]["labels"]["state"] = "leaving"
    assert (await client.read()).ok.servers[0].leaving
    platform.outage = True
    assert (await client.read()).is_error()


async def test_rating_is_between_0_and_1(http, platform):
    platform.quality = {"m": 0.9}
    client = RatingsClient(http, f"http://{platform.address}", 1.0)
    rating = await client.rate("plan", "m", {"messages": []}, "text")
    assert 0.8 <= rating.ok <= 1.0


LIST_FAULTS = [
    (503, "", False),
    (200, "not json", False),
    (200, '{"targets": []}', False),
    (200, '[{"targets": ["127.0.0.1:1"], "labels": {"role": "engine"}}]', False),
    (200, '[{"targets": ["127.0.0.1:1"], "labels": {}}]', False),
    (200, "", True),
]


@pytest.mark.parametrize(("status", "body", "hang_up"), LIST_FAULTS)
async def test_faulty_list_is_an_error_value(http, faulty, status, body, hang_up):
    faulty.status, faulty.body, faulty.hang_up = status, body, hang_up
    client = TargetsClient(http, f"http://{faulty.address}/targets", 1.0)
    assert (await client.read()).is_error()


RATING_FAULTS = [
    (503, "", False),
    (200, "not json", False),
    (200, '{"rating": "good"}', False),
    (200, '{"rating": 1.2}', False),
    (200, '{"rating": -0.1}', False),
    (200, "{}", False),
    (200, "", True),
]


@pytest.mark.parametrize(("status", "body", "hang_up"), RATING_FAULTS)
async def test_faulty_rating_is_an_error_value(http, faulty, status, body, hang_up):
    faulty.status, faulty.body, faulty.hang_up = status, body, hang_up
    client = RatingsClient(http, f"http://{faulty.address}", 1.0)
    assert (await client.rate("plan", "m", {}, "text")).is_error()


async def test_unreachable_platform_is_an_error_value(http, platform):
    await platform.stop()
    list_client = TargetsClient(http, f"http://{platform.address}/targets", 1.0)
    assert (await list_client.read()).is_error()
    await platform.start()
