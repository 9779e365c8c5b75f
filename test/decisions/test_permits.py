"""Permits for brittle servers, and what a coordinator knows of their room."""

import random

import pytest

from tanagerwalk.decisions.brittleness import LAST_WORD_LIFETIME_S, BrittleServices
from tanagerwalk.decisions.permits import (
    LEASE_S,
    LINGER_S,
    NAMING_DELAY_S,
    STALL_S,
    WARM_UP_S,
    Denied,
    Granted,
    PermitKey,
    PermitLedger,
    PermitRequest,
    Queued,
)
from tanagerwalk.decisions.server_room import NO_GROWTH_S, Ending, ServerRoom

LIFE, OTHER = 7, 8
SLOTS = 4
BEARABLE = 6.0
WARM = WARM_UP_S + 0.01
REQUEST = PermitRequest((LIFE,), 0.5)


def build_ledger(lives=(LIFE,), bearable=BEARABLE):
    slots = dict.fromkeys(lives, SLOTS)
    ledger = PermitLedger(slots.get, lambda: bearable, lives, 0.0)
    advance(ledger, 0.0, WARM)
    return ledger


def advance(ledger, since, until):
    """Advance without a stall, and return what was decided."""
    decided = {}
    steps = 1 + int((until - since) / (0.5 * STALL_S))
    for step in range(1, steps + 1):
        decided |= ledger.advance(since + (until - since) * step / steps)
    return decided


def fill(ledger, now=WARM):
    """Grant permits until none is left, and return their keys."""
    keys = []
    while True:
        key = PermitKey("holder", len(keys))
        if not isinstance(ledger.ask(key, REQUEST, now), Granted):
            ledger.end(key, Ending.UNUSED, now)
            return keys
        keys.append(key)


def test_as_many_permits_are_granted_as_the_server_has_slots_and_one_is_tried():
    assert len(fill(build_ledger())) == SLOTS + 1


def test_asking_again_gives_the_same_permit():
    ledger = build_ledger()
    key = PermitKey("holder", 1)
    assert ledger.ask(key, REQUEST, WARM) == Granted(LIFE)
    assert ledger.ask(key, REQUEST, WARM) == Granted(LIFE)
    assert ledger.count_in_use(LIFE) == 1


def test_request_that_waits_gets_the_next_place():
    ledger = build_ledger()
    keys = fill(ledger)
    waiting = PermitKey("other", 1)
    assert ledger.ask(waiting, REQUEST, WARM) == Queued()
    assert ledger.advance(WARM) == {}
    ledger.end(keys[-1], Ending.ANSWERED, WARM + 0.1)
    assert ledger.advance(WARM + 0.1) == {waiting: Granted(LIFE)}


def test_request_goes_first_that_has_been_at_a_server():
    ledger = build_ledger()
    keys = fill(ledger)
    urgent = PermitRequest((LIFE,), 0.5, is_urgent=True)
    ledger.ask(PermitKey("a", 1), REQUEST, WARM)
    ledger.ask(PermitKey("b", 1), urgent, WARM)
    ledger.end(keys[-1], Ending.ANSWERED, WARM + 0.1)
    assert ledger.advance(WARM + 0.1) == {PermitKey("b", 1): Granted(LIFE)}


# Guards against requests that wait for a place that they won't get in time.
def test_request_is_denied_at_once_if_too_many_wait():
    ledger = build_ledger()
    fill(ledger)
    decisions = [
        ledger.ask(PermitKey("other", number), REQUEST, WARM) for number in range(20)
    ]
    assert isinstance(decisions[0], Queued)
    assert isinstance(decisions[-1], Denied)
    assert decisions[-1].wait > REQUEST.patience


def test_request_is_denied_at_the_end_of_its_patience():
    ledger = build_ledger()
    fill(ledger)
    key = PermitKey("other", 1)
    ledger.ask(key, REQUEST, WARM)
    later = WARM + REQUEST.patience + 0.01
    assert isinstance(advance(ledger, WARM, later)[key], Denied)


def test_permits_of_a_holder_that_is_gone_expire():
    ledger = build_ledger()
    fill(ledger)
    advance(ledger, WARM, WARM + LEASE_S + 0.01)
    assert ledger.count_in_use(LIFE) == 0
    assert ledger.is_idle


def test_abandoned_request_keeps_its_place_for_a_moment():
    ledger = build_ledger()
    key = fill(ledger)[0]
    ledger.end(key, Ending.ABANDONED, WARM)
    assert ledger.count_in_use(LIFE) == SLOTS + 1
    ledger.advance(WARM + LINGER_S + 0.01)
    assert ledger.count_in_use(LIFE) == SLOTS


# Guards against places that stay counted since the note of an end was lost.
def test_permit_ends_that_its_holder_does_not_name():
    ledger = build_ledger()
    keys = fill(ledger)
    named = {key.request: LIFE for key in keys[1:]}
    ledger.renew_all("holder", named, WARM + 0.5 * NAMING_DELAY_S)
    assert ledger.count_in_use(LIFE) == len(keys)
    ledger.renew_all("holder", named, WARM + 1.1 * NAMING_DELAY_S)
    assert ledger.count_in_use(LIFE) == len(keys) - 1


