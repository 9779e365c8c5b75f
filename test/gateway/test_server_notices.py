"""Servers that say that they leave, or that they want no requests for a while."""

import asyncio

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.server_notices import (
    MAX_HOLD_S,
    RESUME_S,
    find_hold,
    find_resume_limit,
)
from tanagerwalk.gateway.response_heads import ResponseHead
from tanagerwalk.platform.egress import classify_head
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster
from tanagerwalk.standins.paths import Cut, ServerPath

# The rule allows a client's request sent up to this long after the first such answer.
DRAIN_S = 2.5
WAIT_S = 5.0


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=2, desks=2, instances=2)
        assert await built.wait_until_connected()
        yield built


def count_requests(cluster, *server_ids):
    return sum(len(cluster.servers[server_id].requests) for server_id in server_ids)


async def send_jobs(cluster, count, instance=None):
    data = [cluster.encode("GET", "/jobs/7") for _ in range(count)]
    return await asyncio.gather(*(cluster.send(each, instance) for each in data))


LEAVING_ANSWERS = {
    "whole": Behaviour(is_leaving=True),
    "error": Behaviour("error", is_leaving=True),
    "refused": Behaviour("refuse", is_leaving=True),
    "misdirected": Behaviour("misdirect", is_leaving=True),
}


# Guards against DRAIN: requests at a server whose answers had said that it leaves.
@pytest.mark.parametrize("answer", LEAVING_ANSWERS)
async def test_leaving_server_gets_nothing_more_from_any_instance(cluster, answer):
    cluster.servers["desk-0"].behaviour = LEAVING_ANSWERS[answer]
    while not count_requests(cluster, "desk-0"):
        await send_jobs(cluster, 1)
    seen = count_requests(cluster, "desk-0")
    replies = await send_jobs(cluster, 20)
    assert count_requests(cluster, "desk-0") == seen
    assert {reply.status for reply in replies} == {200}
    (_, second) = cluster.instances
    assert await poll_until(
        lambda: second.servers.find("desk-0").is_leaving, 0.02, DRAIN_S
    )
    await send_jobs(cluster, 20, second)
    assert count_requests(cluster, "desk-0") == seen


async def test_stream_that_a_leaving_server_began_is_finished(cluster):
    for name in ("draft-0", "draft-1"):
        cluster.servers[name].behaviour = Behaviour(delay=0.1, is_leaving=True)
    replies = [await cluster.send(cluster.encode_plan()) for _ in range(3)]
    assert [reply.status for reply in replies] == [200, 200, 503]
    assert all(reply.complete for reply in replies)


async def test_restarted_server_with_the_same_id_is_used_again(cluster):
    for name in ("desk-0", "desk-1"):
        cluster.servers[name].behaviour = Behaviour(is_leaving=True)
    await send_jobs(cluster, 2)
    assert (await send_jobs(cluster, 1))[0].status == 503
    server = cluster.servers["desk-0"]
    server.behaviour = Behaviour()
    key, value = server.build_entry("desk", "a-1")
    await cluster.store.put(key, value.replace(b'"born": 1', b'"born": 2'))
    first = cluster.instances[0]
    assert await poll_until(
        lambda: not first.servers.find("desk-0").is_leaving, 0.02, WAIT_S
    )
    assert (await send_jobs(cluster, 1))[0].status == 200


# Guards against BUDGET: requests before the end of the time that a server named.
async def test_server_on_hold_gets_nothing_and_then_a_few_at_a_time(cluster):
    hold = 1.0
    server = cluster.servers["desk-0"]
    server.behaviour = Behaviour("refuse", times=1, retry_after=str(hold))
    while not server.requests:
        await send_jobs(cluster, 1)
    held_at = asyncio.get_running_loop().time()
    seen = len(server.requests)
    while asyncio.get_running_loop().time() < held_at + 0.9 * hold:
        replies = await send_jobs(cluster, 4)
        assert {reply.status for reply in replies} == {200}
    assert len(server.requests) == seen
    await asyncio.sleep(0.2 * hold)
    server.behaviour = Behaviour(delay=0.3)
    await send_jobs(cluster, 12)
    assert 1 <= len(server.requests) - seen <= 3


