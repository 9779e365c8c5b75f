"""Rollouts on complete entry instances while their stand-ins fail."""

import asyncio
import json

import pytest

from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.controllers.exposure import LEDGERS_PREFIX
from tanagerwalk.controllers.halts import HALTS_PREFIX
from tanagerwalk.decisions.exposure import decode_ledger
from tanagerwalk.status import describe_instance
from tanagerwalk.ui.apply import put_declaration

CANDIDATE = "heron:2"
CANDIDATE_KEY = ("plan", CANDIDATE)
EXPOSURE_BUDGET = 5
MAX_ROUNDS = 40
PARALLEL_REQUESTS = 10


async def send_plans(world, instance, condition, rounds=MAX_ROUNDS):
    """Send rounds of plan requests until the condition holds or `rounds` are sent."""
    for _ in range(rounds):
        await asyncio.gather(
            *(
                world.chat(instance, "plan", f"p{number}")
                for number in range(PARALLEL_REQUESTS)
            )
        )
        if condition():
            return


def count_engine_requests(world, version=CANDIDATE):
    return sum(
        body["model"] == version
        for engine in world.engines.values()
        for body in engine.log
    )


def count_unrated(world):
    held_units = [i.rollout_tracker.held_units for i in world.instances.values()]
    return sum(
        held.occupied for units_by_arm in held_units for held in units_by_arm.values()
    )


async def wait_for_grant(world, instance):
    """Ask for shares until the instance holds units of the candidate's budget."""

    def has_grant():
        tracker = instance.rollout_tracker
        tracker.find_candidate_shares("plan", instance.clock())
        arm = tracker.get_arm(CANDIDATE_KEY)
        return arm in tracker.held_units and tracker.held_units[arm].units > 0

    await world.wait_until(has_grant)


async def halt_bad_candidate(world):
    """Lower the candidate's quality, and send plans until both instances halt it."""
    world.platform.quality[CANDIDATE] = 0.2
    instances = list(world.instances.values())
    for instance in instances:
        await wait_for_grant(world, instance)
    for _ in range(MAX_ROUNDS):
        for instance in instances:
            await send_plans(world, instance, lambda: True)
            await asyncio.sleep(0.05)
        if all(i.rollouts.is_halted(CANDIDATE_KEY) for i in instances):
            return
    raise AssertionError("the candidate was not halted")


def open_store(world):
    return KeyValueClient(world.http, f"http://{world.keyvalue.address}", 2.0)


async def test_bad_candidate_stays_halted_on_all_instances(demo):
    first, second = demo.instances.values()
    await halt_bad_candidate(demo)
    requests_before = count_engine_requests(demo)
    await send_plans(demo, second, lambda: False, rounds=5)
    assert count_engine_requests(demo) == requests_before
    key = HALTS_PREFIX + first.rollout_tracker.get_arm(CANDIDATE_KEY).to_key()
    store = open_store(demo)
    for _ in range(MAX_ROUNDS):
        if (await store.get(key)).ok is not None:
            break
        await asyncio.sleep(0.05)
    third = await demo.add_instance("entry-3", seed=3)
    await demo.wait_until(third.is_ready)
    assert third.rollouts.is_halted(CANDIDATE_KEY)
    (state,) = (s for s in describe_instance(third)["rollouts"] if s["halted"])
    assert (state["version"], state["halted"]) == (CANDIDATE, "ratings")
    text = first.configuration.text
    revision = await demo.apply(text.replace("cost = 0.0005", "cost = 0.0006"))
    await demo.wait_until(lambda: first.configuration.revision == revision)
    assert first.rollouts.is_halted(CANDIDATE_KEY)
    revision = await demo.apply(text.replace("exposure = 5", "exposure = 4"))
    await demo.wait_until(lambda: first.configuration.revision == revision)
    assert not first.rollouts.is_halted(CANDIDATE_KEY)


async def test_halt_during_store_outage_is_stored_afterwards(demo):
    first, _ = demo.instances.values()
    await wait_for_grant(demo, first)
    demo.keyvalue.outage = True
    for _ in range(60):
        first.rollout_tracker.record_rating(CANDIDATE_KEY, 0.2)
    first.rollouts._report_new_halts()
    assert first.rollouts.is_halted(CANDIDATE_KEY)
    requests_before = count_engine_requests(demo)
    await send_plans(demo, first, lambda: False, rounds=5)
    assert count_engine_requests(demo) == requests_before
    demo.keyvalue.outage = False
    new_instance = await demo.add_instance("entry-3", seed=3)
    await demo.wait_until(lambda: new_instance.rollouts.is_halted(CANDIDATE_KEY))


