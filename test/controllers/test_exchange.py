"""Exchanges between complete instances during faults of the platform."""

import asyncio
import copy
import time

import pytest
import pytest_asyncio

from tanagerwalk.controllers.exchange import decompress
from tanagerwalk.decisions.exposure import HeldUnits
from tanagerwalk.decisions.facts import Topic
from tanagerwalk.messages import RequestContext
from tanagerwalk.standins.platform import PlatformStandIn

UNREACHABLE = "127.0.0.1:1"


@pytest_asyncio.fixture
async def storeless(demo):
    """Start an instance that reaches its peers but not the key-value service."""
    extra = "[configuration]\nstale_after = 1.5\n"
    instance = await demo.add_instance("cut-off", keyvalue=UNREACHABLE, extra=extra)
    await demo.wait_until(instance.is_ready)
    return instance


@pytest_asyncio.fixture
async def stale_platform(demo):
    """Serve a list of instances that is no longer updated."""
    platform = PlatformStandIn()
    platform.groups = copy.deepcopy(demo.platform.groups)
    await platform.start()
    yield platform
    await platform.stop()


def grant_exposure(instance):
    """Grant an instance units of every candidate's budget, as the store would."""
    instance.rollout_tracker.configure(instance.configuration.declaration)
    for arm in instance.rollout_tracker.list_candidates():
        held = instance.rollout_tracker.held_units.setdefault(arm, HeldUnits())
        held.finish_write(5, time.monotonic())


def list_exposed_versions(instance):
    context = RequestContext("r", {}, "", "plan", arrived=time.monotonic())
    declaration = instance.configuration.declaration
    context.work_class = declaration.classes["plan"]
    context.account = declaration.client_accounts["desk"]
    return set(instance.plan_inputs.collect_inputs(context, frozenset()).exposed)


async def test_declaration_reaches_an_instance_without_the_store(demo, storeless):
    first = demo.instances["entry-1"]
    for state in ("draining", "withdrawn"):
        text = first.configuration.text.replace("released", state, 1)
        revision = await demo.apply(text)
        await demo.wait_until(lambda r=revision: storeless.configuration.revision == r)
        assert storeless.configuration.text == text


async def test_instance_is_stale_only_without_news_from_store_and_peers(
    demo, storeless
):
    grant_exposure(storeless)
    await demo.wait_until(lambda: list_exposed_versions(storeless) == {"heron:2"})
    # Confirmations of peers keep it fresh for longer than stale_after.
    await asyncio.sleep(3.0)
    await demo.wait_until(lambda: list_exposed_versions(storeless) == {"heron:2"})
    for name in ("entry-1", "entry-2"):
        await demo.instances[name].close()
    await demo.wait_until(lambda: not list_exposed_versions(storeless))
    for number in range(20):
        status, _, headers = await demo.chat(storeless, "plan", f"book {number}")
        assert (status, headers["X-Version"]) != (200, "heron:2")
        assert status == 200


async def test_fresh_instance_without_store_gets_the_declaration_of_a_peer(demo):
    demo.keyvalue.outage = True
    third = await demo.add_instance("entry-3")
    await demo.wait_until(third.is_ready)
    first = demo.instances["entry-1"]
    assert third.configuration.revision == first.configuration.revision


async def test_fresh_instance_without_store_and_peers_is_not_ready(world):
    await world.apply()
    await world.add_engine("engine-1", ["wren:1"])
    world.keyvalue.outage = True
    alone = await world.add_instance("entry-1")
    await world.wait_until(lambda: alone.table.servers)
    assert not alone.is_ready()
    status, _, _ = await world.chat(alone, "label", "a")
    assert status == 503


async def test_leaving_reaches_an_instance_whose_list_lags(demo, stale_platform):
    third = await demo.add_instance("entry-3", platform=stale_platform.address)
    stale_platform.groups = copy.deepcopy(demo.platform.groups)
    await demo.wait_until(third.is_ready)
    for group in demo.platform.groups:
        if group["labels"]["id"] == "engine-1":
            group["labels"]["state"] = "leaving"
    await demo.wait_until(lambda: third.table.servers["engine-1"].leaving)
    assert not third.table.servers["engine-2"].leaving
    # Its own list still shows the engine as live.
    await third.membership.step()
    assert third.table.servers["engine-1"].leaving


async def test_inferred_leaving_reaches_the_peers(demo):
    first, second = demo.instances.values()
    first.table.infer_leaving("engine-1.1", first.clock() + 30.0)
    await demo.wait_until(lambda: second.table.servers["engine-1"].leaving)


@pytest.mark.parametrize("closing", [True, False])
async def test_only_refusals_that_close_count_for_leaving(demo, closing):
    first, second = demo.instances.values()
    service = demo.services["booking-1"]
    service.refuse, service.closing = True, closing
    server = first.table.servers["booking-1"]
    for _ in range(4):
        await demo.call(first, "status", {})
        await asyncio.sleep(0.1)
        if server.leaving:
            break
    assert server.leaving is closing
    if closing:
        await demo.wait_until(lambda: second.table.servers["booking-1"].leaving)


async def test_facts_of_a_killed_instance_outlive_it(demo):
    first, second = demo.instances.values()
    first.facts.publish(Topic.BLAME, "f", b"v", first.clock(), 60.0)
    await demo.wait_until(lambda: second.facts.list_facts(Topic.BLAME))
    await first.close()
    third = await demo.add_instance("entry-3")
    await demo.wait_until(lambda: third.facts.list_facts(Topic.BLAME))
    assert third.facts.list_facts(Topic.BLAME)[0].origin == first.incarnation


async def test_refused_declaration_is_not_fetched_again(demo):
    first, _ = demo.instances.values()
    state = first.configuration
    newer = state.revision + 5
    assert state.offer(newer, "[class label]\nquality = x", 0.0)
    assert not state.wants(newer)
    assert state.wants(newer + 1)


@pytest.mark.parametrize("content", [b"", None, b"\xff\xff", b"x\x9c\x03"])
def test_malformed_copies_are_refused(content):
    assert decompress(content) is None


async def test_declaration_reaches_an_instance_that_knows_no_peer(demo, stale_platform):
    stale_platform.groups = [
        g for g in stale_platform.groups if g["labels"]["role"] != "entry"
    ]
    peerless = await demo.add_instance(
        "deaf", keyvalue=UNREACHABLE, platform=stale_platform.address
    )
    await demo.wait_until(peerless.is_ready)
    text = peerless.configuration.text.replace("released", "draining", 1)
    revision = await demo.apply(text)
    await demo.wait_until(lambda: peerless.configuration.revision == revision)
    # The age of the pushed copy is unknown, so candidates get no requests.
    assert not list_exposed_versions(peerless)
