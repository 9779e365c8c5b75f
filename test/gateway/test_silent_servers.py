"""Sound servers that are silent for some seconds, and answers that wait for them."""

import asyncio
from dataclasses import replace

import pytest

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.backend import EVENT_COUNT
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import (
    BOUNDS,
    SMALL_MODEL,
    GatewayCluster,
    build_manifest,
    read_reply,
)

pytestmark = pytest.mark.serial

NO_RETRIES = replace(BOUNDS, retry_ratio=0.0, retry_slack=0.0)
# Longer than any attempt is given that another one can follow.
PAUSE_S = 2.6
# Longer than a stream may stall, shorter than the gap after which clients leave.
STALL_S = 4.0
LOST_S = 60.0
# Until one of them has reached a server that hangs.
MAX_LOOKUPS = 200
BOUND_S = 12.0
WHOLE = [b"id: %d" % number for number in range(1, EVENT_COUNT + 1)]


async def build(cluster, behaviour, bounds=BOUNDS, servers=2):
    await cluster.store.put("op/config", build_manifest())
    for number in range(servers):
        await cluster.add_server(f"draft-{number}", "drafts")
        await cluster.add_server(f"desk-{number}", "desk")
    await cluster.add_instance("gateway-0", bounds)
    for server in cluster.servers.values():
        server.behaviour = replace(behaviour)


def start(cluster, data):
    """Return the task of a request, which ends with its reply."""

    async def send():
        reader, writer = await cluster.connect()
        writer.write(data)
        try:
            async with asyncio.timeout(BOUND_S):
                return await read_reply(reader)
        finally:
            writer.close()

    return asyncio.create_task(send())


def count_runs(cluster):
    """Return the number of requests at servers, without health checks."""
    received = [each for server in cluster.servers.values() for each in server.requests]
    return sum(request.target != "/health" for request in received)


async def wait_for_run(cluster):
    assert await poll_until(lambda: count_runs(cluster) > 0, 0.01, BOUND_S)


def list_events(reply):
    return [line for line in reply.body.split(b"\n") if line.startswith(b"id")]


def list_failures(cluster):
    """Return the servers that the instance takes for failing."""
    (instance,) = cluster.instances
    usages = [instance.servers.find(name) for name in cluster.servers]
    return [usage.server.id for usage in usages if usage.failures]


# Guards against LOST: a begun stream cut for the silence of its server, though the
# retry budget let no other attempt follow.
@pytest.mark.parametrize(
    ("fault", "pause"), [("paused", PAUSE_S), ("paused_events", STALL_S)]
)
async def test_begun_stream_outlasts_a_pause_without_retry_budget(fault, pause):
    async with GatewayCluster() as cluster:
        await build(cluster, Behaviour(fault, pause=pause), NO_RETRIES)
        plan = cluster.encode_plan(X_Tanagerwalk_Deadline_Ms="5000")
        reply = await start(cluster, plan)
        assert reply.complete
        assert list_events(reply) == WHOLE
        assert count_runs(cluster) == 1
        assert not list_failures(cluster)


# Guards against LOST: a request failed for the silence of its server before the answer,
# though the retry budget let no other attempt follow.
@pytest.mark.parametrize("kind", ["stream", "lookup"])
async def test_answer_that_begins_late_is_awaited_without_retry_budget(kind):
    async with GatewayCluster() as cluster:
        await build(cluster, Behaviour("late", pause=PAUSE_S), NO_RETRIES)
        lookup = cluster.encode("GET", "/jobs/7")
        data = cluster.encode_plan() if kind == "stream" else lookup
        reply = await start(cluster, data)
        assert (reply.status, reply.complete) == (200, True)
        assert count_runs(cluster) == 1
        assert not list_failures(cluster)


# Guards against LOST: an error of the server replaced by one of the instance, as the
# server was silent amid its body and no other attempt could follow.
async def test_error_with_a_pause_is_awaited_without_retry_budget():
    async with GatewayCluster() as cluster:
        await build(cluster, Behaviour("paused_error", pause=PAUSE_S), NO_RETRIES)
        reply = await start(cluster, cluster.encode_plan())
        assert (reply.status, reply.body) == (500, b"broken")
        assert count_runs(cluster) == 1


