"""Which servers an instance takes for cold, and the limits that follow."""

import random
from dataclasses import replace

import pytest

from tanagerwalk.decisions.cold_servers import (
    MAX_COLD_S,
    RESTART_WAIT_S,
    WARM_UP_S,
    ColdPolicy,
    ColdReason,
    ColdServers,
)
from tanagerwalk.decisions.limit_parts import ColdLimit, divide_cold_limit
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_limits import (
    SETTLE_S,
    ServerLimits,
)
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.registry import ENTRY_LIFETIME_S, RegisteredServer, ServerState

POLICY = ColdPolicy(duration=4.0, rate=8.0, overrun=1.5, slack=5.0)
OLD = RegisteredServer(
    "desk-0", "desk", ("10.0.0.1", 80), "a-1", "v1", 8, ServerState.READY, born=1
)
OTHER = replace(OLD, id="desk-1", address=("10.0.0.2", 80), failure_domain="a-2")
BACK = replace(OLD, born=2, revision=2)
LIFE = hash_life(BACK)


def build_cold(policy=POLICY):
    cold = ColdServers()
    cold.find_policy = lambda service: policy
    cold.log = []
    cold.on_cold = lambda server, seconds, reason: cold.log.append(reason)
    cold.on_warm = lambda server: cold.log.append("warm")
    return cold


def build_limits(policy=POLICY):
    limits = ServerLimits(random.Random(1))
    limits.cold = build_cold(policy)
    limits.set_members("a", [])
    return limits


def test_start_that_was_not_listed_before_is_cold_whatever_its_entry_says():
    cold = build_cold()
    cold.observe([OLD], 10.0)
    assert cold.is_empty
    cold.observe([BACK], 20.0)
    assert cold.find_load(LIFE, 23.9) > 0.0
    assert cold.find_load(LIFE, 24.1) == 0.0
    assert cold.log == [ColdReason.STARTED]


def test_servers_of_the_first_list_are_cold_by_their_entries_only():
    cold = build_cold()
    cold.observe([OLD, replace(OTHER, cold_left=2.0)], 10.0)
    assert cold.count(11.9) == 1
    assert cold.count(12.1) == 0


def test_server_that_is_listed_again_is_not_new():
    cold = build_cold()
    for servers in ([OLD, OTHER], [OTHER], [OLD, OTHER]):
        cold.observe(servers, 10.0)
    assert cold.is_empty


def test_time_in_an_entry_counts_from_when_the_entry_is_first_seen():
    cold = build_cold()
    cold.observe([OLD], 10.0)
    again = replace(OLD, cold_left=2.0, revision=2)
    cold.observe([again], 20.0)
    cold.observe([again], 21.0)
    assert cold.find_load(hash_life(OLD), 22.1) == 0.0
    cold.observe([replace(again, cold_left=3.0, revision=3)], 23.0)
    assert cold.count(25.9) == 1


def test_longer_time_that_is_known_holds_and_a_huge_one_is_cut():
    cold = build_cold()
    cold.record_start(OLD, 10.0)
    cold.record_cold_time(OLD, 0.5, 11.0, ColdReason.ENTRY)
    assert cold.count(13.9) == 1
    cold.record_cold_time(OLD, 1e300, 11.0, ColdReason.ENTRY)
    assert cold.count(11.1 + MAX_COLD_S) == 0


def test_server_that_has_crashed_is_cold_when_it_answers_again():
    cold = build_cold()
    cold.record_crash(OLD, 10.0)
    assert cold.count(9.9 + RESTART_WAIT_S + POLICY.duration) == 1


def test_servers_that_are_gone_are_not_kept():
    cold = build_cold()
    cold.observe([OLD, OTHER], 10.0)
    cold.record_crash(OLD, 10.0)
    cold.observe([OTHER], 10.1)
    assert not cold.is_empty
    cold.observe([OTHER], 10.1 + RESTART_WAIT_S + POLICY.duration)
    assert cold.is_empty
    assert cold.log == [ColdReason.CRASHED]


def test_service_without_a_policy_has_no_cold_servers():
    cold = build_cold(policy=None)
    cold.observe([OLD], 10.0)
    cold.observe([replace(BACK, cold_left=5.0)], 20.0)
    cold.record_start(BACK, 20.0)
    assert cold.is_empty


def test_limit_ends_at_once_if_the_service_names_none_any_more():
    cold = build_cold()
    cold.record_start(OLD, 10.0)
    cold.find_policy = lambda service: None
    assert cold.find_limit(hash_life(OLD), 10.1) is None
    assert cold.is_empty


def test_limit_grows_for_a_while_once_a_server_is_warm():
    cold = build_cold()
    cold.record_start(BACK, 10.0)
    times = (10.0, 13.9, 14.5, 15.5, 16.9)
    rates = [cold.find_limit(LIFE, now).rate for now in times]
    assert rates[:2] == [POLICY.rate] * 2
    assert rates[1:] == sorted(set(rates))
    assert cold.find_limit(LIFE, 14.1 + WARM_UP_S) is None
    assert cold.log == [ColdReason.STARTED, "warm"]


def test_servers_of_a_domain_are_marked_cold():
    paths = PathTable()
    home = Home("a-1", "a", {"a-1": "a", "a-2": "a"})
    pool = ServerPool(home, SharedLoadTable(), paths, random.Random(1))
    pool.limits.cold.find_policy = lambda service: POLICY
    pool.replace_servers([OLD, OTHER])
    pool.mark_cold(frozenset({"a-2"}), 10.0)
    # A cold server is slow.
    assert {pool.choose("desk", 10.0).id for _ in range(9)} == {"desk-0"}
    usage = pool.find("desk-1")
    assert pool.is_free(usage, 10.0 + 2.0 / POLICY.rate)
    assert pool.take_slot(OTHER, 10.0 + 2.0 / POLICY.rate) is not None
    assert not pool.is_free(usage, 10.0 + 2.0 / POLICY.rate)


