"""Selection of the instances that report evidence, and the rate of their reports."""

from tanagerwalk.decisions.evidence import Arm
from tanagerwalk.decisions.reporters import (
    FLEET_REPORTS_PER_S,
    REPORTERS_PER_ARM,
    REPORTS_BURST,
    ReporterSelection,
    ReportRateLimit,
)

ARM = Arm("s", "plan", "m:1")


def find_reporters(live):
    return {name for name in live if ReporterSelection().includes(name, ARM, live)}


def test_every_instance_of_a_small_fleet_reports():
    live = frozenset(map(str, range(REPORTERS_PER_ARM)))
    assert find_reporters(live) == live
    assert ReporterSelection().includes("x", ARM, None)


def test_large_fleet_has_few_reporters_and_a_loss_replaces_one():
    live = frozenset(map(str, range(340)))
    before = find_reporters(live)
    after = find_reporters(live - {min(before)})
    assert len(before) == len(after) == REPORTERS_PER_ARM
    assert len(before & after) == REPORTERS_PER_ARM - 1


def test_choice_follows_the_list_of_instances():
    live = frozenset(map(str, range(40)))
    selection = ReporterSelection()
    chosen = {name for name in live if selection.includes(name, ARM, live)}
    rest = live - chosen
    assert {n for n in rest if selection.includes(n, ARM, rest)} == find_reporters(rest)


def test_reports_stay_within_the_rate_of_the_fleet():
    instances, seconds, made = 340, 600, 0
    budget = ReportRateLimit()
    for second in range(seconds):
        budget.refill(float(second), instances)
        while budget.take():
            made += 1
    assert made <= REPORTS_BURST + FLEET_REPORTS_PER_S * seconds / instances
