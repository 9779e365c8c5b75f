"""Shares that leave a failure domain, for each objective and when views differ."""

import pytest
from spillover_fleet import REGIONS, Fleet, Scenario

from tanagerwalk.decisions.cold_servers import ColdPolicy
from tanagerwalk.decisions.locations import Distance

SMALL_FLEET = {"servers": 6, "instances": 6, "tokens": 400.0}


@pytest.mark.parametrize("objective", [0.2, 0.3, 0.45, 1.0, 4.0])
def test_short_objective_lets_nothing_leave_half_used_engines(objective):
    """Requests that are being answered keep no other one waiting."""
    scenario = Scenario(
        lambda domain, now: 0.5, **SMALL_FLEET, objective=objective, length=8.0
    )
    trial = Fleet(scenario).run()
    assert trial.find_share() < 0.02
    assert trial.find_wait() < 0.1


def step_one(domain, now):
    """Return loads of a domain that rises and falls twice."""
    if domain != "a-1":
        return 0.5
    return 1.25 if 2 <= now < 6 or 10 <= now < 14 else 0.3


def step_two(domain, now):
    """Return loads of two neighbors that are full by turns."""
    full = "a-1" if now // 4 % 2 == 0 else "a-2"
    return 1.2 if domain == full else 0.4


@pytest.mark.parametrize("load", [step_one, step_two])
@pytest.mark.parametrize("report_delay", [0.3, 0.8])
def test_shares_turn_no_more_often_than_the_demand(load, report_delay):
    scenario = Scenario(load, report_delay=report_delay, length=18.0, **SMALL_FLEET)
    trial = Fleet(scenario).run()
    assert trial.find_share(3, 4, "a-1") > 0.15
    for domain in REGIONS:
        assert trial.count_turns(domain, 0.2) <= 4
    assert trial.find_share(domain="b-1") < 0.02
    assert trial.find_wait() < 0.25


@pytest.mark.parametrize("load", [0.55, 1.2])
def test_cut_off_instances_send_on_what_exceeds_their_domain(load):
    """They see the loads elsewhere by their own requests and the servers' reports."""
    scenario = Scenario(
        lambda domain, now: load if domain == "a-1" else 0.5,
        is_cut=lambda domain, now: domain == "a-1" and now >= 4.0,
        length=12.0,
        **SMALL_FLEET,
    )
    trial = Fleet(scenario).run()
    before, after = trial.find_share(2, 4, "a-1"), trial.find_share(5, 12, "a-1")
    assert abs(after - before) < 0.15
    assert (after > 0.2) is (load > 1.0)
    assert trial.count_turns("a-1", 0.2) <= 2
    assert trial.find_wait(begin=5.0) < 0.2


def test_crowded_neighbor_sends_on_as_much_as_it_gets():
    """One full domain isn't hidden by those that have room."""
    loads = {"a-1": 1.3, "a-2": 1.0}
    scenario = Scenario(
        lambda domain, now: loads.get(domain, 0.4), length=12.0, **SMALL_FLEET
    )
    trial = Fleet(scenario).run()
    assert trial.find_share(4, 12, "a-1", Distance.OTHER_REGION) > 0.25
    assert trial.find_share(4, 12, "a-2", Distance.OTHER_REGION) > 0.25
    for domain in ("b-1", "b-2", "c-1", "c-2"):
        assert trial.find_share(4, 12, domain) < 0.02
    assert trial.find_wait(begin=4.0) < 0.9


@pytest.mark.parametrize("servers", [2, 6])
def test_evacuated_load_is_spread_by_room(servers):
    """The neighbor in the region is as large as the others, or a third as large."""
    lost = {f"a-2.{n}": 0.0 for n in range(servers, 6)}
    scenario = Scenario(
        lambda domain, now: 0.09 * servers if domain == "a-2" else 0.55,
        lost=lost,
        evacuated={"a-1": (3.0, 9.0)},
        length=14.0,
        **SMALL_FLEET,
    )
    trial = Fleet(scenario).run()
    even_part = servers / (servers + 24)
    assert trial.find_part("a-2", 5, 9) < 1.3 * even_part
    assert trial.find_wait(begin=5.0) < 0.3
    assert trial.find_share(11, 14, "a-1") < 0.02


def test_domain_that_is_back_cold_takes_its_load_in_one_move():
    scenario = Scenario(
        lambda domain, now: 0.55,
        evacuated={"a-1": (2.0, 6.0)},
        cold=ColdPolicy(duration=3.0, rate=4.0, overrun=1.5, slack=5.0),
        length=16.0,
        **SMALL_FLEET,
    )
    trial = Fleet(scenario).run()
    for second in (6, 7, 8):
        assert trial.find_part("a-1", second, second + 1) < 0.1
    assert trial.find_part("a-1", 9, 11) < 1.5 / len(REGIONS)
    assert trial.find_share(13, 16, "a-1") < 0.02
    assert trial.count_turns("a-1", 0.2) <= 1
    assert trial.find_wait(begin=6.0) < 0.2