async def lose_entry(cluster, server_id, value):
    """Let the entry of a server be missing for a moment, or unreadable."""
    key, entry = cluster.servers[server_id].build_entry("desk", "a-1")
    if value is None:
        await cluster.store.remove(key)
    else:
        await cluster.store.put(key, value)
    pools = [instance.servers for instance in cluster.instances]
    assert await poll_until(
        lambda: not any(pool.find(server_id) for pool in pools), 0.02, WAIT_S
    )
    await cluster.store.put(key, entry)
    assert await poll_until(
        lambda: all(pool.find(server_id) for pool in pools), 0.02, WAIT_S
    )


NOTICES = {
    "rest": Behaviour("refuse", retry_after="3"),
    "leaving": Behaviour(is_leaving=True),
    "limit": Behaviour("refuse", limit="0.1"),
}


# Guards against BUDGET, DRAIN and LIMIT: a server's word that is forgotten because its
# entry in the store was gone for a moment.
@pytest.mark.parametrize("value", [None, b"not an entry"])
@pytest.mark.parametrize("notice", NOTICES)
async def test_notice_outlives_an_entry_that_is_gone_for_a_moment(
    cluster, notice, value
):
    first = cluster.instances[0]
    cluster.servers["desk-0"].behaviour = NOTICES[notice]
    while not count_requests(cluster, "desk-0"):
        await send_jobs(cluster, 1, first)
    await lose_entry(cluster, "desk-0", value)
    seen = count_requests(cluster, "desk-0")
    for _ in range(10):
        await send_jobs(cluster, 1, first)
    # A limit lets one request through now and then.
    allowed = 1 if notice == "limit" else 0
    assert count_requests(cluster, "desk-0") <= seen + allowed


async def test_request_is_refused_at_once_if_every_server_is_on_hold(cluster):
    for name in ("desk-0", "desk-1"):
        cluster.servers[name].behaviour = Behaviour("refuse", retry_after="2")
    first = await cluster.send(cluster.encode("POST", "/bookings/7", b"slot"))
    began = asyncio.get_running_loop().time()
    replies = await send_jobs(cluster, 10)
    assert asyncio.get_running_loop().time() - began < 0.3
    assert first.status == 503
    assert {reply.status for reply in replies} == {503}
    times = [float(reply.headers["retry-after"]) for reply in replies]
    assert min(times) > 1.5
    assert len(set(times)) > 1
    assert count_requests(cluster, "desk-0", "desk-1") == 2


# The server sees the connection of the instance at the end of the tunnel, which must
# take notice as well.
@pytest.mark.parametrize(
    "behaviour",
    [Behaviour(is_leaving=True), Behaviour("refuse", retry_after="5")],
)
async def test_notice_through_a_tunnel_binds_both_instances(cluster, behaviour):
    first, second = cluster.instances
    path = ServerPath(first)
    path.cut(Cut.RESET)
    for name in ("desk-0", "desk-1"):
        cluster.servers[name].behaviour = behaviour
    await send_jobs(cluster, 3, first)
    await asyncio.sleep(0.1)
    seen = count_requests(cluster, "desk-0", "desk-1")
    replies = await send_jobs(cluster, 5, second)
    assert {reply.status for reply in replies} == {503}
    assert count_requests(cluster, "desk-0", "desk-1") == seen


@pytest.mark.parametrize(
    ("value", "hold"),
    [
        (b"1.5", 1.5),
        (b"0", 0.0),
        (b"-3", 0.0),
        (b"nan", 0.0),
        (b"inf", 0.0),
        (b"soon", 0.0),
        (b"Fri, 04 Dec 2026 09:00:00 GMT", 0.0),
        (b"31536000", MAX_HOLD_S),
        (b"\xff", 0.0),
    ],
)
def test_only_a_finite_positive_number_of_seconds_is_a_hold(value, hold):
    for status, expected in ((503, hold), (429, 0.0), (200, 0.0)):
        head = ResponseHead(status, b"", [(b"retry-after", value)])
        assert classify_head(head).notice.hold == expected


@pytest.mark.parametrize(
    ("value", "is_leaving"), [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False)]
)
def test_leaving_is_read_from_any_answer(value, is_leaving):
    for status in (200, 302, 404, 421, 500, 503):
        head = ResponseHead(status, b"", [(b"server-leaving", value)])
        assert classify_head(head).notice.is_leaving is is_leaving


def test_requests_come_back_a_few_at_a_time():
    limits = [find_resume_limit(since) for since in (-0.1, 0.0, 1.0, RESUME_S)]
    assert limits == [0.0, 1.0, 5.0, float("inf")]
    assert find_hold(None) == 0.0
