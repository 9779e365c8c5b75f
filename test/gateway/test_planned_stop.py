"""A planned stop of one instance while clients go on and servers are slow."""

import asyncio
import dataclasses
import json
import time

import pytest
import pytest_asyncio
from gateway_process import GatewayProcessRig

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.planned_stop import ACCEPT_AFTER_STOP_S
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import (
    BOUNDS,
    GatewayCluster,
    build_manifest,
    read_reply,
)
from tanagerwalk.standins.paths import Cut, ServerPath

pytestmark = pytest.mark.serial

GRACE_S = 4.0
# As in the settings of the rig.
PROCESS_GRACE_S = 3.0
SLOW_S = 1.5
# Longer than the grace.
STUCK_S = 30.0
CLIENT_PAUSE_S = 0.15
DEADLINE_MS = "12000"
WAIT_S = 5.0
ATTEMPT_ID = "x-tanagerwalk-attempt-id"


def lengthen_timeouts():
    """Return the routes of the stand-in with timeouts longer than the grace."""
    routes = json.loads(build_manifest())["routes"]
    return [route | {"timeout_ms": 12000} for route in routes]


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=2, desks=2, instances=0)
        manifest = build_manifest(version=2, routes=lengthen_timeouts())
        await built.store.put("op/config", manifest)
        bounds = dataclasses.replace(BOUNDS, shutdown_grace=GRACE_S)
        await built.add_instance("gateway-0", bounds)
        yield built


def set_behaviour(cluster, **changes):
    for server in cluster.servers.values():
        server.behaviour = Behaviour(**changes)


def encode(cluster, kind, number, **headers):
    """Return the bytes of a request of a kind of route."""
    common = {"X_Tanagerwalk_Deadline_Ms": DEADLINE_MS} | headers
    if kind == "stream":
        return cluster.encode_plan(**common)
    if kind == "once":
        return cluster.encode("POST", f"/bookings/{number}", b"slot", **common)
    return cluster.encode("GET", f"/jobs/{number}", **common)


@dataclasses.dataclass
class Sent:
    """A request of a client, and what became of it.

    `reply` is None if the connection ended without an answer, or none was opened.
    """

    kind: str
    attempt_id: str
    since_signal: float
    reply: object = None
    seconds: float = 0.0


