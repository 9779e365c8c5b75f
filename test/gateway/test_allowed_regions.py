"""Requests of routes and accounts that may be processed in some regions only."""

import asyncio
import json

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import (
    GatewayCluster,
    build_regional_manifest,
)
from tanagerwalk.standins.paths import Cut, ServerPath

pytestmark = pytest.mark.serial

WAIT_S = 5.0
DOMAINS = {"a": "a-1", "b": "b-1", "c": "c-1"}


@pytest_asyncio.fixture
async def cluster():
    """Start an instance and servers of both services in each of three regions."""
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=0, instances=0)
        for region, domain in DOMAINS.items():
            await built.add_server(f"desk-{region}", "desk", domain=domain)
            await built.add_server(f"draft-{region}", "drafts", domain=domain)
            await built.add_instance(f"gateway-{region}", domain=domain)
        assert await built.wait_until_connected()
        yield built


async def put_manifest(cluster, version, *args, **changes):
    """Write a manifest and wait until it is in force everywhere."""
    data = build_regional_manifest(version, *args, **changes)
    await cluster.store.put("op/config", data)
    assert await poll_until(
        lambda: all(
            instance.cluster_state.manifest.version == version
            for instance in cluster.instances
        ),
        0.01,
        WAIT_S,
    )


def count_by_region(cluster, service):
    return {
        region: len(cluster.servers[f"{service}-{region}"].requests)
        for region in DOMAINS
    }


async def send_jobs(cluster, count, path="/jobs/7", instances=None):
    """Send requests to instances in turn, by default all; return the replies."""
    instances = instances or cluster.instances
    return await asyncio.gather(
        *(
            cluster.send(
                cluster.encode("GET", path),
                instances[number % len(instances)],
            )
            for number in range(count)
        )
    )


# Guards against requests that run outside of the regions of their route or account;
# servers that fail make them try others.
@pytest.mark.parametrize("service", ["desk", "draft"])
async def test_route_and_account_both_bind(cluster, service):
    routes = {"jobs": ["a", "b"], "plans": ["a", "b"]}
    await put_manifest(cluster, 2, routes, ["b", "c"])
    cluster.servers[f"{service}-b"].behaviour = Behaviour("refuse", times=20)
    encode = cluster.encode_plan
    if service == "desk":
        encode = lambda: cluster.encode("GET", "/jobs/7")  # noqa: E731
    for instance in cluster.instances:
        sends = (cluster.send(encode(), instance) for _ in range(40))
        await asyncio.gather(*sends)
    seen = count_by_region(cluster, service)
    assert seen["a"] == seen["c"] == 0
    assert seen["b"] > 60


# Guards against an account that is bound only where a key is needed.
async def test_account_is_bound_on_a_public_route(cluster):
    await put_manifest(cluster, 2, {}, ["c"])
    replies = await send_jobs(cluster, 30, "/open/7")
    assert {reply.status for reply in replies} == {200}
    assert count_by_region(cluster, "desk") == {"a": 0, "b": 0, "c": 30}


async def test_stream_is_resumed_in_the_allowed_regions(cluster):
    await put_manifest(cluster, 2, {"plans": ["a", "b"]})
    for region in "ab":
        cluster.servers[f"draft-{region}"].behaviour = Behaviour("torn", times=1)
    replies = [await cluster.send(cluster.encode_plan()) for _ in range(6)]
    assert any(reply.complete for reply in replies)
    assert count_by_region(cluster, "draft")["c"] == 0


# Guards against a request that goes to another region because the servers are full.
async def test_full_servers_are_not_replaced_by_others(cluster):
    await put_manifest(cluster, 2, {"jobs": ["b"]})
    cluster.servers["desk-b"].behaviour = Behaviour("refuse", retry_after="2")
    replies = await send_jobs(cluster, 9)
    assert {reply.status for reply in replies} == {503}
    seen = count_by_region(cluster, "desk")
    assert seen["a"] == seen["c"] == 0


async def read_refusal(cluster, reason):
    """Send one request and return its refusal, which tells the reason."""
    reply = await cluster.send(cluster.encode("GET", "/jobs/7"))
    assert reply.status == 503
    assert 0.0 < float(reply.headers["retry-after"]) < 2.0
    metrics = cluster.instances[0].metrics
    assert f'refusals_total{{reason="{reason}"}}'.encode() in metrics.render()
    return reply


@pytest.mark.parametrize(
    ("regions", "of_account", "reason"),
    [
        (["d"], [], "no_allowed_server"),
        (["a"], ["b"], "no_allowed_region"),
    ],
    ids=["unknown region", "nothing in common"],
)
async def test_refused_at_once_without_an_allowed_server(
    cluster, regions, of_account, reason
):
    await put_manifest(cluster, 2, {"jobs": regions}, of_account)
    await read_refusal(cluster, reason)
    assert count_by_region(cluster, "desk") == {"a": 0, "b": 0, "c": 0}


async def test_server_of_a_domain_without_a_region_is_in_none(cluster):
    await cluster.add_server("desk-x", "desk", domain="x-1")
    await put_manifest(cluster, 2, {"jobs": ["a", "b", "c"]})
    await send_jobs(cluster, 30)
    assert not cluster.servers["desk-x"].requests
    await put_manifest(cluster, 3, {"jobs": ["x"]})
    await read_refusal(cluster, "no_allowed_server")


