"""Placement among servers that differ in speed, lastingly or from moment to moment."""

import math
import random
from dataclasses import replace

import pytest
from speed_fleet import HOME, SERVICE, Scenario, SpeedFleet, ideal_shares

from tanagerwalk.decisions.engine_load import MAX_SLOWDOWN, EngineLoad
from tanagerwalk.decisions.latency_baselines import LatencySample
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.relays import Scope
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_speed_samples import SpeedSamples
from tanagerwalk.decisions.server_speeds import ServerSpeeds
from tanagerwalk.decisions.server_usage import MAX_SILENCE_S
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import ReportSource, SharedLoadTable
from tanagerwalk.registry import RegisteredServer, ServerState

MIXED = (0.7, 1.7, 0.7)
SERVERS = [
    RegisteredServer(
        f"s{n}", SERVICE, ("10.0.0.1", 80), "a-1", "v1", 6, ServerState.READY, 1
    )
    for n in range(4)
]
LIVES = [hash_life(server) for server in SERVERS]
USUAL_LOAD = EngineLoad(1, 0, 6, 1.0)


def report_machine(present, lasting):
    """Return the fourth figure of a server that reports only its neighbour."""
    return present / lasting


def report_present(present, lasting):
    """Return the fourth figure of a server that reports its whole slowdown."""
    del lasting
    return present


def report_usual(present, lasting):
    """Return the slowdown that a server reports which knows nothing of its machine."""
    del present, lasting
    return 1.0


def build_pool(count=2):
    pool = ServerPool(HOME, SharedLoadTable(), PathTable(), random.Random(1))
    pool.replace_servers(SERVERS[:count])
    return pool


def play_both(scenario, seed=1):
    """Return the fleets with the earlier choice and with the estimated speeds."""
    plays = [
        SpeedFleet(Scenario(**scenario, uses_speeds=uses), seed) for uses in (0, 1)
    ]
    return [fleet.play() for fleet in plays]


def find_slow_share(fleet):
    shares = zip(fleet.find_shares(), fleet.scenario.slowdowns, strict=True)
    return sum(share for share, slowdown in shares if slowdown > 1.0)


@pytest.mark.parametrize("report", [report_usual, report_machine, report_present])
@pytest.mark.parametrize("load", [0.7, 0.9])
def test_slow_servers_get_less_and_answers_come_sooner(load, report):
    scenario = {"slowdowns": MIXED * 2, "load": load, "report": report, "seconds": 22.0}
    before, after = play_both(scenario)
    ideal = sum(share for share in ideal_shares(MIXED * 2) if share < 0.1)
    assert find_slow_share(after) <= ideal * 1.1 < find_slow_share(before) * 1.2
    assert after.find_quantile(0.95) < 0.9 * before.find_quantile(0.95)
    assert after.find_mean_wait() < 1.1 * before.find_mean_wait()


@pytest.mark.parametrize("load", [0.7, 0.9])
def test_engines_of_a_small_fleet_are_used_by_their_speed(load):
    scenario = {
        "slowdowns": MIXED * 2,
        "load": load,
        "report": report_machine,
        "runs_models": True,
        "work": 0.4,
        "seconds": 30.0,
    }
    before, after = play_both(scenario)
    assert find_slow_share(after) < find_slow_share(before)
    assert after.find_quantile(0.95) < before.find_quantile(0.95)
    assert after.find_mean_wait() < before.find_mean_wait()


@pytest.mark.parametrize("load", [0.7, 0.9])
def test_large_fleet_in_which_each_instance_sees_little_learns_together(load):
    """Each of 69 instances has an answer of a server every few seconds."""
    scenario = {
        "slowdowns": MIXED * 5,
        "load": load,
        "instances": 69,
        "work": 0.2,
        "report": report_machine,
        "seconds": 14.0,
    }
    before, after = play_both(scenario)
    assert find_slow_share(after) < 0.95 * find_slow_share(before)
    assert after.find_quantile(0.95) < before.find_quantile(0.95)


def test_two_machines_three_times_slower_that_say_so():
    """By latency alone they got .16 of the work, and have room for .14."""
    scenario = {
        "slowdowns": (3.0, 3.0, 1.0, 1.0, 1.0, 1.0),
        "load": 0.7,
        "instances": 3,
        "work": 0.06,
        "neighbour_share": 0.0,
        "report": report_present,
    }
    before, after = play_both(scenario)
    assert find_slow_share(after) < 0.12 < find_slow_share(before)
    assert after.find_quantile(0.95) < 0.8 * before.find_quantile(0.95)


