"""Claims that let at most one submission per idempotency key run.

A claim is stored under one key of the key-value store. The key starts absent, is
written as `CLAIMED` and then as `FINISHED`, `UNRESOLVED` or `RELEASED`; a released
key may be claimed again. Each write is conditional on the key's revision and none
deletes the key, so a write whose response was lost cannot take effect after a later
write was confirmed.
"""

from enum import Enum

import msgspec
from expression import Error, Ok

from ..documents import decode_json
from ..ids import Fingerprint, Incarnation, VersionName
from ..messages import Answer, Usage
from ..outcomes import Refusal, RefusalReason, RunState
from ..writes import ABSENT, StoreFault, Write

RETRY_AFTER_RUNNING_S = 2.0
RETRY_AFTER_OUTAGE_S = 5.0
MAX_CLAIM_WRITES = 3
MAX_STORED_ANSWER = 256 * 1024
LISTING_LAG_S = 30.0


class ClaimState(Enum):
    """State of the request according to the claim record."""

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"
    UNRESOLVED = "unresolved"


class ClaimRecord(msgspec.Struct, frozen=True):
    """The claim as stored in the key-value service.

    Parameters
    ----------
    nonce : str
        Chosen by the claiming submission to recognise its own write.
    holder : Incarnation
        The claiming instance.
    fingerprint : Fingerprint
        Fingerprint of the request, to detect reuse of a key for another request.
    claimed_at : float
        Wall-clock time of the claim, in seconds since the epoch.
    state : ClaimState
        Last known state of the request.
    answer : Answer or None
        The answer, if the request finished and the answer is not too large.
    """

    nonce: str
    holder: Incarnation
    fingerprint: Fingerprint
    claimed_at: float = 0.0
    state: ClaimState = ClaimState.CLAIMED
    answer: "StoredAnswer | None" = None


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer as stored in the claim record; see `Answer` for the fields."""

    status: int
    content: bytes
    content_type: str
    version: VersionName | None
    prompt_tokens: int
    completion_tokens: int
    finish_reason: str

    def replay(self):
        """Return the Answer to a repeated submission."""
        return Answer(
            self.status,
            self.content,
            self.content_type,
            self.version,
            Usage(self.prompt_tokens, self.completion_tokens),
            self.finish_reason,
            replayed=True,
        )


class ClaimPhase(Enum):
    """Progress of one submission through its claim."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ABANDONING = "abandoning"
    SETTLING = "settling"
    SETTLED = "settled"


class Claim:
    """The claim of one submission, as a state machine without I/O.

    While `phase` is neither `RUNNING` nor `SETTLED`, perform the write that
    `make_write` returns and pass its result to `record_write_result`. Once `decision`
    is set, the caller can be answered before the remaining writes complete.

    Parameters
    ----------
    key : str
        Key of the claim in the store.
    record : ClaimRecord
        Record to write; its nonce is unique to this submission.

    Attributes
    ----------
    decision : Result of Answer or None, or of Refusal; or None
        None while claiming, `Ok(None)` to run the request, `Ok(Answer)` to replay a
        stored answer.
    """

    def __init__(self, key, record):
        self.key = key
        self.record = record
        self.phase = ClaimPhase.CLAIMING
        self.decision = None
        self._revision = ABSENT
        self._writes = 0
        self._in_doubt = False

    @property
    def never_ran(self):
        """Whether this submission was refused as not run and releases its claim."""
        is_released = self.record.state is ClaimState.RELEASED
        return self.phase is ClaimPhase.ABANDONING or is_released

    def make_write(self, lease=0):
        """Return the next write.

        Parameters
        ----------
        lease : int
            Retention lease that deletes the record of a finished or released request.
        """
        value = msgspec.json.encode(self.record)
        is_permanent = self.record.state in (ClaimState.CLAIMED, ClaimState.UNRESOLVED)
        return Write(self.key, value, self._revision, 0 if is_permanent else lease)

    def record_write_result(self, result, live_incarnations=None, now=0.0):
        """Process the result of the last write.

        Parameters
        ----------
        result : Result of WriteOutcome, or of StoreFault
            Result of the write.
        live_incarnations : frozenset of Incarnation or None
            Live instances; None if unknown.
        now : float
            Wall-clock time in seconds since the epoch.
        """
        if self.phase is ClaimPhase.SETTLING:
            self._record_settle_result(result)
        elif result.is_error():
            self._record_fault(result.error)
        else:
            self._record_claim_result(result.ok, live_incarnations, now)

    def _record_settle_result(self, result):
        # No other submission writes the key in this phase, so a failed condition means
        # that an earlier attempt of the same write took effect.
        if result.is_ok():
            self.phase = ClaimPhase.SETTLED

    def _record_fault(self, fault):
        self._in_doubt = self._in_doubt or fault is StoreFault.UNKNOWN
        if self.phase is ClaimPhase.ABANDONING:
            return
        self._writes += 1
        if fault is StoreFault.UNKNOWN and self._writes < MAX_CLAIM_WRITES:
            return
        self._refuse(refuse_unavailable())

    def _refuse(self, refusal):
        self.decision = Error(refusal)
        in_doubt = self._in_doubt
        self.phase = ClaimPhase.ABANDONING if in_doubt else ClaimPhase.SETTLED

    def _record_claim_result(self, outcome, live_incarnations, now):
        if outcome.applied:
            self._acquire(outcome.revision)
            return
        entry = outcome.existing
        existing = None
        if entry is not None:
            decoded = decode_json(entry.value, ClaimRecord)
            if decoded.is_error():
                # Of another writer, and so no write of ours.
                self._in_doubt = False
                self._refuse(refuse_unavailable())
                return
            existing = decoded.ok
        if existing and existing.nonce == self.record.nonce:
            self._acquire(entry.revision)
            return
        # Another submission holds the key, so none of our earlier writes can apply.
        self._in_doubt = False
        if self.phase is ClaimPhase.ABANDONING:
            self.phase = ClaimPhase.SETTLED
            return
        if existing is None or existing.state is ClaimState.RELEASED:
            self._claim_released(entry.revision if entry else ABSENT)
            return
        self.decision = evaluate_existing_claim(
            existing, self.record.fingerprint, live_incarnations, now
        )
        self.phase = ClaimPhase.SETTLED

    def _claim_released(self, revision):
        self._revision = revision
        self._writes += 1
        if self._writes >= MAX_CLAIM_WRITES:
            self._refuse(refuse_unavailable())

    def _acquire(self, revision):
        self._revision = revision
        if self.phase is ClaimPhase.ABANDONING:
            self._settle(ClaimState.RELEASED)
            return
        self.phase = ClaimPhase.RUNNING
        self.decision = Ok(None)

    def abandon(self):
        """Give up claiming; the request has not run.

        The last write may take effect, so the claim has yet to be released.
        """
        if self.phase is not ClaimPhase.CLAIMING:
            raise AssertionError(
                f"cannot abandon claim {self.key} in phase {self.phase.value}"
            )
        self._in_doubt = True
        self._refuse(refuse_unavailable())

    def finish(self, result):
        """Record the outcome of the run, which determines the claim's final state.

        Parameters
        ----------
        result : Result of Answer, or of Refusal
            Outcome of the run. A refusal releases the claim only if its run state is
            `NOT_RUN`.
        """
        if self.phase is not ClaimPhase.RUNNING:
            raise AssertionError(
                f"cannot finish claim {self.key} in phase {self.phase.value}"
            )
        if result.is_ok():
            self._settle(ClaimState.FINISHED, _build_stored_answer(result.ok))
        elif result.error.run_state is RunState.NOT_RUN:
            self._settle(ClaimState.RELEASED)
        else:
            self._settle(ClaimState.UNRESOLVED)

    def _settle(self, state, answer=None):
        self.record = msgspec.structs.replace(self.record, state=state, answer=answer)
        self.phase = ClaimPhase.SETTLING


