"""Conditions of a roll-out whose new servers are cold."""

import random
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.cold_servers import ColdPolicy
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.decisions.tallies import StartCount
from tanagerwalk.gateway.release_conditions import ReleaseConditions
from tanagerwalk.registry import RegisteredServer, RolloutOrder, ServerState

ORDER = RolloutOrder("desk", "v2", 20.0, 7)
POLICY = ColdPolicy(duration=4.0, rate=8.0, overrun=1.5, slack=5.0)
NOW = 10.0


def build_server(number, domain, release):
    address = ("10.0.0.1", 80 + number)
    state = ServerState.READY
    return RegisteredServer(
        f"desk-{number}", "desk", address, domain, release, 8, state, born=1
    )


def read_conditions(cold_domains):
    """Return the RoutingConditions of an instance without a part of any limit."""
    home = Home("a-1", "a", {"a-1": "a", "a-2": "a"})
    pool = ServerPool(home, SharedLoadTable(), PathTable(), random.Random(1))
    pool.limits.cold.find_policy = lambda service: POLICY
    pool.limits.begin_settling()
    base, target = build_server(0, "a-1", "v1"), build_server(1, "a-2", "v2")
    pool.replace_servers([base, target])
    pool.mark_cold(cold_domains, NOW)
    rollouts = SimpleNamespace(
        find_progress=lambda order, now: 0.2,
        count_starts=lambda order: StartCount(0, 100),
    )
    freshness = SimpleNamespace(age=0.1)
    conditions = ReleaseConditions(rollouts, pool, freshness, lambda: NOW)
    return conditions.read(ORDER)


# Guards against new sessions that are refused at the target while the base has room.
@pytest.mark.parametrize(
    ("cold_domains", "has_target"),
    [(set(), True), ({"a-2"}, False), ({"a-1"}, True), ({"a-1", "a-2"}, True)],
)
def test_target_that_takes_no_request_is_not_chosen_for_new_ones(
    cold_domains, has_target
):
    assert read_conditions(cold_domains).has_target is has_target
