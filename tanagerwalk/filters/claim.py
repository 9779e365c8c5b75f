"""Claims a non-idempotent request in the key-value service before it is sent."""

import asyncio
import uuid

import structlog
from expression import Error, Ok

from ..controllers.loop import poll_until
from ..decisions.claims import (
    Claim,
    ClaimPhase,
    ClaimRecord,
    evaluate_existing_claim,
    refuse_unavailable,
)
from ..messages import Sink
from ..outcomes import Refusal, RefusalReason, RunState
from ..writes import StoreFault

log = structlog.get_logger(__name__)

OK_STATUS = 200
CLAIM_PREFIX = "tanagerwalk/claims/"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
MAX_OPEN_CLAIMS = 2000
SETTLE_RETRY_S = 0.5
CLAIM_RETRY_S = 0.05
RELEASE_POLL_S = 0.02
MAX_RELEASE_WAIT_S = 3.0


class DetachableSink(Sink):
    """Passes pieces on until the caller has hung up; the run goes on without it.

    Parameters
    ----------
    sink : Sink
        The caller's.
    """

    def __init__(self, sink):
        self._sink = sink

    async def write(self, text):
        """Pass one piece on."""
        if self._sink is None:
            return
        try:
            await self._sink.write(text)
        except (asyncio.CancelledError, OSError):
            # The HTTP server raises CancelledError for a closed connection too.
            if asyncio.current_task().cancelling():
                raise
            self._sink = None


class ClaimFilter:
    """Lets a non-idempotent request through at most once on the whole fleet.

    Parameters
    ----------
    store : BatchingStore
        Holds the claims.
    retention : RetentionLease
        Ends the records of settled claims.
    incarnation : Incarnation
        Of this instance.
    list_live_incarnations : callable
        Returns the incarnations known to live, or None if not known.
    wall_clock : callable
        Returns seconds since the epoch.
    """

    def __init__(
        self, store, retention, incarnation, list_live_incarnations, wall_clock
    ):
        self._store = store
        self._retention = retention
        self._incarnation = incarnation
        self._list_live_incarnations = list_live_incarnations
        self._wall_clock = wall_clock
        self._tasks = set()
        self._open_claims = {}

    @property
    def open_count(self):
        """Claims of this instance that the store does not show as settled yet."""
        return len(self._open_claims)

    async def handle(self, context, proceed):
        """Claim, run, and record the answer; replay the answer of a resend."""
        if context.work_class.idempotent:
            return await proceed(context)
        refusal = _check_idempotency_key(context.idempotency_key)
        if refusal is not None:
            return Error(refusal)
        # The caller may hang up; the run and its record go on regardless.
        return await asyncio.shield(
            self._create_task(self._run_with_claim(context, proceed))
        )

    async def _run_with_claim(self, context, proceed):
        context.sink = DetachableSink(context.sink)
        key = f"{CLAIM_PREFIX}{context.account.name}/{context.idempotency_key}"
        await poll_until(
            lambda: not self._is_releasing(key), RELEASE_POLL_S, MAX_RELEASE_WAIT_S
        )
        if self._is_releasing(key):
            return Error(refuse_unavailable())
        open_claim = self._open_claims.get(key)
        if open_claim is not None:
            # Known without the store, so it holds during an outage as well.
            decision = evaluate_existing_claim(
                open_claim.record, context.fingerprint, None, 0.0
            )
            return await _deliver_decision(decision, context)
        if len(self._open_claims) >= MAX_OPEN_CLAIMS:
            return Error(refuse_unavailable())
        claim = self._open_claims[key] = self._make_claim(key, context)
        try:
            await self._write_claim(claim)
            if claim.phase is not ClaimPhase.RUNNING:
                return await _deliver_decision(claim.decision, context)
            context.claimed = True
            result = await _run_claimed(context, proceed)
            claim.finish(result)
            return result
        finally:
            self._create_task(self._settle_claim(claim))

    def _is_releasing(self, key):
        open_claim = self._open_claims.get(key)
        return open_claim is not None and open_claim.never_ran

    def _make_claim(self, key, context):
        nonce = uuid.uuid4().hex
        now = self._wall_clock()
        record = ClaimRecord(nonce, self._incarnation, context.fingerprint, now)
        return Claim(key, record)

    async def _write_claim(self, claim):
        while claim.decision is None:
            result = await self._store.write(claim.make_write())
            claim.record_write_result(
                result, self._list_live_incarnations(), self._wall_clock()
            )
            if result.is_error() and claim.decision is None:
                await asyncio.sleep(CLAIM_RETRY_S)

    async def _settle_claim(self, claim):
        """Write until the store shows how the claim ended."""
        if claim.phase is ClaimPhase.RUNNING:
            # The run itself was cancelled: nobody knows its outcome any more.
            return
        while claim.phase is not ClaimPhase.SETTLED:
            if not await self._write_settlement(claim):
                await asyncio.sleep(SETTLE_RETRY_S)
        del self._open_claims[claim.key]

    async def _write_settlement(self, claim):
        # Only the record of a settled claim ends with a lease.
        abandoning = claim.phase is ClaimPhase.ABANDONING
        lease = Ok(0) if abandoning else await self._retention.get()
        if lease.is_error():
            return False
        result = await self._store.write(claim.make_write(lease.ok))
        claim.record_write_result(
            result, self._list_live_incarnations(), self._wall_clock()
        )
        if result.is_error() and result.error is StoreFault.REJECTED:
            self._retention.forget()
        return result.is_ok()

    def _create_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def has_running_requests(self):
        """Return whether a claimed request may still be running."""
        return any(
            claim.decision is None or claim.phase is ClaimPhase.RUNNING
            for claim in self._open_claims.values()
        )

    async def drain(self, limit):
        """Wait until every claim is recorded or released.

        Parameters
        ----------
        limit : float
            Longest wait in seconds.

        Returns
        -------
        int
            Claims whose outcome the store does not show; others will take them
            for unresolved.
        """
        deadline = asyncio.get_running_loop().time() + limit
        while self._tasks:
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            await asyncio.wait(self._tasks, timeout=remaining)
        return len(self._open_claims)


async def _run_claimed(context, proceed):
    try:
        return await proceed(context)
    except Exception:
        # Whatever broke, the request may have been sent by then.
        refusal = Refusal(
            RefusalReason.BACKEND_FAILED,
            "the request was cut off by an internal error; it may have run",
            RunState.UNKNOWN,
        )
        log.exception("run of a claimed request failed", request=context.request_id)
        return Error(refusal)


async def _deliver_decision(decision, context):
    """Give the stored answer to a resend as if it had just been generated."""
    if decision.is_error():
        return decision
    answer = decision.ok
    context.usage = answer.usage
    if answer.version is not None and answer.status == OK_STATUS and answer.content:
        context.version = answer.version
        await context.sink.write(answer.content.decode())
    return Ok(answer)


def _check_idempotency_key(key):
    if not key:
        return Refusal(
            RefusalReason.IDEMPOTENCY_KEY_MISSING,
            "this class of work needs an Idempotency-Key header",
        )
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        return Refusal(
            RefusalReason.INVALID_REQUEST,
            "the idempotency key is longer than "
            f"{MAX_IDEMPOTENCY_KEY_LENGTH} characters",
        )
    return None
