"""Claims of several instances with crashes, pauses, and lost and late writes."""

import pytest
from expression import Error, Ok
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from stores import Delivery, StoreModel

from tanagerwalk.decisions.claims import (
    LISTING_LAG_S,
    MAX_STORED_ANSWER,
    Claim,
    ClaimPhase,
    ClaimRecord,
    ClaimState,
    evaluate_existing_claim,
)
from tanagerwalk.ids import Fingerprint, Incarnation
from tanagerwalk.messages import Answer
from tanagerwalk.outcomes import Refusal, RefusalReason, RunState

KEY = "claims/desk/slot-1"
FATES = st.sampled_from([Delivery.ANSWERED, *Delivery])
INDEXES = st.integers(0, 3)
MAX_OPEN = 3
MAX_CRASHES = 1


class ModeledSubmission:
    """One submission of the key to one of the instances."""

    def __init__(self, number):
        nonce = f"nonce-{number}"
        holder = Incarnation(f"entry-{number % 3}.1")
        record = ClaimRecord(nonce, holder, Fingerprint("f"))
        self.number = number
        self.claim = Claim(KEY, record)
        self.reported = None


class ClaimsMachine(RuleBasedStateMachine):
    """Interleaves steps of submissions; a paused submission takes no steps."""

    def __init__(self):
        super().__init__()
        self.store = StoreModel()
        self.submissions = []
        # Numbers of the submissions whose request ran.
        self.effects = []
        self.finished = {}
        self.crashed = 0

    @precondition(lambda self: self._count(_is_open) < MAX_OPEN)
    @rule()
    def submit(self):
        self.submissions.append(ModeledSubmission(len(self.submissions) + self.crashed))

    @precondition(lambda self: self._count(_has_pending_write))
    @rule(index=INDEXES, fate=FATES)
    def write(self, index, fate):
        self._write(self._pick(index, _has_pending_write), fate)

    @precondition(lambda self: self._count(_is_claiming))
    @rule(index=INDEXES, fate=FATES)
    def interrupt_write(self, index, fate):
        chosen = self._pick(index, _is_claiming)
        self.store.send(chosen.claim.make_write(lease=7), fate)
        chosen.claim.abandon()
        self._report(chosen)

    @precondition(lambda self: self._count(_is_running))
    @rule(index=INDEXES, result=st.sampled_from(["answer", "refused", "unknown"]))
    def run(self, index, result):
        self._run(self._pick(index, _is_running), result)

    @precondition(lambda self: self.store.delayed)
    @rule(index=INDEXES)
    def apply_late(self, index):
        self.store.apply_delayed(index)

    @precondition(lambda self: self._count(_is_open) and self.crashed < MAX_CRASHES)
    @rule(index=INDEXES)
    def crash(self, index):
        chosen = self._pick(index, _is_open)
        self.submissions.remove(chosen)
        self.crashed += 1
        if _is_running(chosen) and index % 2:
            self.effects.append(chosen.number)

    def _pick(self, index, condition):
        eligible = [each for each in self.submissions if condition(each)]
        return eligible[index % len(eligible)]

    def _count(self, condition):
        return sum(1 for each in self.submissions if condition(each))

    def _write(self, submission, fate):
        claim = submission.claim
        claim.record_write_result(self.store.send(claim.make_write(lease=7), fate))
        if claim.decision is not None and submission.reported is None:
            self._report(submission)

    def _report(self, submission):
        decision = submission.claim.decision
        if decision.is_ok() and decision.ok is None:
            return
        submission.reported = decision
        if decision.is_ok():
            assert decision.ok.content == self.finished[KEY]

    def _run(self, submission, kind):
        if kind == "refused":
            result = Error(Refusal(RefusalReason.QUEUE_FULL, "full"))
        else:
            self.effects.append(submission.number)
            result = Error(Refusal(RefusalReason.BACKEND_FAILED, "", RunState.UNKNOWN))
        if kind == "answer":
            self.finished[KEY] = f"answer {submission.number}".encode()
            result = Ok(Answer(200, self.finished[KEY]))
        submission.claim.finish(result)
        submission.reported = result

    @invariant()
    def at_most_one_effect(self):
        assert len(self.effects) <= 1

    @invariant()
    def not_run_is_never_wrong(self):
        for submission in self.submissions:
            reported = submission.reported
            if reported is None or reported.is_ok():
                continue
            if reported.error.run_state is RunState.NOT_RUN:
                assert submission.number not in self.effects

    def _settle(self, submission):
        while submission.claim.phase is not ClaimPhase.SETTLED:
            if _is_running(submission):
                self._run(submission, "refused")
            if _has_pending_write(submission):
                self._write(submission, Delivery.ANSWERED)

    def teardown(self):
        """After faults, the key is free again unless a submission ran or crashed."""
        while self.store.delayed:
            self.store.apply_delayed(0)
        for submission in self.submissions:
            self._settle(submission)
        self.at_most_one_effect()
        if not self.effects and not self.crashed:
            last = ModeledSubmission(99)
            while last.claim.decision is None:
                self._write(last, Delivery.ANSWERED)
            assert last.claim.decision == Ok(None)


