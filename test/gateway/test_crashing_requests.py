"""Requests that crash servers: which are counted, and how the others learn of them."""

import asyncio

import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.quarantine import CrashRecord
from tanagerwalk.decisions.recent_crashes import CORRELATION_WINDOW_S
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

WAIT_S = 5.0
# From the third crash on, the whole fleet may send a request this often once the news
# has had its time.
MAX_LATER_SENDS = 3
NEWS_S = 3.0
PATH = "/jobs/crashing"


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=0, desks=4, instances=2)
        assert await built.wait_until_connected()
        yield built


def set_behaviour(cluster, behaviour):
    for server in cluster.servers.values():
        server.behaviour = behaviour


def count_sends(cluster, path=PATH):
    return sum(
        request.target == path
        for server in cluster.servers.values()
        for request in server.requests
    )


async def send(cluster, instance=None, path=PATH):
    return await cluster.send(cluster.encode("GET", path), instance)


async def count_later_sends(cluster):
    """Return how often the fleet still sends the request, asked ten times each."""
    await asyncio.sleep(NEWS_S)
    before = count_sends(cluster)
    for _ in range(10):
        replies = [await send(cluster, each) for each in cluster.instances]
    assert {reply.status for reply in replies} == {503}
    return count_sends(cluster) - before


# Guards against BUDGET: three crashes in a row in a small failure domain that are taken
# for a common cause, so that the request is never refused.
async def test_request_that_crashes_three_servers_of_a_small_domain_is_refused(cluster):
    set_behaviour(cluster, Behaviour("reset"))
    await send(cluster)
    assert count_sends(cluster) == 3
    assert await count_later_sends(cluster) <= MAX_LATER_SENDS


# Guards against BUDGET: a new record that the other instances don't learn of, because
# many older ones go first.
async def test_record_of_a_crash_reaches_the_others_beside_many_older_ones(cluster):
    for number in range(40):
        await cluster.add_server(f"more-{number}", "desk", domain=f"a-{number}")
    first, second = cluster.instances
    assert await poll_until(lambda: first.servers.find("more-39"), 0.02, WAIT_S)
    set_behaviour(cluster, Behaviour("reset"))
    for number in range(40):
        data = cluster.encode("POST", f"/bookings/{number}", b"slot")
        await cluster.send(data, first)
    # Crashes of other requests at the same time would be a common cause.
    await asyncio.sleep(1.1 * CORRELATION_WINDOW_S)
    await send(cluster, first)
    await asyncio.sleep(NEWS_S)
    before = count_sends(cluster)
    await send(cluster, second)
    assert count_sends(cluster) == before


# Guards against BUDGET: servers that come back under the id that they had, so that each
# crash counts as the same one.
async def test_crashes_of_a_server_that_keeps_its_id_count_each(cluster):
    for name in ("desk-1", "desk-2", "desk-3"):
        await cluster.store.remove(f"servers/{name}")
    server = cluster.servers["desk-0"]
    server.behaviour = Behaviour("reset")
    first = cluster.instances[0]
    # An answer of another server would show that the request is sound.
    assert await poll_until(lambda: count_servers(first) == 1, 0.02, WAIT_S)
    for born in range(2, 5):
        data = cluster.encode("POST", "/bookings/crashing", b"slot")
        await cluster.send(data, first)
        key, value = server.build_entry("desk", "a-1")
        value = value.replace(b'"born": 1', f'"born": {born}'.encode())
        await cluster.store.put(key, value)
        await wait_until_born(first, born)
    before = count_sends(cluster, "/bookings/crashing")
    assert before == 3
    for _ in range(10):
        data = cluster.encode("POST", "/bookings/crashing", b"slot")
        await cluster.send(data, first)
    assert count_sends(cluster, "/bookings/crashing") - before <= MAX_LATER_SENDS


def count_servers(instance):
    return len(instance.servers.list_usages("desk"))


async def wait_until_born(instance, born):
    def is_born():
        usage = instance.servers.find("desk-0")
        return usage is not None and usage.server.born == born

    assert await poll_until(is_born, 0.02, WAIT_S)


# Guards against BUDGET: servers that end without closing their connections.
async def test_servers_that_fall_silent_and_end_count_as_crashed(cluster):
    set_behaviour(cluster, Behaviour("silent"))
    await send(cluster)
    assert count_sends(cluster) == 3
    names = [name for name, each in cluster.servers.items() if each.requests]
    for name in names:
        await cluster.store.remove(f"servers/{name}")
    set_behaviour(cluster, Behaviour("reset"))
    assert await count_later_sends(cluster) <= MAX_LATER_SENDS


# Guards against BUDGET: a request that goes on to servers although it was quarantined
# after it came.
async def test_request_that_becomes_quarantined_meanwhile_is_sent_no_more(cluster):
    set_behaviour(cluster, Behaviour("refuse"))
    first = cluster.instances[0]

    def learn_of_crashes(request, attempt, result):
        record = CrashRecord(frozenset("abc"), 60.0)
        first.quarantine.merge_records({request.fingerprint: record}, False)

    first.quarantine.record_attempt = learn_of_crashes
    reply = await send(cluster, first)
    assert reply.status == 503
    assert count_sends(cluster) == 1
