"""Shares that leave a failure domain, for each objective and when views differ."""

import pytest
from spillover_fleet import Fleet, Scenario

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