# Guards against LOST: an answer given up for the silence of the only server, which
# another attempt can only ask again.
@pytest.mark.parametrize(("kind", "fault"), [("stream", "paused"), ("lookup", "late")])
async def test_only_server_is_waited_for_and_not_asked_again(kind, fault):
    async with GatewayCluster() as cluster:
        await build(cluster, Behaviour(fault, pause=PAUSE_S), servers=1)
        lookup = cluster.encode("GET", "/jobs/7")
        reply = await start(
            cluster, cluster.encode_plan() if kind == "stream" else lookup
        )
        assert (reply.status, reply.complete) == (200, True)
        assert count_runs(cluster) == 1


async def drain_servers(cluster, monkeypatch):
    del monkeypatch
    for name in ("draft-0", "draft-1"):
        entry = cluster.servers[name].build_entry("drafts", "a-1", state="draining")
        await cluster.store.put(*entry)
    servers = cluster.instances[0].servers
    assert await poll_until(
        lambda: not servers.has_server("drafts", lambda server: True), 0.01, BOUND_S
    )


async def quarantine_requests(cluster, monkeypatch):
    quarantine = cluster.instances[0].quarantine
    monkeypatch.setattr(quarantine, "is_quarantined", lambda request: True)


async def leave_no_time(cluster, monkeypatch):
    control = cluster.instances[0].stop_control
    monkeypatch.setattr(control, "has_time", lambda request, kind: False)


# Guards against LOST: a begun stream cut for the silence of its server, though no
# server took another attempt, or the instance would have refused it.
@pytest.mark.parametrize("hinder", [drain_servers, quarantine_requests, leave_no_time])
async def test_begun_stream_outlasts_a_pause_if_nothing_can_follow(hinder, monkeypatch):
    async with GatewayCluster() as cluster:
        await build(cluster, Behaviour("paused", pause=PAUSE_S))
        task = start(cluster, cluster.encode_plan())
        await wait_for_run(cluster)
        await hinder(cluster, monkeypatch)
        reply = await task
        assert reply.complete
        assert list_events(reply) == WHOLE
        assert count_runs(cluster) == 1


# Guards against a request that stays with a server that is lost, though another one
# has become ready meanwhile.
@pytest.mark.parametrize(("kind", "fault"), [("stream", "paused"), ("lookup", "late")])
async def test_request_goes_on_elsewhere_once_that_is_possible(kind, fault):
    async with GatewayCluster() as cluster:
        await build(cluster, Behaviour(fault, pause=LOST_S), servers=1)
        lookup = cluster.encode("GET", "/jobs/7")
        task = start(cluster, cluster.encode_plan() if kind == "stream" else lookup)
        await wait_for_run(cluster)
        await asyncio.sleep(PAUSE_S)
        assert count_runs(cluster) == 1
        await cluster.add_server("draft-1", "drafts")
        await cluster.add_server("desk-1", "desk")
        reply = await task
        assert (reply.status, reply.complete) == (200, True)
        assert kind == "lookup" or list_events(reply) == WHOLE
        assert count_runs(cluster) == 2


# Guards against LOST: a whole answer of a small model dropped for a larger model's,
# though no server took another attempt, or the instance would have refused it.
@pytest.mark.parametrize("hinder", [drain_servers, quarantine_requests, leave_no_time])
async def test_answer_in_hand_is_kept_if_no_larger_model_can_follow(
    hinder, monkeypatch
):
    async with GatewayCluster() as cluster:
        unsure = Behaviour("late", pause=1.0, confidence={SMALL_MODEL: 10})
        await build(cluster, unsure)
        task = start(cluster, cluster.encode_plan())
        await wait_for_run(cluster)
        await hinder(cluster, monkeypatch)
        reply = await task
        assert (reply.status, reply.complete) == (200, True)
        assert list_events(reply) == WHOLE
        assert count_runs(cluster) == 1


# Guards against requests that wait until their deadline at a brittle server that hangs,
# though others would take them.
async def test_lookup_leaves_a_brittle_server_that_hangs():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=4)
        for server in cluster.servers.values():
            server.behaviour = Behaviour(brittle="20")
        lookups = [cluster.encode("GET", f"/jobs/{n}") for n in range(20)]
        await asyncio.gather(*map(cluster.send, lookups))
        hung = cluster.servers["desk-0"]
        hung.behaviour = Behaviour("silent", brittle="20")
        replies = []
        for _ in range(MAX_LOOKUPS):
            if any(request.target == "/jobs/x" for request in hung.requests):
                break
            lookup = cluster.encode("GET", "/jobs/x")
            replies.append(asyncio.create_task(cluster.send(lookup)))
            await asyncio.sleep(0.02)
        answered = await asyncio.gather(*replies)
    assert len(replies) < MAX_LOOKUPS
    assert {reply.status for reply in answered} == {200}
