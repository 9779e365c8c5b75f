"""Quarantine: who is blamed, for how long, and in what number."""

from dataclasses import replace

import pytest
from fleets import SETTINGS, make_record
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerwalk.decisions.quarantine import Quarantine, Standing

LIFETIME_S = 100.0
CAPACITY = 4
BOUNDS = replace(SETTINGS.quarantine, lifetime=LIFETIME_S, capacity=CAPACITY)
DOMAIN_SIZE = 8


def crash(quarantine, name, now, fingerprint="f", domain="r1-a"):
    record = make_record(name, domain)
    return quarantine.record_crash(fingerprint, record, DOMAIN_SIZE, now)


@pytest.mark.parametrize(
    ("crashes", "asked_at", "standing"),
    [
        ([], 0.0, Standing.CLEAR),
        ([("s1", 0.0)], 1.0, Standing.SUSPECT),
        ([("s1", 0.0), ("s1", 1.0)], 1.0, Standing.SUSPECT),
        ([("s1", 0.0), ("s2", 1.0)], 1.0, Standing.QUARANTINED),
        ([("s1", 0.0), ("s2", 50.0)], 149.0, Standing.QUARANTINED),
        ([("s1", 0.0), ("s2", 50.0)], 151.0, Standing.CLEAR),
        ([("s1", 0.0), ("s2", 101.0)], 102.0, Standing.SUSPECT),
    ],
)
def test_standing(crashes, asked_at, standing):
    quarantine = Quarantine(BOUNDS)
    for name, now in crashes:
        crash(quarantine, name, now)
    assert quarantine.judge("f", asked_at) is standing


def test_failure_domain_that_goes_down_together_blames_nobody_more():
    quarantine = Quarantine(BOUNDS)
    for number in range(DOMAIN_SIZE):
        crash(quarantine, f"s{number}", 0.1 * number, f"f{number}")
    suspects = [quarantine.judge(f"f{n}", 1.0) for n in range(DOMAIN_SIZE)]
    assert suspects.count(Standing.SUSPECT) <= DOMAIN_SIZE // 2
    assert Standing.QUARANTINED not in suspects


def test_suspect_that_is_answered_clears_itself_but_a_quarantined_one_does_not():
    quarantine = Quarantine(BOUNDS)
    crash(quarantine, "s1", 0.0)
    quarantine.clear("f")
    assert quarantine.judge("f", 0.0) is Standing.CLEAR
    quarantine.take_blame("f", ("s1.1", "s2.1"), 0.0)
    quarantine.clear("f")
    assert quarantine.judge("f", 0.0) is Standing.QUARANTINED


class QuarantineMachine(RuleBasedStateMachine):
    """Two instances that tell each other end with the same, bounded, blame."""

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
        told = self.quarantines[1 - at].take_blame(fingerprint, known, self.now)
        assert len(told) <= BOUNDS.crashes
        assert len(told) >= len(known)

    @rule(seconds=st.sampled_from((1.0, 30.0, 150.0)))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def number_is_bounded(self):
        assert all(len(each) <= CAPACITY for each in self.quarantines)


TestQuarantineMachine = QuarantineMachine.TestCase
