"""Halts: what halts a version, what clears a halt and which version is spared."""

import pytest

from tanagerwalk.decisions.cascades import (
    FaultAttribution,
    may_escalate,
    may_replan,
)
from tanagerwalk.decisions.evidence import Counts
from tanagerwalk.decisions.halts import ArmEvidence, Halt, evaluate_arm, hash_section
from tanagerwalk.decisions.version_rollouts import RolloutTracker
from tanagerwalk.declarations import parse_declaration
from tanagerwalk.messages import AttemptFailure
from tanagerwalk.outcomes import (
    HaltCause,
    Refusal,
    RefusalReason,
    RetryReason,
    RunState,
)

ALPHA = 0.01
TEXT = """
[class plan]
quality = 0.9
lateness = 10 s
[account desk]
key_sha256 = ab
classes = plan
versions = old
[version old]
state = released
cost = 1
evaluated = plan:0.95
[version twin]
state = released
cost = 1
evaluated = plan:0.93
[version new]
state = candidate
cost = 0.5
evaluated = plan:0.95
exposure = 8
replaces = old
"""
ONLY_OLD = frozenset(["old"])
OLD, TWIN, NEW = (("plan", name) for name in ("old", "twin", "new"))


def make_tracker(text=TEXT, name="i1"):
    tracker = RolloutTracker(name, ALPHA)
    tracker.configure(parse_declaration(text).ok)
    return tracker


def make_counts(ratings=(), attempts=0, errors=0, late=0):
    counts = Counts()
    for rating in ratings:
        counts.add_rating(rating, 0.9, 0.9)
    for number in range(attempts - errors):
        counts.add_answer(10, late=number < late)
    for _ in range(errors):
        counts.add_error()
    return counts


HEALTHY = make_counts(attempts=100)
CASES = [
    ("nothing seen", [], HEALTHY, False, None),
    ("good", [make_counts([0.95] * 99, 99)], HEALTHY, False, None),
    ("much worse", [make_counts([0.6] * 30, 30)], HEALTHY, False, HaltCause.RATINGS),
    (
        "turned bad",
        [make_counts([0.6] * 30, 30), make_counts([0.97] * 900, 900)],
        HEALTHY,
        True,
        HaltCause.RATINGS,
    ),
    ("errors", [make_counts([], 20, errors=10)], HEALTHY, False, HaltCause.ERRORS),
    ("slow", [make_counts([], 20, late=15)], HEALTHY, False, HaltCause.LATENESS),
    (
        "released fails alone",
        [make_counts([], 20, 10)],
        HEALTHY,
        True,
        HaltCause.ERRORS,
    ),
    ("released fails unseen", [make_counts([], 20, 10)], Counts(), True, None),
    (
        "all fail in an outage",
        [make_counts([], 40, 20)],
        make_counts([], 100, 50),
        True,
        None,
    ),
    ("all are late", [make_counts([], 40, 0, 20)], make_counts([], 90, 0, 45), 0, None),
]


@pytest.mark.parametrize(("name", "epochs", "others", "released", "cause"), CASES)
def test_evidence_leads_to_the_expected_halt(name, epochs, others, released, cause):
    halt = evaluate_arm(ArmEvidence(epochs, others, released), ALPHA)
    assert (halt.cause if halt else None) is cause


def test_only_a_changed_section_clears_a_halt():
    tracker = make_tracker()
    tracker.add_halt(tracker.get_arm(NEW), Halt(HaltCause.RATINGS, 0.5))
    tracker.configure(parse_declaration(TEXT.replace("cost = 1", "cost = 2")).ok)
    assert tracker.is_halted(NEW)
    tracker.configure(parse_declaration(TEXT.replace("cost = 0.5", "cost = 0.4")).ok)
    assert not tracker.is_halted(NEW)
    tracker.configure(parse_declaration(TEXT).ok)
    assert tracker.is_halted(NEW)


def test_halted_candidate_gets_no_exposure_unit():
    tracker = make_tracker()
    tracker.find_candidate_shares("plan", 0.0)
    tracker.held_units[tracker.get_arm(NEW)].finish_write(3, 0.0)
    assert tracker.find_candidate_shares("plan", 1.0) == {
        "new": tracker.compute_traffic_share(tracker.get_arm(NEW))
    }
    exposure = tracker.start_exposure(NEW, 1.0)
    exposure.end()
    tracker.add_halt(tracker.get_arm(NEW), Halt(HaltCause.RATINGS, 0.95))
    assert tracker.find_candidate_shares("plan", 1.0) == {}
    assert tracker.start_exposure(NEW, 1.0) is None


def test_evidence_before_a_changed_section_does_not_halt():
    tracker = make_tracker()
    for _ in range(50):
        tracker.record_rating(NEW, 0.3)
    tracker.configure(parse_declaration(TEXT.replace("cost = 0.5", "cost = 0.4")).ok)
    assert tracker.find_new_halts() == {}
    assert tracker.sum_evidence(*NEW).count == 50


