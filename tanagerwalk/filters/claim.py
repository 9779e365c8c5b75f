"""Claims that keep non-idempotent requests from running more than once."""

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
    """Forwards text to the caller until it disconnects, then discards the text.

    The request itself continues after a disconnect.

    Parameters
    ----------
    sink : Sink
        Sink of the caller.
    """

    def __init__(self, sink):
        self._sink = sink

    async def write(self, text):
        """Forward one piece of text unless the caller has disconnected."""
        if self._sink is None:
            return
        try:
            await self._sink.write(text)
        except (asyncio.CancelledError, OSError):
            # The HTTP server raises CancelledError for a closed connection too, so
            # propagate it only if this task is being cancelled.
            if asyncio.current_task().cancelling():
                raise
            self._sink = None


class ClaimFilter:
    """Runs a non-idempotent request at most once across all instances.

    The request is claimed under its idempotency key in the key-value service before it
    is sent.

    Parameters
    ----------
    store : BatchingStore
        Stores the claim records.
    retention : RetentionLease
        Supplies the lease that deletes the records of finished and released claims.
    incarnation : Incarnation
        Incarnation of this instance.
    list_live_incarnations : callable
        Returns the incarnations of the live instances, or None if unknown.
    wall_clock : callable
        Returns wall-clock time in seconds since the epoch.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self, store, retention, incarnation, list_live_incarnations, wall_clock, clock
    ):
        self._store = store
        self._retention = retention
        self._incarnation = incarnation
        self._list_live_incarnations = list_live_incarnations
        self._wall_clock = wall_clock
        self._clock = clock
        self._tasks = set()
        self._open_claims = {}

    @property
    def open_count(self):
        """Number of claims of this instance that are not yet settled in the store."""
        return len(self._open_claims)

    async def handle(self, context, proceed):
        """Claim and run the request, or replay the stored answer to a resend."""
        if context.work_class.idempotent:
            return await proceed(context)
        refusal = _check_idempotency_key(context.idempotency_key)
        if refusal is not None:
            return Error(refusal)
        # The request and the record of its outcome must complete even if the caller
        # disconnects.
        return await asyncio.shield(
            self._create_task(self._run_with_claim(context, proceed))
        )

    async def _run_with_claim(self, context, proceed):
        context.sink = DetachableSink(context.sink)
        key = f"{CLAIM_PREFIX}{context.account.name}/{context.idempotency_key}"
        max_wait = min(MAX_RELEASE_WAIT_S, context.deadline - self._clock())
        await poll_until(lambda: not self._is_releasing(key), RELEASE_POLL_S, max_wait)
        if self._is_releasing(key):
            return Error(refuse_unavailable())
        open_claim = self._open_claims.get(key)
        if open_claim is not None:
            # Decided from memory, so resends are recognised during a store outage too.
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
        """Write until the outcome of the claim is recorded in the store."""
        if claim.phase is ClaimPhase.CLAIMING:
            # A cancellation or an error came before the result of the write.
            claim.abandon()
        if claim.phase is ClaimPhase.RUNNING:
            # The run was cancelled, so its outcome is unknown.
            claim.finish(Error(_refuse_cut_off("by a cancellation")))
        while claim.phase is not ClaimPhase.SETTLED:
            if not await self._write_settlement(claim):
                await asyncio.sleep(SETTLE_RETRY_S)
        del self._open_claims[claim.key]

    async def _write_settlement(self, claim):
        # Only the records of settled claims are attached to a lease.
        abandoning = claim.phase is ClaimPhase.ABANDONING
        lease = Ok(0) if abandoning else await self._retention.get()
        if lease.is_error():
            return False
        result = await self._store.write(claim.make_write(lease.ok))
        claim.record_write_result(
            result, self._list_live_incarnations(), self._wall_clock()
        )
        if result.is_error() and result.error is StoreFault.REJECTED:
            self._retention.invalidate()
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
            Maximum wait in seconds.

        Returns
        -------
        int
            Number of claims whose outcome is not recorded in the store. Other instances
            will treat them as unresolved.
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
        # The request may have been sent before the error.
        log.exception("run of a claimed request failed", request=context.request_id)
        return Error(_refuse_cut_off("by an internal error"))


def _refuse_cut_off(cause):
    return Refusal(
        RefusalReason.BACKEND_FAILED,
        f"the request was cut off {cause}; it may have run",
        RunState.UNKNOWN,
    )


async def _deliver_decision(decision, context):
    """Write a stored answer to the caller as if it had just been generated."""
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