def _build_stored_answer(answer):
    if len(answer.content) > MAX_STORED_ANSWER:
        return None
    return StoredAnswer(
        answer.status,
        answer.content,
        answer.content_type,
        answer.version,
        answer.usage.prompt_tokens,
        answer.usage.completion_tokens,
        answer.finish_reason,
    )


def evaluate_existing_claim(existing, fingerprint, live_incarnations, now):
    """Return the answer or refusal that another submission's claim implies.

    Parameters
    ----------
    existing : ClaimRecord
        The claim found in the store.
    fingerprint : Fingerprint
        Fingerprint of the new request.
    live_incarnations : frozenset of Incarnation or None
        Live instances; None if unknown. The list lags, so a missing holder counts as
        gone only if the claim is at least `LISTING_LAG_S` old.
    now : float
        Wall-clock time in seconds since the epoch.

    Returns
    -------
    Result of Answer, or of Refusal
        The stored answer or a refusal; never permission to run.
    """
    if existing.state is ClaimState.RELEASED:
        return _refuse_running()
    if existing.fingerprint != fingerprint:
        return Error(
            Refusal(
                RefusalReason.IDEMPOTENCY_KEY_REUSED,
                "the idempotency key was used for another request",
            )
        )
    if existing.state is ClaimState.FINISHED:
        return _replay_answer(existing)
    is_listing_current = now - existing.claimed_at >= LISTING_LAG_S
    is_listed = live_incarnations is None or existing.holder in live_incarnations
    if existing.state is ClaimState.UNRESOLVED or (
        is_listing_current and not is_listed
    ):
        return Error(
            Refusal(
                RefusalReason.CLAIM_UNRESOLVED,
                "an earlier run of this request was cut off; it may have run",
                RunState.UNKNOWN,
            )
        )
    return _refuse_running()


def _replay_answer(existing):
    if existing.answer is not None:
        return Ok(existing.answer.replay())
    return Error(
        Refusal(
            RefusalReason.ANSWER_NOT_KEPT,
            "the request ran and its answer was too large to be kept",
            RunState.RAN,
        )
    )


def _refuse_running():
    return Error(
        Refusal(
            RefusalReason.CLAIM_RUNNING,
            "the same request is running",
            RunState.UNKNOWN,
            RETRY_AFTER_RUNNING_S,
        )
    )


def refuse_unavailable():
    """Return the refusal for a claim that the store did not confirm."""
    return Refusal(
        RefusalReason.CLAIM_UNAVAILABLE,
        "this submission was not run: the platform's key-value service does not "
        "confirm its claim",
        retry_after=RETRY_AFTER_OUTAGE_S,
    )
