"""Requests that stop arriving behind others on the same connection."""

import asyncio
import socket
import time
from dataclasses import replace

import pytest
import pytest_asyncio
import uvloop
from paused_loop import PausedLoop

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway import client_connection
from tanagerwalk.standins.addresses import find_address
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


async def send_rest_during_pause(cut):
    """Return what answers a request whose rest comes while the process stands still."""
    async with GatewayCluster() as world:
        await world.build(drafts=0, desks=1)
        shorten_timeout(world)
        listener = world.instances[0].client_listener
        request = world.encode("POST", "/open/1", b"body")
        with socket.create_connection((find_address(), listener.port)) as connection:
            connection.settimeout(WAIT_S)
            connection.sendall(request[:cut])
            assert await poll_until(lambda: listener.in_flight == 1, 0.005, WAIT_S)
            PausedLoop(2 * RECEIVE_TIMEOUT_S).begin()

            def send_late():
                time.sleep(0.5 * RECEIVE_TIMEOUT_S)
                connection.sendall(request[cut:])
                return connection.recv(65536).split(b"\r\n")[0]

            return await asyncio.to_thread(send_late)


# Guards against refusals of requests that came in time: after a pause of the process in
# a callback, uvloop ran the timer of the receive timeout before it read the rest.
@pytest.mark.parametrize("cut", [30, -2])
def test_request_whose_rest_came_during_a_pause_is_answered(cut):
    assert uvloop.run(send_rest_during_pause(cut)) == b"HTTP/1.1 200 OK"
