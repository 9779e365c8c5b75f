"""Keeps bills safe until the key-value service has them."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec
import structlog

from ..decisions.bills import BatchId, Bill
from ..writes import ABSENT, Write
from .loop import run_periodically

log = structlog.get_logger(__name__)

BILL_PREFIX = "tanagerwalk/bills/"
FLUSH_RETRY_S = 0.2
STORE_LIMIT_S = 0.5
STOP_GRACE_S = 5.0
LATE_S = 60.0
MAX_BATCH = 1000
MAX_HANDOVERS = 4
MAX_FLUSHED = 200
MAX_UNWRITTEN = 100_000


@dataclass(slots=True)
class _OwnBatch:
    """A batch of this instance that the store has not confirmed."""

    batch_id: BatchId
    bills: bytes
    count: int
    formed_at: float
    holders: list[str] = field(default_factory=list)


class BillingController:
    """Copies bills to peers at once, and to the store in create-only batches.

    A batch has the same key and content whoever writes it, so that a repeated
    write changes nothing.

    Parameters
    ----------
    store : BatchingStore
        Takes the batches.
    copies : BillCopies
        Has peers keep copies.
    incarnation : Incarnation
        Of this instance; makes the keys unique.
    interval : float
        Mean time between two writes to the store, in seconds.
    metrics : Metrics
        Counters.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, copies, incarnation, interval, metrics, random):
        self._store = store
        self._copies = copies
        self._incarnation = incarnation
        self._interval = interval
        self._metrics = metrics
        self._random = random
        self._gathering = []
        self._unwritten = {}
        self._sequence = 0
        self._handovers = set()

    @property
    def is_full(self):
        """Whether no more bills can be kept, so that no more work may be done."""
        return self.count_unwritten() >= MAX_UNWRITTEN

    async def record(self, bill):
        """Take a bill, and return once it is as safe as it can be made now."""
        future = asyncio.get_running_loop().create_future()
        self._gathering.append((bill, future))
        self._pump()
        await future

    def _pump(self):
        while self._gathering and len(self._handovers) < MAX_HANDOVERS:
            taken = self._gathering[:MAX_BATCH]
            del self._gathering[:MAX_BATCH]
            batch = self._form_batch([bill for bill, _ in taken])
            futures = [future for _, future in taken]
            task = asyncio.get_running_loop().create_task(self._secure(batch, futures))
            self._handovers.add(task)
            task.add_done_callback(self._finish_handover)

    def _finish_handover(self, task):
        self._handovers.discard(task)
        self._pump()

    def _form_batch(self, bills):
        batch_id = BatchId(self._incarnation, self._sequence)
        content = msgspec.json.encode(bills)
        batch = _OwnBatch(batch_id, content, len(bills), time.monotonic())
        self._unwritten[self._sequence] = batch
        self._sequence += 1
        return batch

    async def _secure(self, batch, futures):
        try:
            batch.holders = await self._copies.spread([(batch.batch_id, batch.bills)])
            if not batch.holders:
                await self._write_alone(batch)
        finally:
            for future in futures:
                if not future.done():
                    future.set_result(None)

    async def _write_alone(self, batch):
        """Without any peer, only the store makes the bills safe."""
        try:
            async with asyncio.timeout(STORE_LIMIT_S):
                await self._write([batch])
        except TimeoutError:
            self._metrics.platform_faults.labels("keyvalue").inc()
        if batch.batch_id.sequence in self._unwritten:
            self._metrics.bills_at_risk.inc(batch.count)
            log.error("bills are held by this instance alone", count=batch.count)

    async def run(self):
        """Flush until cancelled."""
        await run_periodically(self.flush, self._interval, self._random)

    async def flush(self):
        """Write all batches; return whether nothing is left to write."""
        batches = list(self._unwritten.values())
        for start in range(0, len(batches), MAX_FLUSHED):
            if await self._write(batches[start : start + MAX_FLUSHED]):
                continue
            self._metrics.platform_faults.labels("keyvalue").inc()
            self._warn_if_late()
            await self._copy_again()
            break
        return not self._unwritten and not self._gathering

    async def _write(self, batches):
        """Return whether the store took all of them."""
        results = await asyncio.gather(
            *(
                self._store.write(make_batch_write(batch.batch_id, batch.bills))
                for batch in batches
            )
        )
        written = [b for b, r in zip(batches, results, strict=True) if r.is_ok()]
        for batch in written:
            self._unwritten.pop(batch.batch_id.sequence, None)
        await self._drop_copies(written)
        return len(written) == len(batches)

    async def _drop_copies(self, batches):
        by_holder = defaultdict(list)
        for batch in batches:
            for address in batch.holders:
                by_holder[address].append(batch.batch_id)
        await asyncio.gather(
            *(self._copies.drop(address, ids) for address, ids in by_holder.items())
        )

    async def _copy_again(self):
        """Give the batches that no peer holds to peers, if there are any now."""
        alone = [batch for batch in self._unwritten.values() if not batch.holders]
        alone = alone[:MAX_FLUSHED]
        if not alone:
            return
        holders = await self._copies.spread([(b.batch_id, b.bills) for b in alone])
        for batch in alone:
            batch.holders = holders

    def _warn_if_late(self):
        oldest = min(batch.formed_at for batch in self._unwritten.values())
        if time.monotonic() - oldest >= LATE_S:
            log.error("bills not written for long", count=self.count_unwritten())

    async def flush_all(self, limit):
        """Flush at a planned stop.

        Returns when the store has everything; with the store out, once peers hold
        everything and a grace has passed, and after `limit` seconds at the latest.

        Parameters
        ----------
        limit : float
            Longest time in seconds.
        """
        started = time.monotonic()
        while not await self.flush():
            waited = time.monotonic() - started
            copied = not self._gathering and all(
                batch.holders for batch in self._unwritten.values()
            )
            if waited >= limit or (copied and waited >= STOP_GRACE_S):
                log.error(
                    "bills not written", count=self.count_unwritten(), at_peers=copied
                )
                return
            await asyncio.sleep(min(FLUSH_RETRY_S, limit - waited))

    def count_unwritten(self):
        """Return the number of bills that the store has not confirmed."""
        batched = sum(batch.count for batch in self._unwritten.values())
        return batched + len(self._gathering)


def make_batch_write(batch_id, bills):
    """Return the create-only write of a batch, the same for any writer.

    Parameters
    ----------
    batch_id : BatchId
        Names the batch.
    bills : bytes
        The bills in JSON.
    """
    key = f"{BILL_PREFIX}{batch_id.incarnation}/{batch_id.sequence:08d}"
    return Write(key, bills, ABSENT)


async def read_bills(store):
    """Read all bills of the store.

    Parameters
    ----------
    store : KeyValueClient
        The store.

    Returns
    -------
    Result of list of Bill, or of StoreFault
    """
    listed = await store.list(BILL_PREFIX)
    return listed.map(
        lambda entries: [
            bill
            for entry in entries
            for bill in msgspec.json.decode(entry.value, type=list[Bill])
        ]
    )
