"""Failure domains to which the operators let nothing more be sent."""

import asyncio
import dataclasses
import json
import random
import time

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions import evacuations
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.permits import STALL_S, WARM_UP_S
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.permit_coordinator import PermitCoordinator
from tanagerwalk.gateway.permit_notes import PermitNote, PermitNoteKind
from tanagerwalk.gateway.tunnels import TunnelFault
from tanagerwalk.registry import RegisteredServer, ServerState
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import (
    BOUNDS,
    GatewayCluster,
)
from tanagerwalk.standins.paths import Cut, ServerPath

WAIT_S = 5.0
DELAY_S = BOUNDS.evacuation_delay
# Between the last choice of a server and the arrival of the request there.
MARGIN_S = 0.5
SHARED_DOMAIN_SIZE = 6


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=0, instances=0)
        for domain in ("a-1", "a-2", "a-3"):
            await built.add_server(f"desk-{domain}", "desk", domain=domain)
            await built.add_server(f"draft-{domain}", "drafts", domain=domain)
        for number in range(2):
            await built.add_instance(f"gateway-{number}")
        assert await built.wait_until_connected()
        yield built


async def wait_for(cluster, *domains, seconds=WAIT_S):
    """Return whether exactly these failure domains are evacuated by all instances."""
    return await poll_until(
        lambda: all(i.servers.evacuated == {*domains} for i in cluster.instances),
        0.01,
        seconds,
    )


async def send_for(cluster, seconds):
    """Send requests through all instances for a while and return the replies."""
    ends_at = time.monotonic() + seconds
    tasks = []
    while time.monotonic() < ends_at:
        for instance in cluster.instances:
            for data in (cluster.encode("GET", "/jobs/7"), cluster.encode_plan()):
                tasks.append(asyncio.create_task(cluster.send(data, instance)))
        await asyncio.sleep(0.02)
    return await asyncio.gather(*tasks)


def count_since(cluster, domain, since):
    """Return how many requests the servers of a failure domain got since a time."""
    return sum(
        request.received_at >= since
        for name, server in cluster.servers.items()
        if name.endswith(domain)
        for request in server.requests
    )


# Guards against EVAC: nothing read these entries.
async def test_no_request_of_any_kind_arrives_after_the_bound(cluster):
    await send_for(cluster, 0.3)
    assert count_since(cluster, "a-1", 0.0) > 0
    await cluster.evacuate("a-1")
    acked_at = time.monotonic()
    replies = await send_for(cluster, DELAY_S + 1.0)
    assert count_since(cluster, "a-1", acked_at + 0.5 * DELAY_S + MARGIN_S) == 0
    assert {reply.status for reply in replies} == {200}


async def test_two_at_once_and_one_taken_back_while_another_begins(cluster):
    await cluster.evacuate("a-1", "a-2")
    assert await wait_for(cluster, "a-1", "a-2")
    await cluster.end_evacuation("a-1")
    await cluster.evacuate("a-3")
    assert await wait_for(cluster, "a-2", "a-3")
    began = time.monotonic()
    replies = await send_for(cluster, 0.5)
    assert {reply.status for reply in replies} == {200}
    assert count_since(cluster, "a-1", began) == len(replies)


async def test_service_that_is_evacuated_everywhere_is_refused_at_once(cluster):
    await cluster.evacuate("a-1", "a-2", "a-3")
    assert await wait_for(cluster, "a-1", "a-2", "a-3")
    began = time.monotonic()
    reply = await cluster.send(cluster.encode("GET", "/jobs/7"))
    assert time.monotonic() - began < 0.2
    assert (reply.status, reply.body) == (503, b"not run: evacuated\n")
    assert float(reply.headers["retry-after"]) > 0.0
    assert count_since(cluster, "", began) == 0
    await cluster.end_evacuation("a-3")
    assert await wait_for(cluster, "a-1", "a-2")
    assert (await cluster.send(cluster.encode("GET", "/jobs/7"))).status == 200


async def test_unknown_failure_domain_is_kept_and_does_no_harm(cluster):
    await cluster.evacuate("z-9")
    assert await wait_for(cluster, "z-9")
    replies = await send_for(cluster, 0.2)
    assert {reply.status for reply in replies} == {200}
    await cluster.add_server("desk-z-9", "desk", domain="z-9")
    servers = cluster.instances[0].servers
    assert await poll_until(lambda: servers.find("desk-z-9"), 0.01, WAIT_S)
    assert not servers.find("desk-z-9").accepts_requests


async def test_running_request_ends_in_peace_and_no_failure_is_recorded(cluster):
    for server in cluster.servers.values():
        server.behaviour = Behaviour(delay=3.0)
    requests = [cluster.encode("POST", "/bookings/7", b"x") for _ in range(3)]
    tasks = [asyncio.create_task(cluster.send(data)) for data in requests]
    running = cluster.servers["desk-a-1"].requests
    assert await poll_until(lambda: bool(running), 0.01, WAIT_S)
    await cluster.evacuate("a-1")
    assert await wait_for(cluster, "a-1")
    assert not any(request.finished for request in running)
    assert {reply.status for reply in await asyncio.gather(*tasks)} == {200}
    assert not any(request.cancelled for request in running)
    for instance in cluster.instances:
        assert instance.servers.find("desk-a-1").failures == 0


