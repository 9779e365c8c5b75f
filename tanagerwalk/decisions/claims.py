"""Claims on non-idempotent requests: at most one instance ever sends one."""

from enum import Enum

import msgspec
from expression import Error, Ok

from ..ids import Fingerprint, Incarnation
from ..outcomes import Refusal, RefusalReason, RunState

RETRY_AFTER_RUNNING_S = 2.0
RETRY_AFTER_OUTAGE_S = 5.0


class ClaimState(Enum):
    """What the claim record says about the request."""

    CLAIMED = "claimed"
    FINISHED = "finished"


class ClaimRecord(msgspec.Struct, frozen=True):
    """The claim as the key-value service holds it.

    Parameters
    ----------
    nonce : str
        Chosen by the claiming instance; tells its own write from another's.
    holder : Incarnation
        The claiming instance.
    fingerprint : Fingerprint
        Of the request, so that a key is not reused for other work.
    state : ClaimState
        Whether the answer is known.
    status : int
        HTTP status of the answer, if finished.
    content : bytes
        Body of the answer, if finished.
    content_type : str
        Media type of the answer, if finished.
    """

    nonce: str
    holder: Incarnation
    fingerprint: Fingerprint
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content: bytes = b""
    content_type: str = ""


def judge_existing(existing, own_nonce, fingerprint, live_incarnations):
    """Decide what a claim that is already in the store means for a request.

    Parameters
    ----------
    existing : ClaimRecord
        The claim found.
    own_nonce : str
        Nonce of the claim that this instance tried to create.
    fingerprint : Fingerprint
        Of the request at hand.
    live_incarnations : frozenset of Incarnation or None
        Instances known to live; None if that is not known.

    Returns
    -------
    Result of ClaimRecord, or of Refusal
        The own claim (state `CLAIMED`), the stored answer (state `FINISHED`), or
        the refusal. It never allows a second run.
    """
    if existing.fingerprint != fingerprint:
        return Error(
            Refusal(
                RefusalReason.IDEMPOTENCY_KEY_REUSED,
                "the idempotency key was used for another request",
            )
        )
    if existing.nonce == own_nonce or existing.state is ClaimState.FINISHED:
        return Ok(existing)
    if live_incarnations is not None and existing.holder not in live_incarnations:
        return Error(
            Refusal(
                RefusalReason.CLAIM_UNRESOLVED,
                "an earlier run of this request was cut off; it may have run",
                RunState.UNKNOWN,
            )
        )
    return Error(
        Refusal(
            RefusalReason.CLAIM_RUNNING,
            "the same request is running",
            RunState.UNKNOWN,
            RETRY_AFTER_RUNNING_S,
        )
    )


def refuse_unavailable():
    """Return the refusal for a claim that could not be confirmed."""
    return Refusal(
        RefusalReason.CLAIM_UNAVAILABLE,
        "the platform's key-value service does not confirm the claim",
        retry_after=RETRY_AFTER_OUTAGE_S,
    )
