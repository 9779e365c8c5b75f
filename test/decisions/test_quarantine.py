"""Quarantine: which requests are blamed, for how long, and how many."""

from dataclasses import replace

import pytest
from fleets import SETTINGS, make_record
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerwalk.decisions.quarantine import Quarantine, QuarantineState

LIFETIME_S = 100.0
CAPACITY = 4
BOUNDS = replace(SETTINGS.quarantine, lifetime=LIFETIME_S, capacity=CAPACITY)
DOMAIN_SIZE = 8


def crash(quarantine, name, now, fingerprint="f", domain="r1-a"):
    record = make_record(name, domain)
    return quarantine.record_crash(fingerprint, record, DOMAIN_SIZE, now)


@pytest.mark.parametrize(
    ("crashes", "asked_at", "state"),
    [
        ([], 0.0, QuarantineState.CLEAR),
        ([("s1", 0.0)], 1.0, QuarantineState.SUSPECT),
        ([("s1", 0.0), ("s1", 1.0)], 1.0, QuarantineState.SUSPECT),
        ([("s1", 0.0), ("s2", 1.0)], 1.0, QuarantineState.QUARANTINED),
        ([("s1", 0.0), ("s2", 50.0)], 149.0, QuarantineState.QUARANTINED),
        ([("s1", 0.0), ("s2", 50.0)], 151.0, QuarantineState.CLEAR),
        ([("s1", 0.0), ("s2", 101.0)], 102.0, QuarantineState.SUSPECT),
    ],
)
def test_quarantine_state(crashes, asked_at, state):
    quarantine = Quarantine(BOUNDS)
    for name, now in crashes:
        crash(quarantine, name, now)
    assert quarantine.get_state("f", asked_at) is state


def test_correlated_crashes_in_a_failure_domain_stop_further_blame():
    quarantine = Quarantine(BOUNDS)
    for number in range(DOMAIN_SIZE):
        crash(quarantine, f"s{number}", 0.1 * number, f"f{number}")
    suspects = [quarantine.get_state(f"f{n}", 1.0) for n in range(DOMAIN_SIZE)]
    assert suspects.count(QuarantineState.SUSPECT) <= DOMAIN_SIZE // 2
    assert QuarantineState.QUARANTINED not in suspects


# Guards against BUDGET: a request that crashes one server after the other in a small
# failure domain, which looks like a common cause.
@pytest.mark.parametrize("domain_size", range(1, 10))
def test_crashes_of_one_request_are_its_own_in_a_domain_of_any_size(domain_size):
    quarantine = Quarantine(BOUNDS)
    for number in range(BOUNDS.crashes):
        record = make_record(f"s{number}")
        quarantine.record_crash("f", record, domain_size, 0.1 * number)
    assert quarantine.get_state("f", 1.0) is QuarantineState.QUARANTINED


# Guards against BUDGET: two such requests, each of which looks like the other's excuse.
def test_two_requests_that_crash_servers_in_turn_are_both_quarantined():
    quarantine = Quarantine(replace(BOUNDS, crashes=3))
    for number in range(4):
        for offset, fingerprint in enumerate("fg"):
            record = make_record(f"{fingerprint}{number}")
            now = 0.3 * number + 0.1 * offset
            quarantine.record_crash(fingerprint, record, 6, now)
    assert quarantine.get_state("f", 2.0) is QuarantineState.QUARANTINED
    assert quarantine.get_state("g", 2.0) is QuarantineState.QUARANTINED


def test_request_that_was_answered_is_not_blamed_for_a_power_failure():
    quarantine = Quarantine(BOUNDS)
    quarantine.record_answer("f", 0.0)
    for number in range(3):
        quarantine.record_crash("f", make_record(f"s{number}"), 3, 1.0)
    assert quarantine.get_state("f", 1.0) is QuarantineState.CLEAR
    for number in range(3):
        quarantine.record_crash("f", make_record(f"t{number}"), 3, 12.0 + 3.0 * number)
    assert quarantine.get_state("f", 20.0) is QuarantineState.QUARANTINED


def test_answer_clears_a_suspect_but_not_a_quarantined_request():
    quarantine = Quarantine(BOUNDS)
    crash(quarantine, "s1", 0.0)
    quarantine.record_answer("f", 0.0)
    assert quarantine.get_state("f", 0.0) is QuarantineState.CLEAR
    quarantine.add_crashes("f", ("s1.1", "s2.1"), 0.0)
    quarantine.record_answer("f", 0.0)
    assert quarantine.get_state("f", 0.0) is QuarantineState.QUARANTINED


# Guards against BUDGET: records of single crashes, as a power failure leaves by the
# hundred, that crowd out the one of a request that is quarantined.
def test_records_with_the_fewest_crashes_go_first():
    quarantine = Quarantine(BOUNDS)
    for number in range(BOUNDS.crashes):
        crash(quarantine, f"s{number}", 3.0 * number)
    for number in range(10 * CAPACITY):
        crash(quarantine, f"t{number}", 10.0 + 3.0 * number, f"f{number}")
    assert len(quarantine) == CAPACITY
    assert quarantine.get_state("f", 50.0) is QuarantineState.QUARANTINED


class QuarantineMachine(RuleBasedStateMachine):
    """Two instances that share crashes; the records and crashes kept are bounded."""

    def __init__(self):
        super().__init__()
        self.quarantines = [Quarantine(BOUNDS), Quarantine(BOUNDS)]
        self.now = 0.0

    @rule(
        at=st.integers(0, 1),
        fingerprint=st.sampled_from("abcdefgh"),
        name=st.sampled_from(("s1", "s2", "s3")),
        domain=st.sampled_from(("r1-a", "r2-a")),
    )
    def crash(self, at, fingerprint, name, domain):
        known = crash(self.quarantines[at], name, self.now, fingerprint, domain)
        if known is None:
            return
        merged = self.quarantines[1 - at].add_crashes(fingerprint, known, self.now)
        assert len(merged) <= BOUNDS.crashes
        assert len(merged) >= len(known)

    @rule(seconds=st.sampled_from((1.0, 30.0, 150.0)))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def record_count_is_bounded(self):
        assert all(len(each) <= CAPACITY for each in self.quarantines)


TestQuarantineMachine = QuarantineMachine.TestCase
