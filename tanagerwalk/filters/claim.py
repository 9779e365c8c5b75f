"""Claims a non-idempotent request in the key-value service before it is sent."""

import asyncio
import uuid

import msgspec
import structlog
from expression import Error, Ok

from ..clients.keyvalue import StoreFault
from ..decisions.claims import (
    ClaimRecord,
    ClaimState,
    judge_existing,
    refuse_unavailable,
)
from ..messages import Answer
from ..outcomes import Refusal, RefusalReason, RunState

log = structlog.get_logger(__name__)

CLAIM_PREFIX = "tanagerwalk/claims/"
MAX_STORED_ANSWER = 256 * 1024
CLEANUP_INTERVAL_S = 1.0


class ClaimFilter:
    """Lets a non-idempotent request through at most once on the whole fleet.

    Parameters
    ----------
    store : KeyValueClient
        Holds the claims.
    incarnation : Incarnation
        Of this instance.
    list_live : callable
        Returns the incarnations known to live, or None if not known.
    """

    def __init__(self, store, incarnation, list_live):
        self._store = store
        self._incarnation = incarnation
        self._list_live = list_live
        self._tasks = set()

    async def handle(self, context, proceed):
        """Claim, run, and record the answer; replay the answer of a resend."""
        if context.work_class.idempotent:
            return await proceed(context)
        if not context.idempotency_key:
            return Error(
                Refusal(
                    RefusalReason.IDEMPOTENCY_KEY_MISSING,
                    "this class of work needs an Idempotency-Key header",
                )
            )
        # The caller may hang up; the run and its record go on regardless.
        return await asyncio.shield(self._spawn(self._run(context, proceed)))

    async def _run(self, context, proceed):
        key = f"{CLAIM_PREFIX}{context.account.name}/{context.idempotency_key}"
        nonce = uuid.uuid4().hex
        record = ClaimRecord(nonce, self._incarnation, context.fingerprint)
        claimed = await self._claim(key, record)
        if claimed.is_error():
            return claimed
        existing, revision = claimed.ok
        if existing.state is ClaimState.FINISHED:
            return Ok(_replay(existing))
        result = await proceed(context)
        if result.is_error() and result.error.run_state is RunState.NOT_RUN:
            self._spawn(self._release(key, revision))
            return result
        if result.is_ok():
            finished = _finish(record, result.ok)
            self._spawn(self._record(key, finished, revision))
        return result

    async def _claim(self, key, record):
        """Return the claim in force and its revision, or a refusal."""
        created = await self._store.create(key, msgspec.json.encode(record))
        if created.is_error():
            return await self._resolve_claim(key, record, created.error)
        if created.ok.applied:
            return Ok((record, created.ok.revision))
        return self._judge(created.ok.existing, record)

    def _judge(self, entry, record):
        if entry is None:
            return Error(refuse_unavailable())
        existing = msgspec.json.decode(entry.value, type=ClaimRecord)
        judged = judge_existing(
            existing, record.nonce, record.fingerprint, self._list_live()
        )
        return judged.map(lambda claim: (claim, entry.revision))

    async def _resolve_claim(self, key, record, fault):
        """Find out whether a write whose answer was lost took effect."""
        if fault is StoreFault.NOT_APPLIED:
            return Error(refuse_unavailable())
        found = await self._store.get(key)
        if found.is_ok() and found.ok is not None:
            return self._judge(found.ok, record)
        # The write may still take effect later, so the claim must be cleaned up.
        self._spawn(self._clean_up(key, record))
        return Error(refuse_unavailable())

    async def _clean_up(self, key, record):
        """Delete the own claim once the store shows it."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            found = await self._store.get(key)
            if found.is_error():
                continue
            if found.ok is None:
                return
            existing = msgspec.json.decode(found.ok.value, type=ClaimRecord)
            if existing.nonce != record.nonce:
                return
            deleted = await self._store.delete(key, found.ok.revision)
            if deleted.is_ok():
                return

    async def _release(self, key, revision):
        await self._repeat(lambda: self._store.delete(key, revision))

    async def _record(self, key, record, revision):
        value = msgspec.json.encode(record)
        await self._repeat(lambda: self._store.replace(key, value, revision))

    async def _repeat(self, write):
        while True:
            result = await write()
            if result.is_ok():
                return
            await asyncio.sleep(CLEANUP_INTERVAL_S)

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def drain(self, limit):
        """Wait until every claim is recorded or released.

        Parameters
        ----------
        limit : float
            Longest wait in seconds.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit)


def _finish(record, answer):
    content = answer.content if len(answer.content) <= MAX_STORED_ANSWER else b""
    return msgspec.structs.replace(
        record,
        state=ClaimState.FINISHED,
        status=answer.status,
        content=content,
        content_type=answer.content_type,
    )


def _replay(record):
    return Answer(record.status, record.content, record.content_type, replayed=True)