def _is_open(submission):
    return submission.claim.phase is not ClaimPhase.SETTLED


def _is_claiming(submission):
    return submission.claim.phase is ClaimPhase.CLAIMING


def _is_running(submission):
    return submission.claim.phase is ClaimPhase.RUNNING


def _has_pending_write(submission):
    phase = submission.claim.phase
    return phase not in (ClaimPhase.RUNNING, ClaimPhase.SETTLED)


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=300, stateful_step_count=40)


def make_record(state, **more):
    holder = Incarnation("entry-1.1")
    return ClaimRecord("n", holder, Fingerprint("f"), 100.0, state, **more)


@pytest.mark.parametrize(
    ("state", "age", "live", "reason"),
    [
        (ClaimState.CLAIMED, 1.0, frozenset(), RefusalReason.CLAIM_RUNNING),
        (ClaimState.CLAIMED, LISTING_LAG_S, None, RefusalReason.CLAIM_RUNNING),
        (
            ClaimState.CLAIMED,
            LISTING_LAG_S,
            frozenset(["entry-1.1"]),
            RefusalReason.CLAIM_RUNNING,
        ),
        (
            ClaimState.CLAIMED,
            LISTING_LAG_S,
            frozenset(["entry-2.1"]),
            RefusalReason.CLAIM_UNRESOLVED,
        ),
        (ClaimState.UNRESOLVED, 0.0, None, RefusalReason.CLAIM_UNRESOLVED),
        (ClaimState.FINISHED, 0.0, None, RefusalReason.ANSWER_NOT_KEPT),
        (ClaimState.RELEASED, 0.0, None, RefusalReason.CLAIM_RUNNING),
    ],
)
def test_existing_claim_is_refused(state, age, live, reason):
    decision = evaluate_existing_claim(
        make_record(state), Fingerprint("f"), live, 100.0 + age
    )
    assert decision.error.reason is reason
    assert decision.error.run_state is not RunState.NOT_RUN


def test_key_reused_for_another_request_is_refused():
    record = make_record(ClaimState.CLAIMED)
    decision = evaluate_existing_claim(record, Fingerprint("g"), None, 0.0)
    assert decision.error.reason is RefusalReason.IDEMPOTENCY_KEY_REUSED


@pytest.mark.parametrize("size", [0, 1, MAX_STORED_ANSWER, MAX_STORED_ANSWER + 1])
def test_answer_is_replayed_unchanged_or_not_at_all(size):
    store = StoreModel()
    first, second = ModeledSubmission(1).claim, ModeledSubmission(2).claim
    first.record_write_result(store.send(first.make_write()))
    content = b"x" * size
    answer = Answer(201, content, "text/plain", "wren:1", finish_reason="length")
    first.finish(Ok(answer))
    first.record_write_result(store.send(first.make_write()))
    second.record_write_result(store.send(second.make_write()))
    if size > MAX_STORED_ANSWER:
        assert second.decision.error.reason is RefusalReason.ANSWER_NOT_KEPT
        assert second.decision.error.run_state is RunState.RAN
        return
    replayed = second.decision.ok
    assert replayed.replayed
    assert (replayed.status, replayed.content) == (201, content)
    assert (replayed.version, replayed.finish_reason) == ("wren:1", "length")


@pytest.mark.parametrize(
    ("result", "has_lease"),
    [
        (Ok(Answer(200, b"")), True),
        (Error(Refusal(RefusalReason.QUEUE_FULL, "")), True),
        (Error(Refusal(RefusalReason.BACKEND_FAILED, "", RunState.UNKNOWN)), False),
    ],
)
def test_only_settled_claims_end_with_the_retention_lease(result, has_lease):
    claim = ModeledSubmission(1).claim
    assert claim.make_write(lease=7).lease == 0
    claim.record_write_result(StoreModel().send(claim.make_write()))
    claim.finish(result)
    assert (claim.make_write(lease=7).lease == 7) is has_lease


@pytest.mark.parametrize(
    "fate", [Delivery.DELAYED, Delivery.ANSWER_LOST, Delivery.LOST]
)
@pytest.mark.parametrize(
    "last", [Delivery.LOST, Delivery.NOT_SENT, Delivery.ANSWER_LOST]
)
def test_claim_in_doubt_is_released_whenever_its_write_takes_effect(fate, last):
    store = StoreModel()
    submission = ModeledSubmission(1)
    claim = submission.claim
    fates = [fate]
    while claim.decision is None:
        claim.record_write_result(
            store.send(claim.make_write(), fates.pop() if fates else last)
        )
    assert claim.decision.error.run_state is RunState.NOT_RUN
    while claim.phase is not ClaimPhase.SETTLED:
        claim.record_write_result(store.send(claim.make_write()))
    while store.delayed:
        store.apply_delayed(0)
    resend = ModeledSubmission(2).claim
    while resend.decision is None:
        resend.record_write_result(store.send(resend.make_write()))
    assert resend.decision == Ok(None)