# Retries of requests that began before, with all other servers failing.
async def test_retry_goes_to_no_evacuated_server(cluster):
    first = cluster.instances[0]
    await cluster.evacuate("a-2", "a-3")
    assert await wait_for(cluster, "a-2", "a-3")
    began = time.monotonic()
    cluster.servers["desk-a-1"].behaviour = Behaviour("reset")
    reply = await cluster.send(cluster.encode("GET", "/jobs/7"), first)
    assert reply.status in (502, 503)
    assert count_since(cluster, "a-2", began) + count_since(cluster, "a-3", began) == 0


async def test_metric_and_hook_tell_the_end(cluster):
    first = cluster.instances[0]
    ended = []
    first.servers.on_evacuation_end = ended.append
    await cluster.evacuate("a-2")
    assert await wait_for(cluster, "a-2")
    line = b'tanagerwalk_gateway_evacuated{failure_domain="a-2"} 1.0'
    assert line in first.metrics_page.render()
    await cluster.end_evacuation("a-2")
    assert await wait_for(cluster)
    assert line not in first.metrics_page.render()
    assert ended == [{"a-2"}]


async def test_restored_store_that_lacks_it_does_not_take_it_back(cluster, monkeypatch):
    monkeypatch.setattr(evacuations, "RESTORE_GRACE_S", 2.0)
    copy = cluster.store.take_copy()
    await cluster.evacuate("a-1", "a-2")
    assert await wait_for(cluster, "a-1", "a-2")
    await cluster.store.restore(copy)
    restored_at = time.monotonic()
    await asyncio.sleep(1.0)
    assert await wait_for(cluster, "a-1", "a-2", seconds=0.0)
    await cluster.evacuate("a-2")
    assert await wait_for(cluster, "a-2")
    assert time.monotonic() - restored_at >= 2.0
    await asyncio.sleep(2.5)
    assert await wait_for(cluster, "a-2", seconds=0.0)
    await cluster.end_evacuation("a-2")
    assert await wait_for(cluster)


# Guards against requests that an instance which doesn't know yet sends through one
# that does, over a kept tunnel or a new one.
async def test_instance_that_knows_opens_no_tunnel_to_an_evacuated_server(cluster):
    first, second = cluster.instances
    ServerPath(first).cut(Cut.RESET)
    assert (await cluster.send(cluster.encode("GET", "/jobs/7"), first)).status == 200
    assert second.tunnel_server.tunnel_count > 0
    first.mirror._feed.read = hang
    await asyncio.sleep(1.0)
    await cluster.evacuate("a-1", "a-2", "a-3")
    assert await poll_until(lambda: len(second.servers.evacuated) == 3, 0.01, WAIT_S)
    assert first.servers.evacuated == frozenset()
    await asyncio.sleep(0.3)
    began = time.monotonic()
    reply = await cluster.send(cluster.encode("GET", "/jobs/7"), first)
    assert reply.status == 503
    assert count_since(cluster, "", began) == 0
    usage = first.servers.find("desk-a-1")
    fault = (await second.tunnel_server._connect(usage.server.id)).error
    assert fault is TunnelFault.EVACUATED


async def hang(revision, may_wait=True):
    await asyncio.sleep(3600.0)


# The instances of the failure domain are cut off from the store while it is evacuated.
async def test_instance_that_was_cut_off_stops_as_soon_as_it_hears(cluster):
    cluster.store.mode = "silent"
    await asyncio.sleep(1.0)
    await cluster.evacuate("a-1")
    await asyncio.sleep(1.0)
    cluster.store.mode = "up"
    assert await wait_for(cluster, "a-1", seconds=DELAY_S)
    began = time.monotonic()
    replies = await send_for(cluster, 0.3)
    assert {reply.status for reply in replies} == {200}
    assert count_since(cluster, "a-1", began) == 0


async def test_instance_that_starts_later_begins_without_the_domain(cluster):
    await cluster.evacuate("a-1")
    late = await cluster.add_instance("gateway-late")
    assert late.servers.evacuated == {"a-1"}


# Guards against an instance that learns of the restore from the shared watcher.
async def test_restore_that_a_shared_watcher_tells_of_takes_no_evacuation_back():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=SHARED_DOMAIN_SIZE)
        assert await cluster.wait_until_connected()
        await asyncio.sleep(1.0)
        copy = cluster.store.take_copy()
        await cluster.evacuate("a-2")
        assert await wait_for(cluster, "a-2")
        await cluster.store.restore(copy)
        mirrors = [instance.mirror for instance in cluster.instances]
        assert await poll_until(lambda: all(m.era for m in mirrors), 0.02, WAIT_S)
        await asyncio.sleep(2.0)
        assert await wait_for(cluster, "a-2", seconds=0.0)