# Guards against a server that is taken for free, as two coordinators have granted
# places for one request.
def test_place_is_counted_at_the_server_that_the_holder_names():
    ledger = build_ledger((LIFE, OTHER))
    key = PermitKey("holder", 1)
    ledger.ask(key, REQUEST, WARM)
    ledger.renew(key, OTHER, WARM)
    assert ledger.count_in_use(LIFE) == 0
    assert ledger.count_in_use(OTHER) == 1


# Guards against a coordinator that takes over and grants places that are in use.
def test_new_coordinator_hears_of_the_permits_before_it_grants_any():
    slots = {LIFE: SLOTS}
    ledger = PermitLedger(slots.get, lambda: BEARABLE, (LIFE,), 0.0)
    key = PermitKey("late", 1)
    assert ledger.ask(key, REQUEST, 0.0) == Queued()
    for number in range(SLOTS + 1):
        ledger.renew(PermitKey("holder", number), LIFE, 0.2)
    assert advance(ledger, 0.2, WARM) == {}
    assert ledger.count_in_use(LIFE) == SLOTS + 1


# Guards against a coordinator that was frozen, and takes all places for free then.
def test_coordinator_that_stood_still_listens_before_it_grants():
    ledger = build_ledger()
    keys = fill(ledger)
    now = WARM + 2.0 * LEASE_S
    assert ledger.ask(PermitKey("other", 1), REQUEST, now) == Queued()
    assert ledger.advance(now + 0.1) == {}
    assert ledger.count_in_use(LIFE) == len(keys)


# Guards against two coordinators that grant the same places.
def test_deputy_uses_a_part_of_the_places():
    ledger = build_ledger()
    ledger.share = 0.5
    assert len(fill(ledger)) == 0.5 * SLOTS


def test_server_with_most_room_is_chosen():
    ledger = build_ledger((LIFE, OTHER))
    request = PermitRequest((LIFE, OTHER), 0.5)
    lives = [
        ledger.ask(PermitKey("holder", number), request, WARM).life
        for number in range(2 * SLOTS)
    ]
    assert lives.count(LIFE) == lives.count(OTHER) == SLOTS


# Guards against a server that gets all that waits when it comes back from a fall.
def test_server_that_has_just_started_gets_few_requests_at_first():
    room = ServerRoom(SLOTS, is_proven=False)
    now = 0.0
    count = 0
    while room.has_place(BEARABLE, now):
        room.begin(count, now)
        count += 1
    assert count <= 1 + 0.5 * BEARABLE
    for number in range(count):
        room.end(number, Ending.ANSWERED, now)
    assert room.size == count


def test_rejection_lowers_the_room_until_it_is_tried_again():
    room = ServerRoom(SLOTS, is_proven=True)
    for number in range(3):
        room.begin(number, 0.0)
    room.end(2, Ending.REJECTED, 0.0)
    assert room.size == 2
    assert not room.has_place(BEARABLE, 1.5)
    assert room.has_place(BEARABLE, NO_GROWTH_S + 0.1)


# Guards against LIMIT: no more rejections in a second than a server bears.
@pytest.mark.parametrize("bearable", [0.0, 1.0, 3.0])
@pytest.mark.parametrize("seed", range(20))
def test_rejections_stay_bearable_whatever_room_the_server_has(bearable, seed):
    numbers = random.Random(seed)
    room = ServerRoom(12, is_proven=seed % 2 == 0)
    real = numbers.randint(1, 12)
    held = []
    rejected_at = []
    for step in range(1000):
        now = 0.02 * step
        if step % 150 == 0:
            real = numbers.randint(1, 12)
        if held and numbers.random() < 0.4:
            room.end(held.pop(0), Ending.ANSWERED, now)
        if not room.has_place(bearable, now):
            continue
        room.begin(step, now)
        if len(held) < real:
            held.append(step)
            continue
        room.end(step, Ending.REJECTED, now)
        rejected_at.append(now)
        last = [at for at in rejected_at if at > now - 1.0]
        assert len(last) <= max(1.0, bearable), (now, last)


def test_service_is_brittle_as_long_as_a_server_says_so():
    brittle = BrittleServices()
    assert brittle.is_empty
    brittle.statements.record(LIFE, 5.0, 1.0)
    brittle.statements.record(OTHER, 3.0, 1.0)
    assert brittle.find_bearable("desk", [LIFE, OTHER], 1.0) == 3.0
    brittle.statements.record(OTHER, None, 2.0)
    assert brittle.find_bearable("desk", [LIFE, OTHER], 2.0) == 5.0
    brittle.statements.record(LIFE, None, 3.0)
    assert brittle.find_bearable("desk", [LIFE, OTHER], 3.0) is None


def test_service_stays_brittle_for_a_while_after_all_its_servers_have_fallen():
    brittle = BrittleServices()
    brittle.statements.record(LIFE, 5.0, 1.0)
    assert brittle.find_bearable("desk", [LIFE], 1.0) == 5.0
    brittle.statements.forget(LIFE)
    assert brittle.find_bearable("desk", [], 2.0) == 5.0
    assert brittle.find_bearable("desk", [], 1.1 + LAST_WORD_LIFETIME_S) is None