@pytest.mark.parametrize("report", [None, report_usual])
@pytest.mark.parametrize("runs_models", [False, True])
def test_equal_servers_are_chosen_as_without_speeds(runs_models, report):
    scenario = {
        "slowdowns": (1.0,) * 6,
        "load": 0.9,
        "neighbour_share": 0.0,
        "runs_models": runs_models,
        "report": report,
    }
    before, after = play_both(scenario)
    chosen = [[each.server.entry.id for each in f.ended] for f in (before, after)]
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize("runs_models", [False, True])
def test_servers_that_report_no_slowdown_are_chosen_as_without_speeds(runs_models):
    """Guards against measured speeds that count where no server reports a slowdown."""
    scenario = {"slowdowns": MIXED * 2, "load": 0.9, "runs_models": runs_models}
    before, after = play_both(scenario)
    chosen = [[each.server.entry.id for each in f.ended] for f in (before, after)]
    assert chosen[0] == chosen[1]
    for pool in after.pools:
        assert pool.speeds.is_uniform(after.now)
        assert not pool.speeds.list_own(after.now)
        assert not pool.speeds.list_lasting(after.now)


@pytest.mark.parametrize("report", [report_usual, report_present])
def test_change_of_speed_is_followed_within_seconds(report):
    fleet = SpeedFleet(
        Scenario(
            slowdowns=(0.7, 0.7, 1.7),
            changes=((10.0, (1.7, 0.7, 0.7)),),
            load=0.7,
            report=report,
            neighbour_share=0.0,
            seconds=26.0,
        )
    ).play()
    assert fleet.find_shares(6.0, 10.0)[2] < 0.18
    shares = fleet.find_shares(18.0)
    assert shares[0] < 0.18
    assert shares[2] > 0.35


@pytest.mark.parametrize("word", [0.01, 0.25, 4.0, 100.0])
def test_false_reports_of_one_server_are_found_out(word):
    """A server that always reports the same is measured against the others."""
    scenario = {"slowdowns": (1.0,) * 6, "load": 0.7, "neighbour_share": 0.0}
    seeds = (1, 2, 3)
    plain = [SpeedFleet(Scenario(**scenario), seed).play() for seed in seeds]
    scenario["false_word"] = word
    fleets = [SpeedFleet(Scenario(**scenario), seed).play() for seed in seeds]
    for fleet in fleets:
        assert 0.7 / 6.0 < fleet.find_shares()[0] < 1.4 / 6.0
    before, after = (
        sum(fleet.find_quantile(0.95) for fleet in each) for each in (plain, fleets)
    )
    assert after < 1.1 * before


@pytest.mark.parametrize("word", [0.25, 4.0])
def test_large_fleet_does_not_run_to_or_from_a_server_for_its_word(word):
    fleet = SpeedFleet(
        Scenario(
            slowdowns=(1.0,) * 15,
            load=0.7,
            instances=69,
            work=0.2,
            neighbour_share=0.0,
            false_word=word,
            seconds=12.0,
        )
    ).play()
    assert 0.6 / 15.0 < fleet.find_shares(0.0, 3.0)[0] < 1.4 / 15.0
    assert 0.8 / 15.0 < fleet.find_shares()[0] < 1.2 / 15.0


def test_good_word_draws_requests_only_for_a_moment():
    pool = build_pool()
    pool.record_answer(SERVERS[0], EngineLoad(0, 0, 6, 0.25), 0.0)
    pool.record_answer(SERVERS[1], EngineLoad(0, 0, 6, 1.0), 0.0)
    assert pool.speeds.estimate(LIVES[0], 0.0) == pytest.approx(0.25)
    assert pool.speeds.estimate(LIVES[0], 1.2) > 0.65
    assert pool.speeds.estimate(LIVES[0], 9.0) > 0.85


def test_own_requests_count_at_once_on_a_server_that_was_praised():
    pool = build_pool()
    pool.record_answer(SERVERS[0], EngineLoad(0, 0, 6, 0.5), 0.0)
    pool.record_answer(SERVERS[1], EngineLoad(0, 0, 6, 1.0), 0.0)
    chosen = []
    for _ in range(12):
        server = pool.choose(SERVICE, 0.01)
        pool.record_sent(server)
        chosen.append(server.id)
    assert chosen.count("s0") == pytest.approx(8, abs=1)


