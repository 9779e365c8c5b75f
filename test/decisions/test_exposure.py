"""The budget of unrated answers is never exceeded, whatever the order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tanagerwalk.decisions.exposure import (
    GRANT_LIFETIME_S,
    RECLAIM_AFTER_S,
    AbandonedGrantDetector,
    Exposure,
    Grant,
    HeldUnits,
    Ledger,
    decode_ledger,
    encode_ledger,
)

BUDGET = 3
LONGEST_ANSWER_S = 30.0
NAMES = st.sampled_from(["a", "b", "c"])


class Instance:
    """One instance with its running answers and those given but not rated yet."""

    def __init__(self):
        self.held_units = HeldUnits()
        self.detector = AbandonedGrantDetector()
        self.running = []
        self.given = []


class ExposureMachine(RuleBasedStateMachine):
    """Instances with a shared ledger that lose writes, crash and are replaced."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.value = encode_ledger(Ledger())
        self.instances = {}
        self.number = 0
        self.names = {}
        # Times at which answers were given that were not rated: lost, or their instance
        # crashed.
        self.unrated = []

    def get(self, slot):
        if slot not in self.names:
            self.number += 1
            self.names[slot] = f"{slot}{self.number}"
            self.instances[self.names[slot]] = Instance()
        name = self.names[slot]
        return name, self.instances[name]

    @rule(slot=NAMES, outcome=st.sampled_from(["ok", "ok", "lost", "refused"]))
    def resize_grant(self, slot, outcome):
        name, instance = self.get(slot)
        held = instance.held_units
        held.reclaim_lost(self.now)
        ledger = decode_ledger(self.value)
        dropped = instance.detector.find(ledger, LONGEST_ANSWER_S, self.now) - {name}
        ledger = ledger.drop(dropped)
        wanted = held.compute_grant_size(ledger, name, BUDGET, self.now)
        recorded = ledger.grants.get(name, Grant(0, 0)).units
        if not held.needs_write(wanted, recorded, self.now):
            return
        held.begin_write(wanted)
        if outcome == "refused":
            return
        self.value = encode_ledger(ledger.resize(name, wanted))
        if outcome == "ok":
            held.finish_write(wanted, self.now)

    @rule(slot=NAMES)
    def start(self, slot):
        _, instance = self.get(slot)
        if instance.held_units.start(self.now):
            instance.running.append((Exposure(instance.held_units), self.now))

    @rule(slot=NAMES)
    def give(self, slot):
        _, instance = self.get(slot)
        if not instance.running:
            return
        exposure, started = instance.running.pop(0)
        if self.now - started > LONGEST_ANSWER_S:
            exposure.end()
            return
        instance.given.append((exposure, self.now))

    @rule(slot=NAMES, outcome=st.sampled_from(["rated", "lost"]))
    def settle(self, slot, outcome):
        _, instance = self.get(slot)
        if not instance.given:
            return
        exposure, given = instance.given.pop(0)
        if outcome == "rated":
            exposure.end()
            return
        exposure.mark_lost(self.now)
        self.unrated.append(given)

    @rule(slot=NAMES, outcome=st.sampled_from(["rated", "lost", "lost"]))
    def answer(self, slot, outcome):
        self.start(slot)
        self.give(slot)
        self.settle(slot, outcome)

    @rule(slot=NAMES)
    def crash(self, slot):
        name, instance = self.get(slot)
        self.unrated.extend(given for _, given in instance.given)
        del self.instances[name]
        del self.names[slot]

    @rule(seconds=st.sampled_from([1.0, 20.0, GRANT_LIFETIME_S, 300.0, 800.0]))
    def wait(self, seconds):
        self.now += seconds
        for instance in self.instances.values():
            # The rating queue drops answers that are too old, and callers give up on
            # requests that take too long.
            for exposure, given in list(instance.given):
                if self.now - given > RECLAIM_AFTER_S:
                    exposure.mark_lost(self.now)
                    instance.given.remove((exposure, given))
            for exposure, started in list(instance.running):
                if self.now - started > LONGEST_ANSWER_S:
                    exposure.end()
                    instance.running.remove((exposure, started))

    @invariant()
    def unrated_answers_stay_within_the_budget(self):
        answers = [given for i in self.instances.values() for _, given in i.given]
        running = sum(len(i.running) for i in self.instances.values())
        recent = [t for t in answers + self.unrated if self.now - t <= RECLAIM_AFTER_S]
        assert len(recent) + running <= BUDGET

    @precondition(lambda self: self.instances)
    @invariant()
    def grants_stay_within_the_budget(self):
        grants = decode_ledger(self.value).grants.values()
        assert sum(grant.units for grant in grants) <= BUDGET


TestExposure = ExposureMachine.TestCase
TestExposure.settings = settings(max_examples=150, stateful_step_count=60)


def test_units_of_a_crashed_instance_are_reclaimed():
    ledger = Ledger({"dead": Grant(BUDGET, 3)})
    detector, held = AbandonedGrantDetector(), HeldUnits()
    limit = GRANT_LIFETIME_S + LONGEST_ANSWER_S + RECLAIM_AFTER_S
    assert not detector.find(ledger, LONGEST_ANSWER_S, 0.0)
    assert not detector.find(ledger, LONGEST_ANSWER_S, limit)
    held.has_free(2 * limit)
    abandoned = detector.find(ledger, LONGEST_ANSWER_S, 2 * limit)
    assert held.compute_grant_size(ledger, "live", BUDGET, 2 * limit) == 0
    assert (
        held.compute_grant_size(ledger.drop(abandoned), "live", BUDGET, 2 * limit) > 0
    )


def test_grant_that_is_not_renewed_is_not_spent():
    held = HeldUnits()
    held.finish_write(3, 0.0)
    assert held.start(1.0)
    assert not held.start(GRANT_LIFETIME_S)


def test_units_of_a_lost_shrinking_write_are_not_spent():
    held = HeldUnits()
    held.finish_write(3, 0.0)
    ledger = Ledger({"me": Grant(3, 1)})
    wanted = held.compute_grant_size(ledger, "me", BUDGET, 40.0)
    assert held.needs_write(wanted, 3, 40.0)
    held.begin_write(wanted)
    assert not held.start(41.0)
