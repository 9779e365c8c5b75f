"""Keeps bills until the key-value service has them."""

import asyncio
import time

import msgspec
import structlog

from ..decisions.bills import Bill
from .loop import run_periodically

log = structlog.get_logger(__name__)

BILL_PREFIX = "tanagerwalk/bills/"
FLUSH_INTERVAL_S = 1.0
FLUSH_RETRY_S = 0.2
MAX_BATCH = 1000


class BillingController:
    """Writes bills to the store in create-only batches.

    A batch whose write is in doubt is written again under the same key, which
    changes nothing if it was there already.

    Parameters
    ----------
    store : KeyValueClient
        Takes the batches.
    incarnation : Incarnation
        Of this instance; makes the keys unique.
    metrics : Metrics
        Counters.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, incarnation, metrics, random):
        self._store = store
        self._incarnation = incarnation
        self._metrics = metrics
        self._random = random
        self._pending = []
        self._batch = ()
        self._sequence = 0

    async def record(self, bill):
        """Take a bill; it is safe once `flush` has written it."""
        self._pending.append(bill)

    async def run(self):
        """Flush until cancelled."""
        await run_periodically(self.flush, FLUSH_INTERVAL_S, self._random)

    async def flush(self):
        """Write the next batch; return whether nothing is left to write."""
        if not self._batch:
            self._batch = tuple(self._pending[:MAX_BATCH])
            del self._pending[: len(self._batch)]
        if not self._batch:
            return True
        key = f"{BILL_PREFIX}{self._incarnation}/{self._sequence:08d}"
        result = await self._store.create(key, msgspec.json.encode(self._batch))
        if result.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
            return False
        self._batch = ()
        self._sequence += 1
        return not self._pending

    async def flush_all(self, limit):
        """Flush until nothing is left, for `limit` seconds at most."""
        ends = time.monotonic() + limit
        while not await self.flush():
            pause = min(FLUSH_RETRY_S, ends - time.monotonic())
            if pause <= 0:
                log.error("bills not written", count=self.count_unwritten())
                return
            await asyncio.sleep(pause)

    def count_unwritten(self):
        """Return the number of bills that the store has not confirmed."""
        return len(self._batch) + len(self._pending)


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
