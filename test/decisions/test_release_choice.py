"""The choice of the base or the target release, by servers of requests and owners."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.release_choice import (
    HANDOVER_S,
    HASH_RANGE,
    OwnerAnswer,
    ReleaseChooser,
    RoutingConditions,
    SideReason,
    has_learned_sessions,
    hash_session,
)
from tanagerwalk.decisions.release_rollouts import RolloutPhase
from tanagerwalk.decisions.tallies import StartCount

SHARE = 0.15
GAP_S = 5.0
SLACK = 30.0
CANARY = RolloutPhase.CANARY
RAMP = RolloutPhase.RAMP
# Far enough that no cap applies.
ROOM = RoutingConditions(starts=StartCount(0, 10_000))
LOW_KEY = 1
HIGH_KEY = HASH_RANGE - 1


def build_chooser(share=SHARE, slack=SLACK):
    return ReleaseChooser("drafts", share, GAP_S, slack)


def count_starts(total, target):
    return StartCount(target, total - target)


def list_keys(count):
    return [hash_session("drafts", b"s%d" % n) for n in range(count)]


def ask(chooser, key, phase=CANARY, now=1.0, conditions=ROOM, has_learned=True):
    """Return the answer of an owner, which records it."""
    answer = chooser.answer(phase, key, now, lambda: conditions, has_learned)
    if answer.is_target is not None:
        chooser.owned.begin(key, 1, answer.is_target, now + 1.0, now)
    return answer


def serve(asker, owner, key, phase=CANARY, now=1.0, conditions=ROOM):
    """Serve a request of a session as an instance that asks one owner."""
    answers = [ask(owner, key, phase, now)]
    return asker.decide(phase, key, answers, now, lambda: conditions).is_target


def test_session_that_began_before_the_order_stays_on_its_release():
    owner = build_chooser(1.0)
    keys = list_keys(200)
    for key in keys:
        owner.owned.end(key, 0, False, GAP_S, 0.0)
    assert not any(serve(build_chooser(), owner, key) for key in keys)


def test_new_session_goes_where_the_owner_says():
    owner = build_chooser(0.5)
    sides = {serve(build_chooser(0.5), owner, key) for key in list_keys(200)}
    assert sides == {False, True}


@pytest.mark.parametrize(
    "conditions",
    [
        RoutingConditions(has_recent_state=False),
        RoutingConditions(has_target=False),
    ],
)
def test_instance_without_recent_state_or_target_starts_no_session_there(conditions):
    owner = build_chooser(0.5)
    keys = list_keys(200)
    asker = build_chooser(0.5)
    assert not any(serve(asker, owner, key, conditions=conditions) for key in keys)
    assert not any(
        asker.choose_new(CANARY, key, lambda: conditions).is_target for key in keys
    )


@pytest.mark.parametrize(
    ("phase", "on_target"),
    [
        (RolloutPhase.FULL, True),
        (RolloutPhase.COMPLETE, True),
        (RolloutPhase.ROLLED_BACK, False),
    ],
)
@pytest.mark.parametrize("answers", [[], [OwnerAnswer(False, True)], [OwnerAnswer()]])
def test_later_phases_move_every_session(phase, on_target, answers):
    chooser = build_chooser()
    chooser.served.end(HIGH_KEY, 0, False, GAP_S, 0.0)
    choice = chooser.decide(phase, HIGH_KEY, answers, 0.1, lambda: ROOM)
    assert choice.is_target is on_target
    assert ask(chooser, HIGH_KEY, phase).is_target is on_target


# Guards against EXPOSURE: requests of one session must not use up the share of others.
@given(st.lists(st.integers(0, 400), min_size=50, max_size=400))
def test_canary_share_holds_for_any_sessions(numbers):
    chooser = build_chooser(slack=4.0)
    sessions = set()
    target_starts = chosen = 0
    for starts, number in enumerate(numbers):
        key = hash_session("drafts", b"s%d" % number)
        conditions = RoutingConditions(starts=count_starts(starts, target_starts))
        answer = ask(chooser, key, conditions=conditions)
        target_starts += answer.is_target
        if number not in sessions:
            chosen += answer.is_target
        sessions.add(number)
    assert chosen <= SHARE * len(numbers) + 3


@given(st.integers(0, HASH_RANGE - 1), st.lists(st.booleans(), max_size=20))
def test_session_keeps_its_release_during_the_canary_phase(key, recent_states):
    asker, owner = build_chooser(), build_chooser()
    first = serve(asker, owner, key, now=0.0)
    for step, is_recent in enumerate(recent_states):
        conditions = RoutingConditions(
            has_recent_state=is_recent, starts=StartCount(0, 10_000)
        )
        assert serve(asker, owner, key, now=step, conditions=conditions) is first


def start_sessions(base_wait, target_wait):
    chooser = build_chooser()
    target_starts = 0
    for starts, key in enumerate(list_keys(400)):
        conditions = RoutingConditions(
            base_wait=base_wait,
            target_wait=target_wait,
            progress=0.2,
            starts=count_starts(starts, target_starts),
        )
        target_starts += ask(chooser, key, conditions=conditions).is_target
    return target_starts


def test_target_servers_take_sessions_while_the_base_is_overloaded():
    """Three of four base servers had crashed while five target servers were idle."""
    usual = start_sessions(0.1, 0.0)
    overloaded = start_sessions(2.0, 0.1)
    assert overloaded > 2 * usual
    assert overloaded <= SHARE * 400 / 0.2


def test_no_extra_sessions_move_while_both_releases_have_a_queue():
    assert start_sessions(2.0, 1.5) == start_sessions(0.1, 0.0)


# Guards against PINNED: a session over the share that had gone to the target while the
# base had a queue went back at an instance that saw no queue.
def test_session_that_went_to_the_target_in_a_queue_stays_there():
    owner = build_chooser()
    key = int(3 * 0.9 * SHARE * HASH_RANGE)
    queue = RoutingConditions(base_wait=2.0, starts=StartCount(0, 10_000))
    assert ask(owner, key, conditions=queue).is_target
    assert build_chooser().is_shared(CANARY, key)
    assert serve(build_chooser(), owner, key)


# Guards against PINNED: a session whose release follows from its hash, but whose owner
# has no share left when it goes on.
def test_session_on_the_target_stays_there_without_a_share_left():
    owner = build_chooser()
    keys = list_keys(40)
    sides = [serve(build_chooser(), owner, key) for key in keys]
    assert True in sides
    full = RoutingConditions(starts=StartCount(100, 0))
    assert [ask(owner, key, conditions=full).is_target for key in keys] == sides


# Guards against EXPOSURE in a large fleet, whose instances each sent a few requests
# beyond their share; and if traffic ends soon after the order.
@pytest.mark.parametrize("instances", [3, 9, 75, 200, 340])
@pytest.mark.parametrize("requests", [1, 3, 20])
def test_instances_that_know_only_their_own_requests_keep_the_bound(
    instances, requests
):
    chosen = 0
    for number in range(instances):
        chooser = build_chooser()
        own = 0
        for request in range(requests):
            key = hash_session("drafts", b"%d.%d" % (number, request))
            conditions = RoutingConditions(starts=count_starts(request, own))
            own += chooser.choose_new(CANARY, key, lambda c=conditions: c).is_target
        chosen += own
    assert chosen <= SHARE * instances * requests + SLACK


def test_session_keeps_its_release_when_the_bounds_change():
    """Reloading the settings during a roll-out moved running sessions."""
    asker, owner = build_chooser(), build_chooser()
    keys = list_keys(300)
    sides = [serve(asker, owner, key, now=0.0) for key in keys]
    for chooser in (asker, owner):
        chooser.set_bounds(0.05, GAP_S, SLACK)
    assert [serve(asker, owner, key) for key in keys] == sides


def test_smaller_share_applies_from_the_change_on():
    chooser = build_chooser(0.5)
    chooser.set_bounds(0.1, GAP_S, SLACK)
    chosen = sum(ask(chooser, key).is_target for key in list_keys(400))
    assert chosen <= 0.1 * 400 + 3


@pytest.mark.parametrize("phase", [CANARY, RAMP])
@pytest.mark.parametrize(
    "answers",
    [
        [OwnerAnswer(False, True), OwnerAnswer(True, True)],
        [OwnerAnswer(), OwnerAnswer(True, True)],
        [OwnerAnswer(False, False), OwnerAnswer(True, True)],
    ],
)
def test_one_owner_that_knows_a_session_on_the_target_is_enough(phase, answers):
    stale = RoutingConditions(has_recent_state=False)
    choice = build_chooser().decide(phase, HIGH_KEY, answers, 0.0, lambda: stale)
    assert (choice.is_target, choice.reason) == (True, SideReason.OWNER)


def test_knowledge_goes_before_a_proposal():
    answers = [OwnerAnswer(True, False), OwnerAnswer(False, True)]
    choice = build_chooser().decide(CANARY, LOW_KEY, answers, 0.0, lambda: ROOM)
    assert not choice.is_target


# Guards against PINNED: owners that can't be reached leave a session where it is.
def test_session_without_owners_stays_on_the_base_in_the_canary_phase():
    silent = [OwnerAnswer(), OwnerAnswer()]
    choice = build_chooser().decide(CANARY, LOW_KEY, silent, 0.0, lambda: ROOM)
    assert (choice.is_target, choice.reason) == (False, SideReason.NO_OWNER)


# Guards against PINNED: a session that a rollback had moved to the base went to the
# target again at an instance that had not learned of the rollback.
def test_owner_that_was_told_the_base_goes_before_what_was_served_here():
    chooser = build_chooser()
    chooser.served.end(LOW_KEY, 1, True, 9.0, 0.0)
    answers = [OwnerAnswer(False, True), OwnerAnswer()]
    choice = chooser.decide(CANARY, LOW_KEY, answers, 1.0, lambda: ROOM)
    assert (choice.is_target, choice.reason) == (False, SideReason.OWNER)


def test_session_served_here_on_the_target_stays_there_without_owners():
    chooser = build_chooser()
    chooser.served.begin(HIGH_KEY, 1, True, 3.0, 0.0)
    choice = chooser.decide(RAMP, HIGH_KEY, [OwnerAnswer()], 1.0, lambda: ROOM)
    assert (choice.is_target, choice.reason) == (True, SideReason.SERVED_HERE)


def test_session_on_the_base_may_move_in_the_ramp_phase_by_its_hash():
    owner = build_chooser()
    for key in (LOW_KEY, HIGH_KEY):
        owner.owned.end(key, 0, False, 9.0, 0.0)
    assert serve(build_chooser(), owner, LOW_KEY, RAMP)
    assert not serve(build_chooser(), owner, HIGH_KEY, RAMP)


def test_owner_that_has_not_learned_of_the_sessions_proposes_nothing():
    chooser = build_chooser()
    assert ask(chooser, LOW_KEY, has_learned=False) == OwnerAnswer()
    chooser.owned.end(LOW_KEY, 0, False, 9.0, 0.0)
    assert ask(chooser, LOW_KEY, has_learned=False) == OwnerAnswer(False, True)


@pytest.mark.parametrize(
    ("now", "started_at", "order_known_at", "has_learned"),
    [
        (100.0 + HANDOVER_S - 0.1, 0.0, 100.0, False),
        (100.0 + HANDOVER_S, 0.0, 100.0, True),
        (102.0, 99.5, 100.0, False),
        (105.0, 99.5, 100.0, False),
        (105.5, 99.5, 100.0, True),
        (103.0, 100.0, 100.0, False),
    ],
)
def test_owner_knows_the_sessions_a_gap_after_its_start(
    now, started_at, order_known_at, has_learned
):
    learned = has_learned_sessions(now, started_at, order_known_at, 6.0, 20.0)
    assert learned is has_learned
