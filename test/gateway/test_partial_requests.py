"""Requests that stop arriving behind others on the same connection."""

import asyncio
from dataclasses import replace

import pytest
import pytest_asyncio

from tanagerwalk.gateway import client_connection
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply

RECEIVE_TIMEOUT_S = 0.4
WAIT_S = 4.0


@pytest_asyncio.fixture
async def world():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=1)
        yield built


def shorten_timeout(world):
    """Let the first instance refuse a request that doesn't arrive in time."""
    listener = world.instances[0].client_listener
    get_limits = listener.get_limits
    listener.get_limits = lambda: replace(
        get_limits(), header_timeout=RECEIVE_TIMEOUT_S
    )


# Guards against a connection that stays for good, as its timeout was lost.
@pytest.mark.parametrize("delay", [0.0, 0.6])
@pytest.mark.parametrize("count", [1, client_connection.MAX_PIPELINED_REQUESTS + 2])
@pytest.mark.parametrize("cut", [30, -2])
async def test_partial_request_behind_others_times_out(world, count, cut, delay):
    shorten_timeout(world)
    world.servers["desk-0"].behaviour = Behaviour(delay=delay / count)
    reader, writer = await world.connect()
    whole = b"".join(world.encode("GET", "/jobs/1") for _ in range(count))
    partial = world.encode("POST", "/open/1", b"body")
    writer.write(whole + partial[:cut])
    async with asyncio.timeout(WAIT_S):
        statuses = [(await read_reply(reader)).status for _ in range(count + 1)]
        assert statuses == [200] * count + [408]
        assert await reader.read() == b""
    writer.close()
