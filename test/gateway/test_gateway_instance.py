"""Readiness, metrics, reloaded settings and the quarantine of a running instance."""

import asyncio
import dataclasses

import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.gateway_cluster import (
    BOUNDS,
    GatewayCluster,
    read_reply,
)


@pytest_asyncio.fixture
async def world():
    async with GatewayCluster() as built:
        await built.build(drafts=1, desks=1)
        yield built


async def fetch(port, path):
    reader, writer = await asyncio.open_connection(find_address(), port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    try:
        return await read_reply(reader)
    finally:
        writer.close()


async def test_readiness_fails_while_the_instance_stops(world):
    instance = world.instances[0]
    assert (await fetch(instance.readiness_listener.port, "/api/ready")).status == 200
    instance.readiness.is_stopping = True
    assert (await fetch(instance.readiness_listener.port, "/api/ready")).status == 503


async def test_metrics_count_requests_refusals_and_attempts(world):
    instance = world.instances[0]
    await world.send(world.encode("GET", "/jobs/1"))
    await world.send(world.encode("GET", "/nowhere/1"))
    page = (await fetch(instance.metrics_listener.port, "/metrics")).body.decode()
    assert 'tanagerwalk_gateway_requests_total{end="answered"} 1.0' in page
    assert 'tanagerwalk_gateway_refusals_total{reason="class_unknown"} 1.0' in page
    assert 'tanagerwalk_gateway_attempts_total{outcome="delivered"} 1.0' in page


async def test_changed_bounds_apply_without_a_restart(world):
    instance = world.instances[0]
    tighter = dataclasses.replace(BOUNDS, revocation_delay=0.1)
    changed = dataclasses.replace(instance.settings, bounds=tighter)
    instance.apply_settings(changed)
    assert not instance.freshness.is_fresh()
    instance.apply_settings(dataclasses.replace(instance.settings, bounds=BOUNDS))
    assert instance.freshness.is_fresh()


async def test_request_that_crashes_servers_is_quarantined(world):
    """The servers are in different failure domains, so every crash counts.

    Servers of one domain that fail together are not attributed to a request.
    """
    for number in range(1, 5):
        await world.add_server(f"desk-{number}", "desk", domain=f"a-{number}")
    uses = world.instances[0].servers.list_usages
    assert await poll_until(lambda: len(uses("desk")) == 5, 0.02, 5.0)
    for name, server in world.servers.items():
        if name.startswith("desk"):
            server.behaviour.fault = "reset"
    crashing = world.encode("POST", "/bookings/1", b"poison")
    statuses = [(await world.send(crashing)).status for _ in range(6)]
    seen = sum(len(server.requests) for server in world.servers.values())
    assert statuses[-1] == 503
    assert seen <= 4