def test_evidence_of_several_instances_adds_up():
    first, second = make_tracker(name="i1"), make_tracker(name="i2")
    for tracker in (first, second):
        while not tracker.find_new_halts():
            tracker.record_rating(NEW, 0.75)
    alone = first.sum_evidence(*NEW).count
    first, second = make_tracker(name="i1"), make_tracker(name="i2")
    for _ in range(alone // 2 + 1):
        first.record_rating(NEW, 0.75)
        second.record_rating(NEW, 0.75)
    assert not first.find_new_halts()
    for report in second.evidence.list_own("i2"):
        first.merge("i2", report)
    assert list(first.find_new_halts()) == [first.get_arm(NEW)]


SPARED = [
    ("one left", {OLD: 0.85}, {OLD}),
    ("best of all", {OLD: 0.85, TWIN: 0.8}, {TWIN}),
    ("none is tolerable", {OLD: 0.5, TWIN: 0.6}, {OLD, TWIN}),
    ("failing is no worse than a refusal", {OLD: 1.0, TWIN: 0.5}, {TWIN}),
    ("a candidate is never spared", {OLD: 0.5, TWIN: 0.5, NEW: 0.9}, {OLD, TWIN, NEW}),
]


@pytest.mark.parametrize(("name", "means", "halted"), SPARED)
def test_last_version_of_a_class_is_spared_if_tolerable(name, means, halted):
    for order in (list(means), list(reversed(means))):
        tracker = make_tracker()
        for key in order:
            tracker.add_halt(tracker.get_arm(key), Halt(HaltCause.RATINGS, means[key]))
        assert {key for key in (OLD, TWIN, NEW) if tracker.is_halted(key)} == halted


def test_account_without_another_version_keeps_a_tolerable_one():
    tracker = make_tracker()
    tracker.add_halt(tracker.get_arm(OLD), Halt(HaltCause.RATINGS, 0.85))
    assert tracker.is_halted(OLD)
    assert tracker.is_halted(OLD, frozenset(["old", "twin"]))
    assert not tracker.is_halted(OLD, ONLY_OLD)
    assert tracker.list_halted("plan", ONLY_OLD) == frozenset()
    assert tracker.spared == {OLD}


def test_section_hash_does_not_depend_on_order():
    text = TEXT.replace("[class plan]", "[class note]\nlateness = 1 s\n[class plan]")
    first = parse_declaration(text.replace("plan:0.95", "plan:0.95 note:0.9")).ok
    second = parse_declaration(text.replace("plan:0.95", "note:0.9 plan:0.95")).ok
    assert hash_section(first.versions["new"]) == hash_section(second.versions["new"])


REFUSALS = [
    (RefusalReason.VERSION_WITHDRAWN, RunState.NOT_RUN, True, True, True),
    (RefusalReason.EXPOSURE_SPENT, RunState.NOT_RUN, True, True, True),
    (RefusalReason.NO_BACKEND_SERVER, RunState.NOT_RUN, False, True, True),
    (RefusalReason.NO_BACKEND_SERVER, RunState.UNKNOWN, False, False, False),
    (RefusalReason.NO_BACKEND_SERVER, RunState.UNKNOWN, True, True, True),
    (RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, True, True, False),
    (RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, False, False, False),
    (RefusalReason.RETRY_BUDGET_SPENT, RunState.UNKNOWN, True, False, False),
    (RefusalReason.QUEUE_FULL, RunState.NOT_RUN, True, False, False),
    (RefusalReason.QUARANTINED, RunState.NOT_RUN, True, False, False),
]


@pytest.mark.parametrize(("reason", "state", "idempotent", "next", "replan"), REFUSALS)
def test_refusal_allows_escalation_or_a_new_plan(
    reason, state, idempotent, next, replan
):
    refusal = Refusal(reason, "", state)
    assert may_escalate(refusal, idempotent) is next
    assert may_replan(refusal, idempotent, uses_candidate=False) is replan
    assert may_replan(refusal, idempotent, uses_candidate=True) is next


FAILURES = [
    (RetryReason.SERVER_ERROR, True, 1.0, True),
    (RetryReason.SERVER_ERROR, False, 1.0, False),
    (RetryReason.CONNECT_FAILED, False, 1.0, False),
    (RetryReason.CONNECTION_LOST, True, 1.0, False),
    (RetryReason.SERVER_REFUSED, True, 1.0, False),
    (RetryReason.ATTEMPT_TIMEOUT, True, 1.0, False),
    (RetryReason.ATTEMPT_TIMEOUT, True, 10.0, True),
]


@pytest.mark.parametrize(("reason", "sent", "seconds", "expected"), FAILURES)
def test_failure_is_attributed(reason, sent, seconds, expected):
    failure = AttemptFailure(reason, sent, "s1")
    faults = FaultAttribution()
    assert faults.blames_version("m", failure, seconds, 10.0, 0.0) is expected


def test_streams_interrupted_by_one_crash_count_once():
    failure = AttemptFailure(RetryReason.INCOMPLETE_ANSWER, True, "s1", crashed=True)
    faults = FaultAttribution()
    blamed = [faults.blames_version("m", failure, 1.0, 9.0, t) for t in (0.0, 0.5, 20)]
    assert blamed == [True, False, True]