@pytest.mark.parametrize("stated", [1.0, 100.0])
def test_stricter_of_two_limits_holds(stated):
    limits = build_limits()
    limits.record(LIFE, stated, 10.0)
    limits.cold.record_start(BACK, 10.0)
    assert limits.find_rate(LIFE, 10.0) <= min(stated, POLICY.rate)


def test_requests_of_an_instance_are_spaced_however_late_they_are():
    limits = build_limits()
    limits.cold.record_start(BACK, 10.0)
    wait = limits.find_wait(LIFE, 10.0)
    assert wait < 1.0 / POLICY.rate * 1.1
    assert limits.admit(LIFE, limits.take_slot(LIFE, 12.0), 12.0)
    assert limits.find_wait(LIFE, 12.0) >= 1.0 / POLICY.rate


def test_instance_that_has_just_started_takes_a_small_part():
    limits = build_limits()
    limits.begin_settling()
    limits.cold.record_start(BACK, 10.0)
    assert limits.find_rate(LIFE, 10.0) == 0.0
    limits.set_registered((), 10.0)
    assert 0.0 < limits.find_rate(LIFE, 10.0) <= POLICY.rate / (9 / 2)
    limits.cold.record_start(BACK, 11.0 + SETTLE_S)
    assert limits.find_rate(LIFE, 11.0 + SETTLE_S) >= 0.9 * POLICY.rate


@pytest.mark.parametrize("rate", [0.5, 2.0, 8.0, 10.0, 11.0, 40.0])
@pytest.mark.parametrize("overrun", [1.0, 1.5])
def test_parts_keep_the_limit_in_any_second_whatever_the_number_of_members(
    rate, overrun
):
    limit = ColdLimit(rate, max(1.0, overrun * rate))
    for members in range(1, 400):
        parts = divide_cold_limit(limit, members)
        in_second = parts.count * (1 + int(1.0 / parts.interval))
        assert in_second <= limit.max_in_window
        assert parts.count / parts.interval <= rate


# A long-lived server whose entry never changes was taken for a new start.
def test_server_that_stays_listed_is_not_forgotten(monkeypatch):
    monkeypatch.setattr("tanagerwalk.decisions.cold_servers.MAX_KNOWN_STARTS", 8)
    cold = build_cold()
    steady = [replace(OLD, id=f"steady-{number}") for number in range(4)]
    cold.observe(steady, 0.0)
    for born in range(2, 22):
        cold.observe([*steady, replace(OLD, born=born)], float(born))
    assert cold.log.count(ColdReason.STARTED) == 20


# Guards against clients that wait as long as a restart may take although it is over.
def test_server_that_is_back_after_a_crash_is_cold_from_then_on_only():
    cold = build_cold()
    cold.record_crash(OLD, 10.0)
    cold.record_return(OLD, 11.0, ColdReason.RESTARTED)
    assert cold.count(10.9 + POLICY.duration) == 1
    assert cold.count(11.1 + POLICY.duration) == 0


def test_crash_after_a_return_counts_anew():
    cold = build_cold()
    cold.record_return(OLD, 10.0, ColdReason.RESTARTED)
    cold.record_crash(OLD, 11.0)
    assert cold.count(10.9 + RESTART_WAIT_S + POLICY.duration) == 1


ASSUMED = [ColdReason.RETURNED, ColdReason.RESTARTED]


# Guards against clients that wait for servers that ran on while paths were cut.
@pytest.mark.parametrize("reason", ASSUMED)
def test_server_whose_entry_stays_has_not_started_anew(reason):
    policy = replace(POLICY, duration=30.0)
    cold = build_cold(policy)
    cold.observe([OLD], 0.0)
    cold.record_return(OLD, 10.0, reason)
    cold.confirm_starts(9.9 + ENTRY_LIFETIME_S, 15.0)
    assert cold.count(15.0) == 1
    cold.confirm_starts(10.1 + ENTRY_LIFETIME_S, 16.0)
    assert cold.find_limit(hash_life(OLD), 16.0) is None
    assert cold.list_news(16.0) == {}


# Guards against a server that is only out of reach and is told of as cold.
def test_lost_path_is_not_told_once_the_assumed_start_is_over():
    cold = build_cold(replace(POLICY, duration=30.0))
    cold.observe([OLD], 0.0)
    cold.record_return(OLD, 1.0, ColdReason.RETURNED)
    cold.record_crash(OLD, 10.0, ColdReason.LOST)
    cold.confirm_starts(12.0, 12.0)
    assert cold.list_news(12.0) == {}


def test_entry_that_stays_ends_no_time_that_is_known():
    policy = replace(POLICY, duration=30.0)
    cold = build_cold(policy)
    cold.observe([OLD, OTHER], 0.0)
    cold.record_start(OLD, 10.0)
    cold.record_return(OLD, 11.0, ColdReason.RETURNED)
    cold.record_crash(OTHER, 10.0)
    cold.confirm_starts(30.0, 30.0)
    assert cold.count(30.0) == 2


# The new start of a server whose entry is gone may not be listed yet.
def test_server_that_is_not_listed_stays_cold():
    policy = replace(POLICY, duration=30.0)
    cold = build_cold(policy)
    cold.observe([OLD], 0.0)
    cold.record_return(OLD, 10.0, ColdReason.RETURNED)
    cold.observe([], 12.0)
    cold.confirm_starts(30.0, 30.0)
    assert cold.count(30.0) == 1