def test_few_samples_prove_nothing():
    speeds = ServerSpeeds()
    speeds.set_servers({SERVICE: LIVES})
    speeds.record_report(LIVES[3], USUAL_LOAD, 0.0)
    for number in range(20):
        speeds.record_duration(
            LIVES[number % 4], "jobs", LatencySample(0.1), None, number * 0.01
        )
    speeds.record_duration(LIVES[0], "jobs", LatencySample(0.4), None, 0.3)
    assert speeds.list_own(0.3).keys() == set(LIVES)
    assert speeds.estimate(LIVES[0], 0.6) == 1.0


@pytest.mark.parametrize("slowdown", [1e9, 100.0])
def test_implausible_word_counts_as_the_bound(slowdown):
    pool = build_pool()
    pool.record_answer(SERVERS[0], EngineLoad(0, 0, 6, slowdown), 0.0)
    assert pool.speeds.estimate(LIVES[0], 0.0) <= MAX_SLOWDOWN


def test_way_to_another_region_does_not_count_as_slowness():
    home = Home("a-1", "a", {"a-1": "a", "b-1": "b"})
    pool = ServerPool(home, SharedLoadTable(), PathTable(), random.Random(1))
    far = replace(SERVERS[1], failure_domain="b-1")
    pool.replace_servers([SERVERS[0], far])
    for number in range(200):
        now = number * 0.05
        for server, seconds in ((SERVERS[0], 0.02), (far, 0.036)):
            sample = LatencySample(seconds)
            pool.record_answer(server, USUAL_LOAD, now)
            pool.record_duration(server, "jobs", sample, USUAL_LOAD, now)
    lives = [hash_life(server) for server in (SERVERS[0], far)]
    assert pool.speeds.list_own(now).keys() == set(lives)
    assert [pool.speeds.estimate(life, now) for life in lives] == [1.0, 1.0]


def test_slow_machine_has_more_time_until_it_counts_as_silent():
    pool = build_pool()
    for _ in range(20):
        pool.record_answer(SERVERS[0], EngineLoad(1, 0, 6, 3.0), 0.0)
    pool.record_sent(SERVERS[0])
    assert not pool.is_silent(SERVERS[0], 2.0 * MAX_SILENCE_S)
    assert pool.is_silent(SERVERS[0], 5.0 * MAX_SILENCE_S)


def test_wait_is_estimated_by_the_speed_of_the_server():
    pool = build_pool(1)
    for _ in range(3):
        pool.record_sent(SERVERS[0])
    usual = pool.estimate_wait(SERVICE, 0.0)
    pool.record_answer(SERVERS[0], EngineLoad(3, 0, 6, 2.0), 0.0)
    assert pool.estimate_wait(SERVICE, 0.0) == pytest.approx(2.0 * usual)


def test_restarted_server_has_the_usual_speed():
    pool = build_pool()
    pool.record_answer(SERVERS[0], EngineLoad(0, 0, 6, 3.0), 0.0)
    pool.replace_servers([])
    pool.replace_servers(SERVERS)
    assert pool.speeds.is_uniform(0.1)


def test_only_services_whose_servers_report_slowdowns_are_measured():
    other = replace(SERVERS[1], id="t0", service="desk")
    pool = ServerPool(HOME, SharedLoadTable(), PathTable(), random.Random(1))
    pool.replace_servers([SERVERS[0], SERVERS[2], other])
    pool.record_answer(SERVERS[2], USUAL_LOAD, 0.0)
    for number in range(20):
        for server in (SERVERS[0], other):
            pool.record_duration(server, "jobs", LatencySample(0.1), None, number * 0.1)
    assert pool.speeds.list_own(2.0).keys() == {LIVES[0], LIVES[2]}
    assert hash_life(other) not in pool.speeds.list_own(2.0)


@pytest.mark.parametrize("reports", [0.0, 5.0])
def test_speeds_told_by_others_count_where_slowdowns_are_reported(reports):
    """An instance of an earlier version tells measured speeds of every service."""
    speeds = ServerSpeeds()
    speeds.set_servers({SERVICE: LIVES})
    told = {
        life: SpeedSamples(200.0, 200.0 * math.log(slowdown), reports, 0.0)
        for life, slowdown in zip(LIVES, (0.5, 0.5, 2.0, 2.0), strict=True)
    }
    speeds.shared.update(ReportSource(Scope.INSTANCE, "b"), "b", 1, told, 0.0)
    assert bool(speeds.list_lasting(0.1)) == (reports > 0.0)
    speeds.record_duration(LIVES[0], "jobs", LatencySample(0.1), None, 0.2)
    assert speeds.is_uniform(0.3) == (reports == 0.0)