async def test_session_on_halted_version_gets_version_withdrawn(demo):
    first, second = demo.instances.values()
    _, _, headers = await demo.chat(first, "label", "a", **{"X-Session": "new"})
    version = headers["X-Version"]
    for _ in range(60):
        second.rollout_tracker.record_rating(("label", version), 0.1)
    second.rollouts._report_new_halts()
    await demo.wait_until(lambda: first.rollouts.is_halted(("label", version)))
    session = {"X-Session": headers["X-Session"]}
    status, content, _ = await demo.chat(first, "label", "b", **session)
    assert status == 410
    error = json.loads(content)["error"]
    assert (error["code"], error["run_state"]) == ("version_withdrawn", "not_run")


async def test_unrated_answers_stay_within_budget_during_rating_outage(demo):
    for instance in demo.instances.values():
        await wait_for_grant(demo, instance)
    demo.platform.outage = True
    for _ in range(5):
        for instance in demo.instances.values():
            await send_plans(demo, instance, lambda: False, rounds=3)
            assert count_unrated(demo) <= EXPOSURE_BUDGET
    assert count_engine_requests(demo) <= EXPOSURE_BUDGET
    status, _, headers = await demo.chat(instance, "plan", "x")
    assert (status, headers["X-Version"]) == (200, "heron:1")


async def test_ledger_units_never_exceed_budget(demo):
    for instance in demo.instances.values():
        await wait_for_grant(demo, instance)
    demo.keyvalue.lose_answers = 3
    for instance in demo.instances.values():
        await send_plans(demo, instance, lambda: False, rounds=3)
    arm = instance.rollout_tracker.get_arm(CANDIDATE_KEY)
    entry = (await open_store(demo).get(LEDGERS_PREFIX + arm.to_key())).ok
    units = [grant.units for grant in decode_ledger(entry.value).grants.values()]
    assert 0 < sum(units) <= EXPOSURE_BUDGET


async def test_stopped_instance_returns_its_units(demo):
    first, _ = demo.instances.values()
    await wait_for_grant(demo, first)
    key = LEDGERS_PREFIX + first.rollout_tracker.get_arm(CANDIDATE_KEY).to_key()
    ledger = decode_ledger((await open_store(demo).get(key)).ok.value)
    assert first.incarnation in ledger.grants
    await first.stop()
    ledger = decode_ledger((await open_store(demo).get(key)).ok.value)
    assert first.incarnation not in ledger.grants


async def test_withdrawn_candidate_gets_no_more_requests(demo):
    instances = list(demo.instances.values())
    for instance in instances:
        await wait_for_grant(demo, instance)
    sending = [
        asyncio.create_task(send_plans(demo, instance, lambda: False, rounds=10))
        for instance in instances
    ]
    text = instances[0].configuration.text
    stopped = text.replace("state = candidate", "state = withdrawn")
    revision = await demo.apply(stopped)
    await demo.wait_until(
        lambda: all(i.configuration.revision == revision for i in instances)
    )
    requests_before = count_engine_requests(demo)
    await asyncio.gather(*sending)
    assert count_engine_requests(demo) <= requests_before + count_unrated(demo)
    requests_before = count_engine_requests(demo)
    await send_plans(demo, instances[1], lambda: False, rounds=3)
    assert count_engine_requests(demo) == requests_before


async def test_concurrent_applies_keep_one_declaration_and_halt(demo):
    first, second = demo.instances.values()
    first.halt_controller.halt(
        first.rollout_tracker.get_arm(CANDIDATE_KEY),
        next(iter(_trigger_halts(first).values())),
    )
    text, before = first.configuration.text, first.configuration.revision
    changes = [text.replace("quality = 0.9", f"quality = 0.{n}") for n in (7, 8)]
    results = await asyncio.gather(
        *(put_declaration(open_store(demo), change, before) for change in changes)
    )
    assert sorted(result.is_ok() for result in results) == [False, True]
    store = await open_store(demo).get("tanagerwalk/declaration")
    newest = store.ok.revision
    instances = (first, second)
    await demo.wait_until(
        lambda: all(i.configuration.revision == newest for i in instances)
    )
    assert first.configuration.text == second.configuration.text
    await demo.wait_until(
        lambda: all(i.rollouts.is_halted(CANDIDATE_KEY) for i in instances)
    )


def _trigger_halts(instance):
    for _ in range(60):
        instance.rollout_tracker.record_rating(CANDIDATE_KEY, 0.2)
    return instance.rollout_tracker.find_new_halts()


@pytest.mark.parametrize("work_class", ["plan", "label"])
async def test_failing_candidate_fails_no_request(demo, work_class):
    first, _ = demo.instances.values()
    await wait_for_grant(demo, first)
    demo.engines["engine-2"].versions.remove(CANDIDATE)
    answers = [await demo.chat(first, work_class, f"x{n}") for n in range(60)]
    assert [content for status, content, _ in answers if status != 200] == []
