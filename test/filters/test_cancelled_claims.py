"""Claims cut off while written or run, and requests that wait for a release."""

import asyncio
import time

import pytest
from expression import Error, Ok
from stores import StoreModel

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.claims import ClaimRecord, ClaimState
from tanagerwalk.declarations import ClientAccount, WorkClass
from tanagerwalk.documents import decode_json
from tanagerwalk.filters.claim import MAX_RELEASE_WAIT_S, ClaimFilter
from tanagerwalk.messages import Answer, RequestContext
from tanagerwalk.outcomes import Interface, RefusalReason
from tanagerwalk.writes import StoreFault, WriteOutcome

WAIT_S = 2.0


class Store:
    """Applies every write, or none while there is an outage."""

    def __init__(self):
        self.records = []
        self.outage = False

    async def write(self, write):
        if self.outage:
            return Error(StoreFault.UNKNOWN)
        self.records.append(decode_json(write.value, ClaimRecord).ok)
        return Ok(WriteOutcome(True, len(self.records)))


class Retention:
    """Supplies one lease."""

    async def get(self):
        return Ok(7)


class InterruptedStore:
    """Interrupts its first write, before or after it takes effect."""

    def __init__(self, interrupt, is_applied):
        self.model = StoreModel()
        self._interrupt = interrupt
        self._is_applied = is_applied

    async def write(self, write):
        await asyncio.sleep(0)
        interrupt, self._interrupt = self._interrupt, None
        if interrupt is None or self._is_applied:
            result = self.model.send(write)
        if interrupt is not None:
            raise interrupt
        return result


def build_filter(store=None):
    store = store or Store()
    claims = ClaimFilter(
        store, Retention(), "a.1", lambda: None, time.time, time.monotonic
    )
    return claims, store


def build_context(patience=1.0):
    context = RequestContext("r1", {}, "", "booking", Interface.SERVICE)
    context.work_class = WorkClass(
        "booking", Interface.SERVICE, 0, 1, patience, 0, False
    )
    context.account = ClientAccount("desk", "", frozenset(), frozenset())
    context.idempotency_key = "slot-1"
    context.fingerprint = "f"
    context.deadline = time.monotonic() + patience
    return context


async def cancel_run(context):
    del context
    raise asyncio.CancelledError


# Guards against a claim that stays open, and is counted, until the process ends.
async def test_claim_whose_run_is_cancelled_is_recorded_as_unresolved():
    claims, store = build_filter()
    with pytest.raises(asyncio.CancelledError):
        await claims.handle(build_context(), cancel_run)
    assert await poll_until(lambda: not claims.open_count, 0.02, WAIT_S)
    assert store.records[-1].state is ClaimState.UNRESOLVED
    assert not claims.has_running_requests()


# Guards against a settlement that acquires the claim and never ends.
@pytest.mark.parametrize("interrupt", [asyncio.CancelledError, RuntimeError])
@pytest.mark.parametrize("is_applied", [False, True])
async def test_claim_whose_write_is_interrupted_may_run_later(interrupt, is_applied):
    claims, store = build_filter(InterruptedStore(interrupt, is_applied))
    runs = []

    async def run(context):
        runs.append(context)
        return Ok(Answer(200, b""))

    with pytest.raises(interrupt):
        await claims.handle(build_context(), run)
    assert not runs
    assert await poll_until(lambda: not claims.open_count, 0.02, WAIT_S)
    assert not claims.has_running_requests()
    (entry,) = store.model.entries.values()
    assert decode_json(entry.value, ClaimRecord).ok.state is ClaimState.RELEASED
    result = await claims.handle(build_context(), run)
    assert result.is_ok()
    assert len(runs) == 1


async def test_wait_for_a_release_ends_at_the_deadline():
    claims, store = build_filter()
    context = build_context()
    key = f"tanagerwalk/claims/desk/{context.idempotency_key}"
    claims._open_claims[key] = claims._make_claim(key, context)
    claims._is_releasing = lambda key: True
    started = time.monotonic()
    result = await claims.handle(build_context(patience=0.1), cancel_run)
    assert result.error.reason is RefusalReason.CLAIM_UNAVAILABLE
    assert time.monotonic() - started < MAX_RELEASE_WAIT_S / 2
    assert not store.records
