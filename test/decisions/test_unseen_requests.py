"""Choices on loads that are out of date."""

import random

import pytest
from speed_fleet import HOME, SERVICE, Scenario, SpeedFleet

from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.relays import Scope
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.shared_loads import (
    ReportSource,
    SharedLoad,
    SharedLoadTable,
    hash_server,
)
from tanagerwalk.registry import RegisteredServer, ServerState

OTHER = ReportSource(Scope.INSTANCE, "other")


def build_pool(counts, seed=1):
    """Build a pool to which another instance has told its requests at 0 s."""
    shared = SharedLoadTable()
    servers = [
        RegisteredServer(
            name, SERVICE, ("10.0.0.1", 80), "a-1", "v1", 8, ServerState.READY, 1
        )
        for name in counts
    ]
    loads = {hash_server(name): SharedLoad(n, 0.0) for name, n in counts.items()}
    shared.update(OTHER, "other", 1, loads, 0.0)
    pool = ServerPool(HOME, shared, PathTable(), random.Random(seed))
    pool.replace_servers(servers)
    return pool


def choose_at_each(counts, now, instances=200):
    """Return the server that each of many instances with the same reports chooses."""
    return [build_pool(counts, n).choose(SERVICE, now).id for n in range(instances)]


def find_served(instances, load, objective, **changes):
    """Return the part of the requests that are answered within the objective."""
    scenario = Scenario(
        load=load,
        instances=instances,
        neighbour_share=0.0,
        uses_speeds=False,
        seconds=9.0,
        measured_from=3.0,
        **changes,
    )
    ended = SpeedFleet(scenario).play().list_measured()
    in_time = [each for each in ended if each.ended_at - each.sent_at <= objective]
    return len(in_time) / len(ended)


@pytest.mark.parametrize("instances", [9, 69, 195])
@pytest.mark.parametrize(
    ("slowdowns", "work", "load", "objective", "least"),
    [
        ((1.0,) * 6, 0.045, 0.65, 0.268, 0.99),
        ((1.0,) * 6, 0.045, 0.8, 0.268, 0.99),
        ((1.0,) * 6, 0.2, 0.65, 0.4, 0.93),
        ((1.0,) * 5 + (4.0,), 0.045, 0.65, 0.268, 0.94),
        ((1.0,) * 5 + (4.0,), 0.2, 0.65, 0.9, 0.94),
    ],
)
def test_requests_are_served_although_all_see_the_same_old_loads(
    instances, slowdowns, work, load, objective, least
):
    served = find_served(instances, load, objective, slowdowns=slowdowns, work=work)
    assert served >= least


@pytest.mark.parametrize("instances", [9, 69, 195])
def test_engines_answer_in_time_although_all_see_the_same_old_loads(instances):
    changes = {"slots": 12, "work": 1.0, "runs_models": True}
    assert find_served(instances, 0.65, 2.0, slowdowns=(1.0,) * 8, **changes) >= 0.87


def test_instances_spread_over_servers_whose_loads_were_reported_long_ago():
    chosen = choose_at_each({"s0": 2, "s1": 3, "s2": 3, "s3": 3}, now=0.7)
    assert max(map(chosen.count, chosen)) < 100


def test_fresh_loads_decide_alone():
    assert set(choose_at_each({"s0": 2, "s1": 3, "s2": 3}, now=0.0)) == {"s0"}


def test_server_that_stays_busier_gets_less():
    chosen = choose_at_each({"s0": 2, "s1": 3, "s2": 30}, now=0.7)
    assert chosen.count("s2") < 10


def test_own_requests_count_in_full_beside_old_reports():
    pool = build_pool({"s0": 1, "s1": 1})
    for _ in range(8):
        pool.record_sent(pool.find("s0").server)
    assert {pool.choose(SERVICE, 0.7).id for _ in range(100)} == {"s1"}


def test_instance_without_reports_of_others_chooses_by_its_own_requests():
    pool = build_pool({"s0": 0, "s1": 0})
    pool.record_sent(pool.find("s0").server)
    assert {pool.choose(SERVICE, 5.0).id for _ in range(100)} == {"s1"}
