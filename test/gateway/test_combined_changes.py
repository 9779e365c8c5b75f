"""Evacuations, cold servers, cuts and allowed regions at the same time."""

import asyncio
import dataclasses
import json
import random
import time

import pytest

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import (
    BOUNDS,
    REGIONS,
    GatewayCluster,
    Reply,
    build_manifest,
    build_regional_manifest,
)
from tanagerwalk.standins.paths import Cut, ServerPath
from tanagerwalk.standins.places import Places

pytestmark = pytest.mark.serial

WAIT_S = 5.0
SLOTS = 6
QUEUE = 30
WORK_S = 0.15
SERVERS_PER_DOMAIN = 2
COLD_START_S = 2.0
COLD_RATE = 8.0
# Of the rule, with the default bounds: 1.5 times the rate, and five more.
MOST = 17
DOWN_S = 0.5
# Until the limit of a server that is warm again has ended.
WARM_UP_S = 3.0
EVACUATION_DELAY_S = 2.0
REQUESTS_PER_S = 60.0
CLIENT_TIME_S = 4.0
# A request connects in vain for a second, and is held for an eighth of its time.
MAX_HELD_S = 1.0 + CLIENT_TIME_S / 8.0
# Between the last choice of a server and the arrival of the request there.
MARGIN_S = 0.5
# Evacuation, return, cold time, and some requests to warm servers.
PLAY_S = EVACUATION_DELAY_S + DOWN_S + COLD_START_S + WARM_UP_S + 2.0
MIN_SERVED_SHARE = 0.95


@dataclasses.dataclass
class Sent:
    """A request, the instance that got it, its reply, and how long that took."""

    instance: str
    sent_at: float
    seconds: float
    reply: Reply


async def build(cluster, instances_per_domain):
    """Start servers and instances in all failure domains; servers may be cold."""
    services = json.loads(build_manifest())["services"]
    services[1] |= {"cold_start_s": COLD_START_S, "cold_per_s": COLD_RATE}
    await cluster.store.put("op/config", build_manifest(1, services=services))
    for domain in REGIONS:
        for number in range(SERVERS_PER_DOMAIN):
            await add_server(cluster, f"desk-{domain}-{number}", domain)
    bounds = dataclasses.replace(BOUNDS, evacuation_delay=EVACUATION_DELAY_S)
    for domain in REGIONS:
        for number in range(instances_per_domain):
            name = f"gateway-{domain}-{number}"
            await cluster.add_instance(name, bounds, domain)
    assert await cluster.wait_until_connected()
    return services


async def add_server(cluster, name, domain):
    places = Places(SLOTS, QUEUE)
    server = await cluster.add_server(name, "desk", domain=domain, places=places)
    server.behaviour = Behaviour(delay=WORK_S)
    server.coldness.start_time = COLD_START_S


async def send_for(cluster, seconds):
    """Send requests at random times to all instances; return them as Sent."""
    pick = random.Random(1)
    ends_at = time.monotonic() + seconds
    next_at = time.monotonic()
    tasks = []
    while next_at < ends_at:
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        next_at += pick.expovariate(REQUESTS_PER_S)
        sending = send(cluster, pick.choice(cluster.instances))
        tasks.append(asyncio.create_task(sending))
    return await asyncio.gather(*tasks)


async def send(cluster, instance):
    sent_at = time.monotonic()
    reply = await cluster.send(cluster.encode("GET", "/jobs/7"), instance)
    seconds = time.monotonic() - sent_at
    return Sent(instance.incarnation, sent_at, seconds, reply)


def list_servers(cluster, domain):
    return [s for name, s in cluster.servers.items() if f"-{domain}-" in name]


def count_arrivals(cluster, domain, begin, end=float("inf")):
    """Return how many requests the servers of a failure domain got in a time."""
    return sum(
        begin <= request.received_at < end
        for server in list_servers(cluster, domain)
        for request in server.requests
    )


async def evacuate(cluster, domain):
    """Evacuate a failure domain; return when nothing more may arrive there."""
    await cluster.evacuate(domain)
    acked_at = time.monotonic()
    assert await poll_until(
        lambda: all(i.servers.evacuated == {domain} for i in cluster.instances),
        0.01,
        EVACUATION_DELAY_S,
    )
    return acked_at + 0.5 * EVACUATION_DELAY_S + MARGIN_S


async def bring_back_cold(cluster, domain):
    """Restart the servers of a failure domain and take its evacuation back."""
    servers = list_servers(cluster, domain)
    await asyncio.gather(*(server.fall(DOWN_S) for server in servers))
    for server in servers:
        await cluster.store.put(*server.build_entry("desk", domain))
    await cluster.end_evacuation(domain)


