"""Roll-outs on whole instances, against stand-ins that fail."""

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
KEY = ("plan", CANDIDATE)
BUDGET = 5
ROUNDS = 40
PARALLEL = 10


async def drive(world, instance, until, rounds=ROUNDS):
    """Send plans to an instance until a condition holds."""
    for _ in range(rounds):
        await asyncio.gather(
            *(world.chat(instance, "plan", f"p{number}") for number in range(PARALLEL))
        )
        if until():
            return


def count_runs(world, version=CANDIDATE):
    return sum(
        body["model"] == version
        for engine in world.engines.values()
        for body in engine.log
    )


def count_unrated(world):
    held_units = [i.rollout_tracker.held_units for i in world.instances.values()]
    return sum(held.occupied for known in held_units for held in known.values())


async def get_grant(world, instance):
    """Ask until the instance holds a unit of the candidate's budget."""

    def has_grant():
        book = instance.rollout_tracker
        book.find_candidate_shares("plan", instance.clock())
        arm = book.get_arm(KEY)
        return arm in book.held_units and book.held_units[arm].units > 0

    await world.wait_until(has_grant)


async def make_bad(world):
    """Let the candidate be bad and find out on both instances."""
    world.platform.quality[CANDIDATE] = 0.2
    instances = list(world.instances.values())
    for instance in instances:
        await get_grant(world, instance)
    for _ in range(ROUNDS):
        for instance in instances:
            await drive(world, instance, lambda: True)
            await asyncio.sleep(0.05)
        if all(i.rollouts.is_halted(KEY) for i in instances):
            return
    raise AssertionError("the candidate was not halted")


def open_store(world):
    return KeyValueClient(world.http, f"http://{world.keyvalue.address}", 2.0)


async def test_bad_candidate_is_halted_everywhere_and_for_good(demo):
    first, second = demo.instances.values()
    await make_bad(demo)
    ran = count_runs(demo)
    await drive(demo, second, lambda: False, rounds=5)
    assert count_runs(demo) == ran
    key = HALTS_PREFIX + first.rollout_tracker.get_arm(KEY).to_key()
    kept = open_store(demo)
    for _ in range(ROUNDS):
        if (await kept.get(key)).ok is not None:
            break
        await asyncio.sleep(0.05)
    third = await demo.add_instance("entry-3", seed=3)
    await demo.wait_until(third.is_ready)
    assert third.rollouts.is_halted(KEY)
    (state,) = (s for s in describe_instance(third)["rollouts"] if s["halted"])
    assert (state["version"], state["halted"]) == (CANDIDATE, "ratings")
    text = first.configuration.text
    revision = await demo.apply(text.replace("cost = 0.0005", "cost = 0.0006"))
    await demo.wait_until(lambda: first.configuration.revision == revision)
    assert first.rollouts.is_halted(KEY)
    revision = await demo.apply(text.replace("exposure = 5", "exposure = 4"))
    await demo.wait_until(lambda: first.configuration.revision == revision)
    assert not first.rollouts.is_halted(KEY)


async def test_halt_holds_while_the_store_is_out_and_is_written_later(demo):
    first, _ = demo.instances.values()
    await get_grant(demo, first)
    demo.keyvalue.outage = True
    for _ in range(60):
        first.rollout_tracker.record_rating(KEY, 0.2)
    first.rollouts._report_new_halts()
    assert first.rollouts.is_halted(KEY)
    ran = count_runs(demo)
    await drive(demo, first, lambda: False, rounds=5)
    assert count_runs(demo) == ran
    demo.keyvalue.outage = False
    fresh = await demo.add_instance("entry-3", seed=3)
    await demo.wait_until(lambda: fresh.rollouts.is_halted(KEY))


async def test_session_on_a_halted_version_ends_with_a_typed_refusal(demo):
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


async def test_unrated_answers_stay_within_the_budget_while_ratings_are_out(demo):
    for instance in demo.instances.values():
        await get_grant(demo, instance)
    demo.platform.outage = True
    for _ in range(5):
        for instance in demo.instances.values():
            await drive(demo, instance, lambda: False, rounds=3)
            assert count_unrated(demo) <= BUDGET
    assert count_runs(demo) <= BUDGET
    status, _, headers = await demo.chat(instance, "plan", "x")
    assert (status, headers["X-Version"]) == (200, "heron:1")


async def test_units_in_the_ledger_never_pass_the_budget(demo):
    for instance in demo.instances.values():
        await get_grant(demo, instance)
    demo.keyvalue.lose_answers = 3
    for instance in demo.instances.values():
        await drive(demo, instance, lambda: False, rounds=3)
    arm = instance.rollout_tracker.get_arm(KEY)
    entry = (await open_store(demo).get(LEDGERS_PREFIX + arm.to_key())).ok
    units = [grant.units for grant in decode_ledger(entry.value).grants.values()]
    assert 0 < sum(units) <= BUDGET


async def test_stopped_instance_gives_its_units_back(demo):
    first, _ = demo.instances.values()
    await get_grant(demo, first)
    key = LEDGERS_PREFIX + first.rollout_tracker.get_arm(KEY).to_key()
    ledger = decode_ledger((await open_store(demo).get(key)).ok.value)
    assert first.incarnation in ledger.grants
    await first.stop()
    ledger = decode_ledger((await open_store(demo).get(key)).ok.value)
    assert first.incarnation not in ledger.grants


async def test_rollout_stopped_halfway_sends_nothing_more(demo):
    instances = list(demo.instances.values())
    for instance in instances:
        await get_grant(demo, instance)
    traffic = [
        asyncio.create_task(drive(demo, instance, lambda: False, rounds=10))
        for instance in instances
    ]
    text = instances[0].configuration.text
    stopped = text.replace("state = candidate", "state = withdrawn")
    revision = await demo.apply(stopped)
    await demo.wait_until(
        lambda: all(i.configuration.revision == revision for i in instances)
    )
    ran = count_runs(demo)
    await asyncio.gather(*traffic)
    assert count_runs(demo) <= ran + count_unrated(demo)
    ran = count_runs(demo)
    await drive(demo, instances[1], lambda: False, rounds=3)
    assert count_runs(demo) == ran


async def test_racing_operators_leave_one_declaration_and_the_halt(demo):
    first, second = demo.instances.values()
    first.halt_controller.halt(
        first.rollout_tracker.get_arm(KEY), next(iter(_make_halts(first).values()))
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
    await demo.wait_until(lambda: all(i.rollouts.is_halted(KEY) for i in instances))


def _make_halts(instance):
    for _ in range(60):
        instance.rollout_tracker.record_rating(KEY, 0.2)
    return instance.rollout_tracker.find_new_halts()


@pytest.mark.parametrize("work_class", ["plan", "label"])
async def test_failing_candidate_costs_no_caller_an_answer(demo, work_class):
    first, _ = demo.instances.values()
    await get_grant(demo, first)
    demo.engines["engine-2"].versions.remove(CANDIDATE)
    answers = [await demo.chat(first, work_class, f"x{n}") for n in range(60)]
    assert [content for status, content, _ in answers if status != 200] == []
