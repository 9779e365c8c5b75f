"""Contract tests of load and unload orders, which any engine must pass."""

import aiohttp
import pytest

from tanagerwalk.clients.orders import OrderClient
from tanagerwalk.decisions.orders import Order, OrderOutcome
from tanagerwalk.decisions.placement import Move, MoveKind
from tanagerwalk.settings import parse_settings
from tanagerwalk.standins.engine import EngineStandIn, WeightStore

LOAD, UNLOAD = MoveKind.LOAD, MoveKind.UNLOAD
SETTINGS = "[orders]\ntimeout = 0.3\nconnect_timeout = 0.2\n"

# name, engine attributes, kind, version, token, outcome, loaded versions afterwards
CASES = [
    ("load", {}, LOAD, "b", 5, "applied", {"a", "b"}),
    ("load again", {}, LOAD, "a", 5, "applied", {"a"}),
    ("unload", {}, UNLOAD, "a", 5, "applied", set()),
    ("unload again", {}, UNLOAD, "b", 5, "applied", {"a"}),
    ("old token", {"checks_fencing": True}, LOAD, "b", 4, "fenced", {"a"}),
    ("same token", {"checks_fencing": True}, LOAD, "b", 5, "applied", {"a", "b"}),
    ("old token ignored", {}, LOAD, "b", 4, "applied", {"a", "b"}),
    ("memory full", {"slots": 1}, LOAD, "b", 5, "no_memory", {"a"}),
    ("no weights", {"missing": ["b"]}, LOAD, "b", 5, "version_missing", {"a"}),
    ("store busy", {"store": WeightStore(rate=0)}, LOAD, "b", 5, "busy", {"a"}),
    ("takes no orders", {"slots": 0}, LOAD, "b", 5, "unsupported", {"a"}),
    ("takes no orders", {"slots": 0}, UNLOAD, "a", 5, "unsupported", {"a"}),
    ("answer lost", {"lose_orders": 1}, LOAD, "b", 5, "in_doubt", {"a", "b"}),
    ("answer lost", {"lose_orders": 1}, UNLOAD, "a", 5, "in_doubt", set()),
    ("too slow", {"store": WeightStore(2, 9.0)}, LOAD, "b", 5, "in_doubt", {"a"}),
]


async def send(address, kind, version, token):
    settings = parse_settings(SETTINGS).ok.orders
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as http:
        order = Order(Move(kind, "e", version), address, token)
        return await OrderClient(http, settings).send(order)


@pytest.mark.parametrize(
    ("attributes", "kind", "version", "token", "outcome", "after"),
    [case[1:] for case in CASES],
    ids=[f"{case[0]}-{case[2].value}" for case in CASES],
)
async def test_order(attributes, kind, version, token, outcome, after):
    engine = EngineStandIn(["a"], slots=attributes.get("slots", 4))
    engine.checks_fencing = attributes.get("checks_fencing", False)
    engine.store = attributes.get("store", engine.store)
    engine.lose_orders = attributes.get("lose_orders", 0)
    engine.missing_versions = attributes.get("missing", [])
    engine.newest_token = 5
    await engine.start()
    try:
        answer = await send(engine.address, kind, version, token)
    finally:
        await engine.stop()
    assert answer.outcome is OrderOutcome(outcome)
    assert set(engine.versions) == after


async def test_stopped_engine_receives_no_order():
    engine = EngineStandIn(["a"], slots=4)
    await engine.start()
    await engine.stop()
    answer = await send(engine.address, LOAD, "b", 5)
    assert answer.outcome is OrderOutcome.NOT_SENT
