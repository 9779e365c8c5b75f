"""Claims on non-idempotent requests: at most one submission of a key ever runs.

A claim is one key of the store. It goes from absent to `CLAIMED` and from there to
`FINISHED`, `UNRESOLVED` or `RELEASED`; a released key may be claimed again. Each
step is conditional on the key's revision, and no step deletes the key, so a write
whose answer was lost can never take effect after a later step was confirmed.
"""

import dataclasses
from enum import Enum

import msgspec
from expression import Error, Ok

from ..ids import Fingerprint, Incarnation, VersionName
from ..messages import Answer, Usage
from ..outcomes import Refusal, RefusalReason, RunState
from ..writes import ABSENT, StoreFault, Write

RETRY_AFTER_RUNNING_S = 2.0
RETRY_AFTER_OUTAGE_S = 5.0
MAX_CLAIM_WRITES = 3
MAX_STORED_ANSWER = 256 * 1024
LISTING_LAG_S = 30.0


# These hold for every submission of a request alike.
SUBMISSION_INDEPENDENT_REASONS = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.IDEMPOTENCY_KEY_MISSING,
        RefusalReason.IDEMPOTENCY_KEY_REUSED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """One sending of a request, as far as earlier ones matter.

    Parameters
    ----------
    idempotency_key : str or None
        Ties the submissions of one request together.
    first : bool
        Whether the caller says that it sends the key for the first time.
    claimed : bool
        Whether this submission held the claim, which no earlier one can have used.
    idempotent : bool
        Whether the class of work is known to be idempotent.
    """

    idempotency_key: str | None
    first: bool = False
    claimed: bool = False
    idempotent: bool = False

    @property
    def rules_out_earlier_run(self):
        """Whether no earlier submission can have run."""
        if not self.idempotency_key or self.idempotent:
            return True
        return self.first or self.claimed


class ClaimState(Enum):
    """What the claim record says about the request."""

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"
    UNRESOLVED = "unresolved"


class ClaimRecord(msgspec.Struct, frozen=True):
    """The claim as the key-value service holds it.

    Parameters
    ----------
    nonce : str
        Chosen by the claiming submission; tells its own write from another's.
    holder : Incarnation
        The claiming instance.
    fingerprint : Fingerprint
        Of the request, so that a key is not reused for other work.
    claimed_at : float
        Wall-clock time of the claim, in seconds since the epoch.
    state : ClaimState
        How far the request is known to have got.
    answer : Answer or None
        The answer, if finished and not too large to be kept.
    """

    nonce: str
    holder: Incarnation
    fingerprint: Fingerprint
    claimed_at: float = 0.0
    state: ClaimState = ClaimState.CLAIMED
    answer: "StoredAnswer | None" = None


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer as the claim record keeps it; see `Answer` for the fields."""

    status: int
    content: bytes
    content_type: str
    version: VersionName | None
    prompt_tokens: int
    completion_tokens: int
    finish_reason: str

    def replay(self):
        """Return the Answer for a resend."""
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
    """How far one submission's handling of its claim got."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ABANDONING = "abandoning"
    SETTLING = "settling"
    SETTLED = "settled"


class Claim:
    """The claim of one submission, as a state machine without I/O.

    While `phase` is neither `RUNNING` nor `SETTLED`, make the write that
    `make_write` returns and pass its result to `record_write_result`. Once `decision`
    is set, the caller's answer need not wait for the writes that follow.

    Parameters
    ----------
    key : str
        Key of the claim in the store.
    record : ClaimRecord
        What to claim with; its nonce is used by this submission only.

    Attributes
    ----------
    decision : Result of Answer or None, or of Refusal; or None
        None while claiming; `Ok(None)` to run the request, `Ok(Answer)` to replay.
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
        """Whether this submission was refused as not run and has yet to settle."""
        is_released = self.record.state is ClaimState.RELEASED
        return self.phase is ClaimPhase.ABANDONING or is_released

    def make_write(self, lease=0):
        """Return the next write.

        Parameters
        ----------
        lease : int
            Lease that ends the record of a request that needs no more care.
        """
        value = msgspec.json.encode(self.record)
        is_permanent = self.record.state in (ClaimState.CLAIMED, ClaimState.UNRESOLVED)
        return Write(self.key, value, self._revision, 0 if is_permanent else lease)

    def record_write_result(self, result, live_incarnations=None, now=0.0):
        """Take the result of the last write.

        Parameters
        ----------
        result : Result of WriteOutcome, or of StoreFault
            What came of it.
        live_incarnations : frozenset of Incarnation or None
            Instances known to live; None if that is not known.
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
        # Only this submission writes the key now: if the condition failed, an
        # earlier try of the same write took effect.
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
        existing = entry and msgspec.json.decode(entry.value, type=ClaimRecord)
        if existing and existing.nonce == self.record.nonce:
            self._acquire(entry.revision)
            return
        # The key shows another's claim, so no earlier write of ours can apply now.
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

    def finish(self, result):
        """Take the outcome of the run, which decides how the claim ends.

        Parameters
        ----------
        result : Result of Answer, or of Refusal
            The claim is released only if the refusal says that nothing ran.
        """
        if self.phase is not ClaimPhase.RUNNING:
            raise AssertionError(f"claim {self.key} is {self.phase.value}")
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
    """Decide what another submission's claim means for a request.

    Parameters
    ----------
    existing : ClaimRecord
        The claim found.
    fingerprint : Fingerprint
        Of the request at hand.
    live_incarnations : frozenset of Incarnation or None
        Instances known to live; None if that is not known. The list lags, so an
        instance that is not on it counts as gone only for claims of some age.
    now : float
        Wall-clock time in seconds since the epoch.

    Returns
    -------
    Result of Answer, or of Refusal
        The stored answer or the refusal. It never allows a run.
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


def correct_run_state(refusal, submission):
    """Take back a "not run" that may be untrue of an earlier submission.

    A refusal that was decided without a look at the claim knows only of the
    submission at hand. If the caller sent the same idempotency key before, that
    one may have run.

    Parameters
    ----------
    refusal : Refusal
        The refusal as decided.
    submission : Submission
        What is known of the request.

    Returns
    -------
    Refusal
    """
    if refusal.run_state is not RunState.NOT_RUN or submission.rules_out_earlier_run:
        return refusal
    if refusal.reason in SUBMISSION_INDEPENDENT_REASONS:
        return refusal
    return dataclasses.replace(refusal, run_state=RunState.UNKNOWN)


def refuse_unavailable():
    """Return the refusal for a claim that could not be confirmed."""
    return Refusal(
        RefusalReason.CLAIM_UNAVAILABLE,
        "this submission was not run: the platform's key-value service does not "
        "confirm its claim",
        retry_after=RETRY_AFTER_OUTAGE_S,
    )
