"""Group commit: sends many conditional writes in one key-value transaction."""

import asyncio
from dataclasses import dataclass

import structlog
from expression import Error, Ok

from ..writes import StoreFault, Write

log = structlog.get_logger(__name__)

# etcd allows 128 operations per transaction; the enclosing transaction counts as one.
MAX_WRITES = 100
MAX_BYTES = 512 * 1024
MAX_CONCURRENT_CALLS = 2
MAX_QUEUE_TIME_S = 1.0


@dataclass(frozen=True, slots=True, eq=False)
class _PendingWrite:
    write: Write
    future: asyncio.Future

    @property
    def size(self):
        return len(self.write.key) + len(self.write.value or b"")


class BatchingStore:
    """Batches the writes that arrive while calls are in flight.

    While fewer than `max_concurrent_calls` calls are in flight, a write waits only for
    `linger`, so that batching adds no latency on an idle instance. A write that is not
    sent within `MAX_QUEUE_TIME_S` fails as not applied. After a call that failed
    with anything but `REJECTED`, one call at a time probes the store, and writes that
    arrive during a probe fail immediately as not applied.

    Parameters
    ----------
    store : KeyValueClient
        Client that sends the batches.
    linger : float
        Seconds to wait for more writes before sending a batch.
    max_concurrent_calls : int
        Maximum number of calls in flight.

    Attributes
    ----------
    calls, writes : int
        Totals of the calls made and the writes sent.
    """

    def __init__(self, store, linger=0.0, max_concurrent_calls=MAX_CONCURRENT_CALLS):
        self._store = store
        self._linger = linger
        self._max_concurrent_calls = max_concurrent_calls
        self._pending = []
        self._running = 0
        self._store_failing = False
        self._tasks = set()
        self._timer = None
        self.calls = 0
        self.writes = 0

    async def write(self, write):
        """Perform one conditional write as part of a batch.

        Parameters
        ----------
        write : Write
            The write.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
            If the outcome of a call is unknown, each of its writes gets
        `StoreFault.UNKNOWN`.
        """
        if self._store_failing and self._running:
            return Error(StoreFault.NOT_APPLIED)
        loop = asyncio.get_running_loop()
        item = _PendingWrite(write, loop.create_future())
        self._pending.append(item)
        expiry = loop.call_later(MAX_QUEUE_TIME_S, self._expire, item)
        self._schedule(loop)
        try:
            return await item.future
        finally:
            expiry.cancel()

    def _schedule(self, loop):
        if self._timer is None:
            self._timer = loop.call_later(self._linger, self._send_batches)

    def _send_batches(self):
        self._timer = None
        self._pending = [item for item in self._pending if not item.future.done()]
        limit = 1 if self._store_failing else self._max_concurrent_calls
        while self._pending and self._running < limit:
            batch = select_batch(self._pending)
            taken = set(batch)
            self._pending = [item for item in self._pending if item not in taken]
            self._running += 1
            task = asyncio.get_running_loop().create_task(self._send(batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _expire(self, item):
        if item not in self._pending:
            return
        self._pending.remove(item)
        _resolve(item, Error(StoreFault.NOT_APPLIED))

    async def _send(self, batch):
        try:
            results = await self._call(batch)
        except Exception:
            # Without a result each writer would wait for good.
            log.exception("batch of writes failed", writes=len(batch))
            results = [Error(StoreFault.UNKNOWN)] * len(batch)
        finally:
            self._running -= 1
        for item, result in zip(batch, results, strict=True):
            _resolve(item, result)
        if self._pending:
            self._send_batches()

    async def _call(self, batch):
        """Send a batch and return one Result per item."""
        if len(batch) == 1:
            return [await self._send_one(batch[0])]
        self._count_call(len(batch))
        result = await self._store.write_all([item.write for item in batch])
        self._track_failure(result)
        if result.is_ok():
            return [Ok(outcome) for outcome in result.ok]
        if result.error is StoreFault.REJECTED:
            # One rejected write fails the whole transaction; retry each on its own.
            return [await self._send_one(item) for item in batch]
        return [result] * len(batch)

    async def _send_one(self, item):
        self._count_call(1)
        result = await self._store.write(item.write)
        self._track_failure(result)
        return result

    def _track_failure(self, result):
        rejected = result.is_error() and result.error is StoreFault.REJECTED
        self._store_failing = result.is_error() and not rejected

    def _count_call(self, writes):
        self.calls += 1
        self.writes += writes


def select_batch(pending):
    """Select the writes of the next call.

    Parameters
    ----------
    pending : sequence
        Queued items in order of arrival; each has `write`, and `size` in bytes.

    Returns
    -------
    list
        The first items with distinct keys that fit into one call; at least one if
        any is pending.
    """
    batch = []
    keys = set()
    size = 0
    for item in pending:
        if batch and (len(batch) >= MAX_WRITES or size + item.size > MAX_BYTES):
            break
        if item.write.key in keys:
            continue
        batch.append(item)
        keys.add(item.write.key)
        size += item.size
    return batch


def _resolve(item, result):
    if not item.future.done():
        item.future.set_result(result)