class Clients:
    """Clients that go on during a stop, over kept and over new connections."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.signal_at = float("inf")
        self.sent = []
        self.ended = False

    async def run(self, kind, keeps, delay):
        """Send requests of a kind, one after the other, until `ended`."""
        await asyncio.sleep(delay)
        connection = None
        number = 0
        while not self.ended:
            number += 1
            connection = await self._send_one(kind, number, connection)
            if connection is not None and not keeps:
                connection[1].close()
                connection = None
            await asyncio.sleep(CLIENT_PAUSE_S)
        if connection is not None:
            connection[1].close()

    async def _send_one(self, kind, number, connection):
        """Send a request and return the connection if it can be used once more."""
        attempt_id = f"{kind}-{id(connection)}-{number}-{len(self.sent)}"
        data = encode(self.cluster, kind, number, X_Tanagerwalk_Attempt_Id=attempt_id)
        try:
            reader, writer = connection or await self.cluster.connect()
        except OSError:
            return None
        started_at = time.monotonic()
        sent = Sent(kind, attempt_id, started_at - self.signal_at)
        self.sent.append(sent)
        writer.write(data)
        try:
            sent.reply = await read_reply(reader)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
            return None
        sent.seconds = time.monotonic() - started_at
        if sent.reply.headers.get("connection") == "close":
            writer.close()
            return None
        return reader, writer


def list_passed_on(cluster):
    """Return the ids of the requests that a server has seen."""
    requests = [r for r in list_requests(cluster) if not r.rejected]
    without_id = [r for r in requests if ATTEMPT_ID not in r.headers]
    assert without_id == []
    return {request.headers[ATTEMPT_ID] for request in requests}


async def stop_under_load(cluster, seconds_before):
    """Stop the instance while clients go on; return the clients."""
    clients = Clients(cluster)
    tasks = [
        asyncio.create_task(clients.run(kind, number % 4 == 0, 0.2 * number))
        for kind in ("once", "again", "stream")
        for number in range(8)
    ]
    await asyncio.sleep(seconds_before)
    clients.signal_at = time.monotonic()
    instance = cluster.instances[0]
    await instance.stop()
    assert time.monotonic() - clients.signal_at < GRACE_S
    clients.ended = True
    await asyncio.wait(tasks, timeout=WAIT_S)
    return clients


# Guards against LOST: requests that came late in the grace were passed on to servers
# that couldn't answer before its end, and were cut with no answer.
async def test_no_request_that_was_passed_on_ends_without_an_answer(cluster):
    set_behaviour(cluster, delay=SLOW_S)
    for server in cluster.servers.values():
        if server.id.startswith("draft"):
            server.behaviour = Behaviour(delay=SLOW_S / 5)
    clients = await stop_under_load(cluster, 2.5 * SLOW_S)
    passed_on = list_passed_on(cluster)
    cut = [sent for sent in clients.sent if sent.reply is None]
    assert [sent for sent in cut if sent.attempt_id in passed_on] == []
    late = [sent for sent in clients.sent if sent.reply and sent.reply.status != 200]
    assert late
    for sent in late:
        assert sent.reply.status == 503
        assert sent.attempt_id not in passed_on
        assert sent.seconds < 0.3
        assert float(sent.reply.headers["retry-after"]) < 0.5
    early = [sent for sent in clients.sent if 0 < sent.since_signal < 1.0]
    assert {sent.reply.status for sent in early} == {200}


async def test_short_requests_are_served_while_new_connections_come(cluster):
    """Guards against refusals that a stop doesn't call for."""
    clients = await stop_under_load(cluster, 1.0)
    served = [sent for sent in clients.sent if 0 < sent.since_signal < 2.0]
    assert len(served) > 100
    assert {sent.reply and sent.reply.status for sent in served} == {200}


# Guards against requests that were cut at the end of the grace with no answer.
@pytest.mark.parametrize("kind", ["once", "again"])
async def test_request_that_runs_at_the_end_of_the_grace_gets_an_answer(cluster, kind):
    set_behaviour(cluster, delay=STUCK_S)
    running = asyncio.create_task(cluster.send(encode(cluster, kind, 1)))
    assert await poll_until(lambda: list_passed_on(cluster), 0.01, WAIT_S)
    instance = cluster.instances.pop()
    await instance.stop()
    reply = await asyncio.wait_for(running, 1.0)
    assert reply.status in (502, 504)
    requests = list_requests(cluster)
    assert await poll_until(lambda: all(r.cancelled for r in requests), 0.01, 0.5)


async def test_stream_that_runs_at_the_end_of_the_grace_is_broken_off(cluster):
    """Guards against a stream that looks complete although the stop has cut it."""
    set_behaviour(cluster, delay=1.2)
    running = asyncio.create_task(cluster.send(encode(cluster, "stream", 1)))
    assert await poll_until(lambda: list_passed_on(cluster), 0.01, WAIT_S)
    instance = cluster.instances.pop()
    await instance.stop()
    reply = await asyncio.wait_for(running, 1.0)
    assert reply.status == 200
    assert not reply.complete
    assert 1 <= reply.body.count(b"id: ") < 5


# Guards against answers that were ready, but still in the process at its end.
async def test_answer_that_a_slow_reader_still_takes_is_not_cut(cluster):
    body = b"y" * 14_000_000
    head = (
        b"HTTP/1.1 200 OK\r\nX-Tanagerwalk-Attempt-Id: @id\r\n"
        b"X-Tanagerwalk-Response-Seal: desk.@id\r\nContent-Length: %d\r\n\r\n"
    )
    set_behaviour(cluster, fault="raw", raw=head % len(body) + body)
    reader, writer = await cluster.connect()
    writer.write(encode(cluster, "once", 1))
    assert await poll_until(lambda: list_passed_on(cluster), 0.01, WAIT_S)
    await asyncio.sleep(0.3)
    instance = cluster.instances.pop()
    stopping = asyncio.create_task(instance.stop())
    await asyncio.sleep(ACCEPT_AFTER_STOP_S + 0.1)
    received = b""
    while len(received) < len(body):
        data = await reader.read(200_000)
        assert data, f"cut after {len(received)} bytes"
        received += data
        await asyncio.sleep(0.01)
    await stopping
    writer.close()


