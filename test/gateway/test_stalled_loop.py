"""Requests while the event loop of their instance stands still for a moment."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.attempt_timeouts import MAX_UNRESPONSIVE_TIMEOUT_S
from tanagerwalk.gateway.connections import open_connection
from tanagerwalk.gateway.connector import CONNECT_TIMEOUT_S
from tanagerwalk.gateway.tunnel_client import TUNNEL_TIMEOUT_S
from tanagerwalk.stalls import StallTolerantTimeout
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.backend import BackendStandIn
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster
from tanagerwalk.standins.paths import Cut, ServerPath

pytestmark = pytest.mark.serial

WAIT_S = 5.0
SLACK_S = 0.1
# Longer than any timeout of a connection.
STALL_S = 0.2 + max(CONNECT_TIMEOUT_S, TUNNEL_TIMEOUT_S)
# When a server answers, and a pause in which that happens and a timeout ends.
ANSWER_S = 0.3
ANSWER_STALL_S = 0.2 + MAX_UNRESPONSIVE_TIMEOUT_S
RUNNERS = [asyncio.run, uvloop.run]


def stall_dials(holder):
    """Let the loop stand still while connections are opened; return a list of them."""
    dial = holder.dial
    dials = []

    async def dial_stalled(*args, **kwargs):
        dials.append(args)
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        return await dial(*args, **kwargs)

    holder.dial = dial_stalled
    return dials


def can_tunnel(first, second):
    usages = first.servers.list_usages("desk")
    return second.peer_server.secret is not None and any(
        first.tunnel_client.rank_peers(usage.server) for usage in usages
    )


# Guards against refusals for a fraction of a second after a pause of the process: its
# own pause counted as the silence of the server, and of the peer in between.
async def test_server_is_reached_although_the_process_stood_still_while_connecting():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=1)
        dials = stall_dials(cluster.instances[0].connection_pool.connector)
        reply = await cluster.send(cluster.encode("GET", "/jobs/7"))
        assert (reply.status, len(dials)) == (200, 1)


# Guards against the same through another instance.
async def test_tunnel_is_opened_although_the_process_stood_still_meanwhile():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=2)
        first, second = cluster.instances
        assert await poll_until(lambda: can_tunnel(first, second), 0.02, WAIT_S)
        ServerPath(first).cut(Cut.RESET)
        dials = stall_dials(second.tunnel_server)
        reply = await cluster.send(cluster.encode("GET", "/jobs/7"))
        assert (reply.status, len(dials)) == (200, 1)


# Guards against the same on the loop of the processes, which looks at its timers first.
@pytest.mark.parametrize("run", RUNNERS, ids=["asyncio", "uvloop"])
def test_connection_is_opened_although_the_loop_stood_still(run):
    async def connect(address):
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        return await open_connection(address, CONNECT_TIMEOUT_S)

    with socket.create_server((find_address(), 0)) as listener:
        result = run(connect(listener.getsockname()))
    assert result.is_ok()


@contextlib.contextmanager
def run_loop_in_thread():
    """Run an event loop of its own in a thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield loop
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def add_threaded_server(cluster, loop):
    """Register a server that goes on while the loop of the cluster stands still."""
    server = BackendStandIn("desk-0")
    server.behaviour = Behaviour(delay=ANSWER_S)
    start = asyncio.run_coroutine_threadsafe(server.start(), loop)
    await asyncio.wrap_future(start)
    await cluster.store.put(*server.build_entry("desk", "a-1"))
    return server


def count_jobs(server):
    return sum(each.target == "/jobs/7" for each in server.requests)


# Guards against requests that are sent again after a pause of the process, although
# their answers had come.
@pytest.mark.parametrize("run", RUNNERS, ids=["asyncio", "uvloop"])
def test_answer_that_came_while_the_loop_stood_still_is_read(run):
    async def send(loop):
        async with GatewayCluster() as cluster:
            await cluster.build(drafts=0, desks=0, instances=0)
            server = await add_threaded_server(cluster, loop)
            await cluster.add_instance("gateway-0")
            reply = asyncio.create_task(cluster.send(cluster.encode("GET", "/jobs/7")))
            assert await poll_until(lambda: count_jobs(server) > 0, 0.01, WAIT_S)
            asyncio.get_running_loop().call_soon(time.sleep, ANSWER_STALL_S)
            status = (await reply).status
            stop = asyncio.run_coroutine_threadsafe(server.stop(), loop)
            await asyncio.wrap_future(stop)
            return status, count_jobs(server)

    with run_loop_in_thread() as loop:
        assert run(send(loop)) == (200, 1)


# Guards against a server that never answers and is waited for without end.
@pytest.mark.parametrize("stall", [0.0, 0.2, 0.6])
@pytest.mark.parametrize("run", RUNNERS, ids=["asyncio", "uvloop"])
def test_timeout_is_at_most_doubled(run, stall):
    timeout = 0.1

    async def wait():
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, stall)
        began_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with StallTolerantTimeout(timeout):
                await loop.create_future()
        return time.monotonic() - began_at

    assert run(wait()) <= stall + 2.0 * timeout + SLACK_S