async def narrow(cluster, services, region):
    """Let the route name one allowed region; return when that is in force."""
    manifest = build_regional_manifest(2, {"jobs": [region]}, services=services)
    await cluster.store.put("op/config", manifest)
    assert await poll_until(
        lambda: all(i.cluster_state.manifest.version == 2 for i in cluster.instances),
        0.01,
        WAIT_S,
    )
    return time.monotonic()


def check_cold_servers(cluster, domain):
    most = [server.coldness.most for server in list_servers(cluster, domain)]
    assert all(0 < each <= MOST for each in most), most


def check_replies(sent):
    """Check that each request was served, or refused at once and not run."""
    assert {each.reply.status for each in sent} <= {200, 503}
    held = [each.seconds for each in sent if each.reply.status == 503]
    assert max(held, default=0.0) <= MAX_HELD_S


def split_interrupted(sent, instance, cut_at):
    """Return the requests without and with those that a cut may have interrupted.

    The latter may have run without an answer: those that the instance that was cut off
    had sent, or sent before it noticed.
    """
    begin, end = cut_at - CLIENT_TIME_S, cut_at + MAX_HELD_S
    interrupted = [
        each
        for each in sent
        if each.instance == instance.incarnation and begin <= each.sent_at <= end
    ]
    return [each for each in sent if each not in interrupted], interrupted


def find_served_share(sent):
    return sum(each.reply.status == 200 for each in sent) / len(sent)


def record_ways(monkeypatch):
    """Return a list that gets the time and the instances on the way of each attempt."""
    ways = []

    def record(event, **fields):
        if event == "request":
            attempts = fields["attempts"]
            ways.extend((time.monotonic(), attempt["via"]) for attempt in attempts)

    monkeypatch.setattr(
        "tanagerwalk.gateway.request_log.log.info", record, raising=False
    )
    return ways


# Guards against FAILBACK, EVAC and HOME where each alone holds: the only allowed
# servers are cold, and some instances reach them through others only.
async def test_requests_are_narrowed_to_a_domain_that_comes_back_cold(monkeypatch):
    ways = record_ways(monkeypatch)
    async with GatewayCluster() as cluster:
        services = await build(cluster, 1)
        path = ServerPath(cluster.instances[2])
        sending = asyncio.create_task(send_for(cluster, PLAY_S))
        await asyncio.sleep(0.5)
        empty_from = await evacuate(cluster, "b-1")
        await asyncio.sleep(max(0.0, empty_from + DOWN_S - time.monotonic()))
        returned_at = time.monotonic()
        path.cut(Cut.SILENT)
        cut_at = time.monotonic()
        _, in_force_at = await asyncio.gather(
            bring_back_cold(cluster, "b-1"), narrow(cluster, services, "b")
        )
        sent = await sending
        check_cold_servers(cluster, "b-1")
        assert count_arrivals(cluster, "b-1", empty_from, returned_at) == 0
        for domain in ("a-1", "c-1"):
            assert count_arrivals(cluster, domain, in_force_at + MARGIN_S) == 0
    others, interrupted = split_interrupted(sent, cluster.instances[2], cut_at)
    check_replies(others)
    assert {each.reply.status for each in interrupted} <= {200, 502, 503}
    late_ways = {via for at, via in ways if at > in_force_at + CLIENT_TIME_S}
    assert all(via is None or not via.startswith("gateway-a-1") for via in late_ways)
    last = [each for each in sent if each.sent_at > sent[-1].sent_at - 1.0]
    assert find_served_share(last) >= MIN_SERVED_SHARE


# The instances of a fleet of nine are told by a shared watcher. While a failure domain
# is back cold, another one is evacuated, and the third is near its capacity.
async def test_domains_of_a_larger_fleet_are_evacuated_one_after_the_other():
    async with GatewayCluster() as cluster:
        await build(cluster, 3)
        sending = asyncio.create_task(send_for(cluster, PLAY_S))
        await asyncio.sleep(0.5)
        empty_from = await evacuate(cluster, "b-1")
        await asyncio.sleep(max(0.0, empty_from + DOWN_S - time.monotonic()))
        returned_at = time.monotonic()
        await bring_back_cold(cluster, "b-1")
        next_empty_from = await evacuate(cluster, "a-1")
        sent = await sending
        check_cold_servers(cluster, "b-1")
        assert count_arrivals(cluster, "b-1", empty_from, returned_at) == 0
        assert count_arrivals(cluster, "a-1", next_empty_from) == 0
    check_replies(sent)
    assert find_served_share(sent) >= MIN_SERVED_SHARE