# Guards against a retry that can't end before the stop, of a request that has not run.
@pytest.mark.parametrize("kind", ["once", "again"])
async def test_rejected_request_is_refused_if_its_retry_cannot_end(cluster, kind):
    set_behaviour(cluster, delay=SLOW_S)
    assert (await cluster.send(encode(cluster, kind, 1))).status == 200
    set_behaviour(cluster, fault="late_refuse", delay=1.9)
    seen = len(list_requests(cluster))
    running = asyncio.create_task(cluster.send(encode(cluster, kind, 2)))
    assert await poll_until(lambda: len(list_requests(cluster)) > seen, 0.01, WAIT_S)
    await cluster.instances.pop().stop()
    assert (await running).status == 503
    assert len(list_requests(cluster)) == seen + 1


def list_requests(cluster):
    return [r for server in cluster.servers.values() for r in server.requests]


# Guards against a client that gets no answer because the instance through which its
# own one reaches the server has stopped.
@pytest.mark.parametrize("kind", ["once", "again", "stream"])
async def test_tunnel_that_is_cut_by_a_stop_costs_no_answer(cluster, kind):
    (first,) = cluster.instances
    bounds = dataclasses.replace(BOUNDS, shutdown_grace=2.0)
    second = await cluster.add_instance("gateway-1", bounds)
    assert await cluster.wait_until_connected()
    ServerPath(first).cut(Cut.RESET)
    set_behaviour(cluster, delay=STUCK_S)
    running = asyncio.create_task(cluster.send(encode(cluster, kind, 1), first))
    assert await poll_until(lambda: list_passed_on(cluster), 0.01, WAIT_S)
    cluster.instances.remove(second)
    await second.stop()
    reply = await asyncio.wait_for(running, WAIT_S)
    assert reply.status in (502, 504)


# Guards against SIGKILL, and so against cut requests, because the stop waits for the
# store longer than the grace allows.
@pytest.mark.parametrize("mode", ["up", "silent"])
async def test_process_answers_and_ends_within_the_grace(tmp_path, mode):
    routes = lengthen_timeouts()
    async with GatewayProcessRig(tmp_path, manifest={"routes": routes}) as rig:
        assert await rig.wait_for_log("membership entry written", WAIT_S)
        for server in rig.servers:
            server.behaviour = Behaviour(delay=STUCK_S)
        cluster = GatewayCluster()
        reader, writer = await rig.connect()
        writer.write(encode(cluster, "once", 1))
        assert await poll_until(lambda: any(s.requests for s in rig.servers), 0.01, 5.0)
        rig.store.mode = mode
        stopped_at = time.monotonic()
        stopping = asyncio.create_task(rig.stop())
        reply = await read_reply(reader)
        assert reply.status in (502, 504)
        assert await stopping == 0
        assert time.monotonic() - stopped_at < PROCESS_GRACE_S
        writer.close()


async def test_idle_connections_that_still_come_do_not_hold_up_the_stop(cluster):
    """Guards against stops that last the whole grace although nothing runs."""
    instance = cluster.instances.pop()

    async def knock():
        while True:
            _, writer = await cluster.connect(instance)
            await asyncio.sleep(0.002)
            writer.close()

    knocking = [asyncio.create_task(knock()) for _ in range(20)]
    started_at = time.monotonic()
    await instance.stop()
    assert time.monotonic() - started_at < ACCEPT_AFTER_STOP_S + 0.3
    for task in knocking:
        task.cancel()
