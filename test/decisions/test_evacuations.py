"""When requests stop going to an evacuated failure domain, and when they come back."""

import random
from collections import Counter

import pytest

from tanagerwalk.decisions.evacuations import RESTORE_GRACE_S, Evacuations

DELAY_S = 5.0
INSTANCES = 195


def build(seed=1):
    return Evacuations(random.Random(seed))


def update(known, domains, now, era=0, confirmed_at=float("-inf")):
    """Pass on what the store holds; return the domains that began and that ended."""
    requests = dict.fromkeys(domains, 7)
    result = known.update(requests, era, confirmed_at, now, DELAY_S)
    return [[each.failure_domain for each in some] for some in result]


def test_evacuation_begins_at_once_if_it_may_have_been_requested_long_ago():
    known = build()
    assert update(known, ["a-1"], 10.0) == [["a-1"], []]
    assert known.list_active(10.0) == {"a-1"}
    assert update(known, ["a-1"], 11.0) == [[], []]


# Guards against a move of all load at one moment, which no reported load shows in time.
def test_instances_stop_one_after_another():
    begins = []
    for seed in range(INSTANCES):
        known = build(seed)
        update(known, ["a-1"], 10.0, confirmed_at=9.9)
        begins.append(known.find_next_change(10.0) - 10.0)
    assert max(begins) <= 0.2 * DELAY_S
    most = max(Counter(int(begin / 0.1) for begin in begins).values())
    assert most < 0.2 * INSTANCES


# The later an instance may have heard of it, the less it spreads.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("unread_for", [0.1, 1.0, 2.0, 2.4, 2.6, 4.0])
def test_all_have_stopped_at_half_of_the_delay_or_when_they_hear(seed, unread_for):
    known = build(seed)
    update(known, ["a-1"], 10.0, confirmed_at=10.0 - unread_for)
    latest = max(10.0, 10.0 - unread_for + 0.5 * DELAY_S)
    assert known.list_active(latest) == {"a-1"}


def test_one_ends_while_another_begins():
    known = build()
    update(known, ["a-1", "a-2"], 1.0)
    assert known.list_active(1.0) == {"a-1", "a-2"}
    assert update(known, ["a-2", "a-3"], 2.0) == [["a-3"], ["a-1"]]
    assert known.list_active(2.0) == {"a-2", "a-3"}


def test_evacuation_that_is_withdrawn_before_it_begins_never_does():
    known = build()
    update(known, ["a-1"], 10.0, confirmed_at=10.0)
    assert update(known, [], 10.0) == [[], ["a-1"]]
    assert known.find_next_change(10.0) == float("inf")


def test_restored_store_that_lacks_it_ends_it_only_after_a_while():
    known = build()
    update(known, ["a-1"], 10.0)
    assert update(known, [], 11.0, era=1) == [[], []]
    assert update(known, [], 12.0, era=1) == [[], []]
    ends_at = 11.0 + RESTORE_GRACE_S
    assert known.find_next_change(12.0) == ends_at
    assert known.pop_ended(ends_at - 0.1) == []
    assert [each.failure_domain for each in known.pop_ended(ends_at)] == ["a-1"]
    assert known.list_active(ends_at) == frozenset()


def test_evacuation_written_again_after_a_restore_ends_when_it_is_removed():
    known = build()
    update(known, ["a-1"], 10.0)
    update(known, [], 11.0, era=1)
    assert update(known, ["a-1"], 12.0, era=1) == [[], []]
    assert known.list_active(12.0 + 2.0 * RESTORE_GRACE_S) == {"a-1"}
    assert known.pop_ended(12.0 + 2.0 * RESTORE_GRACE_S) == []
    assert update(known, [], 90.0, era=1) == [[], ["a-1"]]


# Guards against an evacuation that instances which start tell one another for ever.
def test_what_another_instance_told_ends_after_a_while_and_is_not_told_on():
    known = build()
    update(known, [], 10.0, era=1)
    known.adopt(["a-1"], 10.0)
    assert (known.list_active(10.0), known.list_read()) == ({"a-1"}, [])
    assert update(known, [], 11.0, era=1) == [[], []]
    ended = known.pop_ended(10.0 + RESTORE_GRACE_S)
    assert [each.failure_domain for each in ended] == ["a-1"]


def test_what_another_instance_told_holds_once_the_store_has_it():
    known = build()
    known.adopt(["a-1"], 10.0)
    assert update(known, ["a-1"], 11.0, era=1) == [[], []]
    assert known.pop_ended(10.0 + RESTORE_GRACE_S) == []
    assert known.list_read() == ["a-1"]


# While the copy is listed anew, its era is not known.
def test_restore_is_seen_although_the_era_was_unknown_meanwhile():
    known = build()
    update(known, ["a-1"], 10.0)
    update(known, ["a-1"], 11.0, era=None)
    assert update(known, [], 12.0, era=1) == [[], []]
    assert known.list_active(12.0) == {"a-1"}
