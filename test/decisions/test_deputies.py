"""Which instances gather evidence, and how much of it they state."""

from tanagerwalk.decisions.deputies import (
    DEPUTIES,
    FLEET_STATEMENTS_PER_S,
    STATEMENTS_BURST,
    Deputies,
    StatementBudget,
)
from tanagerwalk.decisions.evidence import Arm

ARM = Arm("s", "plan", "m:1")


def find_deputies(live):
    return {name for name in live if Deputies().includes(name, ARM, live)}


def test_every_instance_of_a_small_fleet_gathers():
    live = frozenset(map(str, range(DEPUTIES)))
    assert find_deputies(live) == live
    assert Deputies().includes("x", ARM, None)


def test_a_large_fleet_has_few_deputies_and_a_loss_moves_one():
    live = frozenset(map(str, range(340)))
    before = find_deputies(live)
    after = find_deputies(live - {min(before)})
    assert len(before) == len(after) == DEPUTIES
    assert len(before & after) == DEPUTIES - 1


def test_choice_follows_the_list_of_instances():
    live = frozenset(map(str, range(40)))
    deputies = Deputies()
    chosen = {name for name in live if deputies.includes(name, ARM, live)}
    rest = live - chosen
    assert {n for n in rest if deputies.includes(n, ARM, rest)} == find_deputies(rest)


def test_statements_stay_within_the_rate_of_the_fleet():
    instances, seconds, made = 340, 600, 0
    budget = StatementBudget()
    for second in range(seconds):
        budget.refill(float(second), instances)
        while budget.take():
            made += 1
    assert made <= STATEMENTS_BURST + FLEET_STATEMENTS_PER_S * seconds / instances