# The copy of the store lacks the request; the other instances know it.
async def test_instance_that_starts_after_a_restore_is_told(cluster, monkeypatch):
    monkeypatch.setattr(evacuations, "RESTORE_GRACE_S", 3.0)
    copy = cluster.store.take_copy()
    await cluster.evacuate("a-1")
    assert await wait_for(cluster, "a-1")
    await cluster.store.restore(copy)
    late = await cluster.add_instance("gateway-late")
    assert late.servers.evacuated == {"a-1"}
    assert await wait_for(cluster)


@pytest.mark.parametrize("trouble", ["lost", "silent", "compacted", "lost-twice"])
async def test_evacuation_is_known_in_time_whatever_the_store_does(cluster, trouble):
    if trouble.startswith("lost"):
        cluster.store.lost_answers = 4 if trouble == "lost-twice" else 1
    if trouble == "silent":
        cluster.store.silence_connections()
    await cluster.evacuate("a-1")
    acked_at = time.monotonic()
    if trouble == "compacted":
        cluster.store.compact()
    assert await wait_for(cluster, "a-1", seconds=0.6 * DELAY_S)
    await send_for(cluster, 0.3)
    assert count_since(cluster, "a-1", acked_at + 0.6 * DELAY_S) == 0


# An entry of the operators reaches the instances that ask a shared watcher.
@pytest.mark.parametrize("lost", [0, 3])
async def test_evacuation_is_known_in_time_where_the_watcher_is_shared(lost):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=SHARED_DOMAIN_SIZE)
        assert await cluster.wait_until_connected()
        await asyncio.sleep(1.0)
        assert sum(i.feed.is_watcher for i in cluster.instances) == 1
        cluster.store.lost_answers = lost
        await cluster.evacuate("a-2")
        assert await wait_for(cluster, "a-2", seconds=0.6 * DELAY_S)


# Long bounds let the copy rest for long; the operators' watch ends the pause.
async def test_operator_watch_tells_of_an_evacuation_within_a_long_pause():
    bounds = dataclasses.replace(BOUNDS, change_delay=60.0, drain_timeout=60.0)
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1, instances=0)
        bounds = dataclasses.replace(bounds, evacuation_delay=60.0)
        instance = await cluster.add_instance("gateway", bounds)
        await asyncio.sleep(2.0)
        await cluster.evacuate("a-1")
        seen = instance.cluster_state
        assert await poll_until(lambda: "a-1" in seen.evacuations, 0.01, 1.0)


async def test_short_evacuation_delay_shortens_the_pauses_of_the_copy():
    bounds = dataclasses.replace(BOUNDS, evacuation_delay=1.0)
    async with GatewayCluster() as cluster:
        instance = cluster.build_instance("gateway", bounds)
        assert instance.store_copy.find_change_delay() == 1.0
        await instance.close()


# Guards against EVAC: the holder of the permit doesn't know of the evacuation yet.
def test_coordinator_that_knows_grants_no_place_at_an_evacuated_server():
    pool = ServerPool(
        Home("a-1", "a"), SharedLoadTable(), PathTable(), random.Random(1)
    )
    domains = ("a-1", "a-2")
    servers = [
        RegisteredServer(f"s-{d}", "desk", ("", 1), d, "v1", 9, ServerState.READY, 1)
        for d in domains
    ]
    pool.replace_servers(servers)
    pool.set_evacuated(frozenset({"a-1"}))
    lives = tuple(map(hash_life, servers))
    now, sent = 0.0, []
    coordinator = PermitCoordinator(
        pool, lambda holder, note: sent.append(note), lambda service: False, lambda: now
    )
    coordinator.receive("holder", PermitNote(PermitNoteKind.RENEW, "desk", (), ()))
    while now < WARM_UP_S + STALL_S:
        now += 0.5 * STALL_S
        coordinator.advance()
    for number in range(4):
        ask = PermitNote(PermitNoteKind.ASK, "desk", (number,), lives, wait=0.5)
        coordinator.receive("holder", ask)
    assert [note.kind for note in sent] == 4 * [PermitNoteKind.GRANTED]
    assert {note.lives for note in sent} == {(lives[1],)}


# Guards against EXPOSURE: a release on trial gets all requests of the evacuated one.
async def test_release_on_trial_does_not_take_over_for_an_evacuated_one(cluster):
    trial = await cluster.add_server("desk-new", "desk", "v2", domain="a-4")
    order = {"service": "desk", "target": "v2", "duration_s": 60}
    await cluster.store.put("op/rollout/desk", json.dumps(order).encode())
    assert await poll_until(
        lambda: all(i.cluster_state.orders for i in cluster.instances), 0.01, WAIT_S
    )
    await cluster.evacuate("a-1", "a-2", "a-3")
    assert await wait_for(cluster, "a-1", "a-2", "a-3")
    before = len(trial.requests)
    tasks = [cluster.send(cluster.encode("GET", f"/jobs/{n}")) for n in range(40)]
    replies = await asyncio.gather(*tasks)
    assert sum(reply.body == b"not run: evacuated\n" for reply in replies) > 20
    allowed = BOUNDS.canary_share * len(replies) + BOUNDS.canary_slack
    assert len(trial.requests) - before < min(20, allowed)
