"""Replicates bills to peers and writes them to the key-value service."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec
import structlog

from ..decisions.bills import BatchId, Bill
from ..documents import decode_json
from ..writes import ABSENT, Write
from .loop import run_periodically

log = structlog.get_logger(__name__)

BILL_PREFIX = "tanagerwalk/bills/"
FLUSH_RETRY_INTERVAL_S = 0.2
STORE_TIMEOUT_S = 0.5
STOP_GRACE_PERIOD_S = 5.0
OVERDUE_AGE_S = 60.0
MAX_BILLS_PER_BATCH = 1000
MAX_CONCURRENT_REPLICATIONS = 4
MAX_CONCURRENT_BATCHES = 200
MAX_UNWRITTEN_BILLS = 100_000


@dataclass(slots=True)
class _UnwrittenBatch:
    """A batch of this instance whose write the store has not confirmed."""

    batch_id: BatchId
    bills: bytes
    count: int
    created_at: float
    holders: set[str] = field(default_factory=set)


class BillingController:
    """Copies bills to peers immediately and writes them to the store in batches.

    The write of a batch is create-only, and its key and content are the same for
    every writer, so repeating a write has no effect.

    Parameters
    ----------
    store : BatchingStore
        Stores the batches.
    replicator : BillReplicator
        Stores copies of batches on peers.
    incarnation : Incarnation
        Incarnation of this instance; makes the batch keys unique.
    interval : float
        Mean time between two flushes to the store, in seconds.
    metrics : Metrics
        Counters.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, replicator, incarnation, interval, metrics, random):
        self._store = store
        self._replicator = replicator
        self._incarnation = incarnation
        self._interval = interval
        self._metrics = metrics
        self._random = random
        self._pending = []
        self._unwritten_batches = {}
        self._sequence = 0
        self._replications = set()

    @property
    def is_full(self):
        """Whether the buffer of bills is full, so that new work must be refused."""
        return self.count_unwritten() >= MAX_UNWRITTEN_BILLS

    async def record(self, bill):
        """Add a bill and wait until its batch is copied to peers.

        Without a peer, waits for a write to the store; returns also if that fails
        or times out.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append((bill, future))
        self._start_replications()
        await future

    def _start_replications(self):
        while self._pending and len(self._replications) < MAX_CONCURRENT_REPLICATIONS:
            selected = self._pending[:MAX_BILLS_PER_BATCH]
            del self._pending[:MAX_BILLS_PER_BATCH]
            batch = self._create_batch([bill for bill, _ in selected])
            futures = [future for _, future in selected]
            task = asyncio.get_running_loop().create_task(
                self._replicate(batch, futures)
            )
            self._replications.add(task)
            task.add_done_callback(self._finish_replication)

    def _finish_replication(self, task):
        self._replications.discard(task)
        self._start_replications()

    def _create_batch(self, bills):
        batch_id = BatchId(self._incarnation, self._sequence)
        content = msgspec.json.encode(bills)
        batch = _UnwrittenBatch(batch_id, content, len(bills), time.monotonic())
        self._unwritten_batches[self._sequence] = batch
        self._sequence += 1
        return batch

    async def _replicate(self, batch, futures):
        try:
            await self._copy_to_peers([batch])
            if not batch.holders and self._is_unwritten(batch):
                await self._write_without_peers(batch)
        finally:
            for future in futures:
                if not future.done():
                    future.set_result(None)

    async def _copy_to_peers(self, batches):
        """Copy batches to peers and record the holders.

        An error is logged and adds none.
        """
        try:
            holders = await self._replicator.replicate(
                [(batch.batch_id, batch.bills) for batch in batches]
            )
        except Exception:
            # The bills still have to reach the store before the answers end.
            log.exception("copying of bills failed", batches=len(batches))
            return
        for batch in batches:
            batch.holders.update(holders)
        # A flush that wrote a batch meanwhile did not know these holders, so drop
        # theirs.
        await self._drop_copies([b for b in batches if not self._is_unwritten(b)])

    def _is_unwritten(self, batch):
        return batch.batch_id.sequence in self._unwritten_batches

    async def _write_without_peers(self, batch):
        """Write a batch to the store at once because no peer holds a copy."""
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await self._write([batch])
        except TimeoutError:
            self._metrics.platform_faults.labels("keyvalue").inc()
        if self._is_unwritten(batch):
            self._metrics.bills_at_risk.inc(batch.count)
            log.error(
                "bills are confirmed neither by a peer nor by the store",
                count=batch.count,
            )

    async def run(self):
        """Flush periodically until cancelled."""
        await run_periodically(self.flush, self._interval, self._random)

    async def flush(self):
        """Write all batches; return whether no bills are left to write."""
        batches = list(self._unwritten_batches.values())
        for start in range(0, len(batches), MAX_CONCURRENT_BATCHES):
            if await self._write(batches[start : start + MAX_CONCURRENT_BATCHES]):
                continue
            self._metrics.platform_faults.labels("keyvalue").inc()
            self._log_if_overdue()
            await self._retry_replication()
            break
        return not self._unwritten_batches and not self._pending

    async def _write(self, batches):
        """Write batches; return whether the store confirmed all of them."""
        results = await asyncio.gather(
            *(
                self._store.write(make_batch_write(batch.batch_id, batch.bills))
                for batch in batches
            )
        )
        written = [b for b, r in zip(batches, results, strict=True) if r.is_ok()]
        for batch in written:
            self._unwritten_batches.pop(batch.batch_id.sequence, None)
        await self._drop_copies(written)
        return len(written) == len(batches)

    async def _drop_copies(self, batches):
        by_holder = defaultdict(list)
        for batch in batches:
            for address in batch.holders:
                by_holder[address].append(batch.batch_id)
        await asyncio.gather(
            *(self._replicator.drop(address, ids) for address, ids in by_holder.items())
        )

    async def _retry_replication(self):
        """Try again to copy the batches that no peer holds."""
        unreplicated = [
            batch for batch in self._unwritten_batches.values() if not batch.holders
        ]
        unreplicated = unreplicated[:MAX_CONCURRENT_BATCHES]
        if unreplicated:
            await self._copy_to_peers(unreplicated)

    def _log_if_overdue(self):
        oldest = min(batch.created_at for batch in self._unwritten_batches.values())
        if time.monotonic() - oldest >= OVERDUE_AGE_S:
            log.error("bills are overdue for writing", count=self.count_unwritten())

    async def flush_all(self, timeout):
        """Flush all bills during a planned stop.

        Returns when the store has all bills. If the store is unavailable, returns
        after a grace period once peers hold copies of all bills, and after `timeout`
        seconds at the latest.

        Parameters
        ----------
        timeout : float
            Longest time in seconds.
        """
        started = time.monotonic()
        while not await self.flush():
            waited = time.monotonic() - started
            is_replicated = not self._pending and all(
                batch.holders for batch in self._unwritten_batches.values()
            )
            if waited >= timeout or (is_replicated and waited >= STOP_GRACE_PERIOD_S):
                log.error(
                    "bills not written",
                    count=self.count_unwritten(),
                    at_peers=is_replicated,
                )
                return
            await asyncio.sleep(min(FLUSH_RETRY_INTERVAL_S, timeout - waited))

    def count_unwritten(self):
        """Return the number of bills whose write the store has not confirmed."""
        batched = sum(batch.count for batch in self._unwritten_batches.values())
        return batched + len(self._pending)


def make_batch_write(batch_id, bills):
    """Return the create-only write of a batch, identical for every writer.

    Parameters
    ----------
    batch_id : BatchId
        Identifies the batch.
    bills : bytes
        The bills in JSON.
    """
    key = f"{BILL_PREFIX}{batch_id.incarnation}/{batch_id.sequence:08d}"
    return Write(key, bills, ABSENT)


async def read_bills(store):
    """Read all bills from the store.

    Parameters
    ----------
    store : KeyValueClient
        The store.

    Returns
    -------
    Result of list of Bill, or of StoreFault
    """
    listed = await store.list(BILL_PREFIX)
    return listed.map(_decode_bills)


def _decode_bills(entries):
    bills = []
    for entry in entries:
        decoded = decode_json(entry.value, list[Bill])
        if decoded.is_error():
            log.error("cannot decode bills", key=entry.key, problem=decoded.error)
            continue
        bills += decoded.ok
    return bills