async def test_unknown_region_is_logged_once_and_widens_nothing(cluster, monkeypatch):
    lines = []
    monkeypatch.setattr(
        "tanagerwalk.gateway.request_regions.log.warning",
        lambda event, **fields: lines.append((event, fields["regions"])),
        raising=False,
    )
    await put_manifest(cluster, 2, {"jobs": ["b", "d"]}, ["b", "e"])
    await cluster.store.put("other", b"1")
    await asyncio.sleep(0.2)
    await send_jobs(cluster, 12)
    assert lines == [("manifest names unknown regions", ["d", "e"])] * 3
    assert count_by_region(cluster, "desk") == {"a": 0, "b": 12, "c": 0}


# Guards against a refusal that blames the servers, or a request that goes elsewhere,
# when the allowed region is cut off from this instance.
async def test_refusal_tells_that_the_allowed_region_is_cut_off(cluster):
    await put_manifest(cluster, 2, {"jobs": ["b"]})
    for instance in cluster.instances:
        ServerPath(instance).cut(Cut.REFUSED)
    await cluster.send(cluster.encode("GET", "/jobs/7"))
    reply = await read_refusal(cluster, "allowed_regions_unreachable")
    assert b"can't be reached (b)" in reply.body
    assert count_by_region(cluster, "desk") == {"a": 0, "b": 0, "c": 0}


# Guards against a request that waits or is tried again by the regions of a manifest
# that is not in force any more.
async def test_narrowed_manifest_binds_further_attempts(cluster):
    await put_manifest(cluster, 2, {"jobs": ["a", "b"]})
    for region in "ab":
        behaviour = Behaviour("late_refuse", delay=0.5, times=4)
        cluster.servers[f"desk-{region}"].behaviour = behaviour
    sends = [
        asyncio.create_task(cluster.send(cluster.encode("GET", "/jobs/7")))
        for _ in range(4)
    ]
    assert await poll_until(
        lambda: sum(count_by_region(cluster, "desk").values()) == 4, 0.01, WAIT_S
    )
    await put_manifest(cluster, 3, {"jobs": ["b", "c"]})
    before = count_by_region(cluster, "desk")
    await asyncio.gather(*sends)
    after = count_by_region(cluster, "desk")
    assert after["a"] == before["a"]
    assert after["c"] == 0
    assert after["b"] > before["b"]


async def test_widened_manifest_does_not_free_what_has_begun(cluster):
    await put_manifest(cluster, 2, {"jobs": ["b"]})
    behaviour = Behaviour("late_refuse", delay=0.5, times=1)
    cluster.servers["desk-b"].behaviour = behaviour
    send = asyncio.create_task(cluster.send(cluster.encode("GET", "/jobs/7")))
    requests = cluster.servers["desk-b"].requests
    assert await poll_until(lambda: len(requests) == 1, 0.01, WAIT_S)
    await put_manifest(cluster, 3)
    await send
    assert count_by_region(cluster, "desk") == {"a": 0, "b": 2, "c": 0}


# Guards against a session that stays where it was, or goes where its release is.
async def test_pinned_sessions_obey_a_narrowed_manifest(cluster):
    server = await cluster.add_server("desk-new", "desk", "v2", DOMAINS["a"])
    order = json.dumps({"service": "desk", "target": "v2", "duration_s": 60})
    await cluster.store.put("op/rollout/desk", order.encode())

    async def send_sessions():
        for number in range(60):
            name = f"session-{number}"
            data = cluster.encode("GET", "/jobs/7", X_Tanagerwalk_Session=name)
            assert (await cluster.send(data)).status == 200

    assert await poll_until(
        lambda: "desk" in cluster.instances[0].cluster_state.orders, 0.01, WAIT_S
    )
    await send_sessions()
    assert server.requests
    await put_manifest(cluster, 2, {"jobs": ["b"]})
    seen = count_by_region(cluster, "desk"), len(server.requests)
    await send_sessions()
    now = count_by_region(cluster, "desk"), len(server.requests)
    assert now == ({**seen[0], "b": seen[0]["b"] + 60}, seen[1])


# Guards against a body that passes through an instance in a region that is neither
# allowed nor that of the instance the client has connected to.
@pytest.mark.parametrize("begins_open", [False, True], ids=["new", "kept"])
async def test_tunnels_lead_through_allowed_regions_only(cluster, begins_open):
    first, second, third = cluster.instances
    assert await poll_until(
        lambda: len(first.tunnel_client.rank_peers(cluster_server(first))) == 2,
        0.02,
        WAIT_S,
    )
    ServerPath(first).cut(Cut.REFUSED)
    ServerPath(second).cut(Cut.REFUSED)
    if begins_open:
        # Tunnels through the third instance are kept, also to the second region.
        replies = await send_jobs(cluster, 9, instances=[first])
        assert {reply.status for reply in replies} == {200}
        assert cluster.servers["desk-b"].requests
    await put_manifest(cluster, 2, {"jobs": ["b"]})
    tunnels = third.tunnel_server.tunnel_count
    seen = sum(count_by_region(cluster, "desk").values())
    replies = [await cluster.send(cluster.encode("GET", "/jobs/7")) for _ in range(5)]
    assert {reply.status for reply in replies} == {503}
    assert sum(count_by_region(cluster, "desk").values()) == seen
    await put_manifest(cluster, 3, {"jobs": ["b", "c"]})
    assert (tunnels > 0) is begins_open
    assert await poll_until_served(cluster)
    assert third.tunnel_server.tunnel_count >= 1


def cluster_server(instance):
    return instance.servers.find("desk-b").server


async def poll_until_served(cluster):
    for _ in range(40):
        reply = await cluster.send(cluster.encode("GET", "/jobs/7"))
        if reply.status == 200:
            return True
        await asyncio.sleep(0.1)
    return False
