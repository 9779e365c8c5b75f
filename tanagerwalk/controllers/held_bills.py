"""Holds copies of peers' bills and writes the bills of instances that are gone."""

import asyncio

import structlog

from ..decisions.bills import BatchId
from ..peers.codec import decode, encode
from ..peers.gen.bills.ttypes import DropBills, KeepBills, KeepBillsReply
from ..peers.rpc import MessageKind
from .billing import make_batch_write
from .loop import run_periodically

log = structlog.get_logger(__name__)

STEP_INTERVAL_S = 1.0
MAX_CONCURRENT_WRITES = 200


class HeldBillsController:
    """Holds copies of peers' bill batches and writes them when their origin is gone.

    Parameters
    ----------
    store : BatchingStore
        Stores the batches.
    held : HeldBatches
        The copies held by this instance.
    replicator : BillReplicator
        Copies batches to another peer during a planned stop.
    list_live : callable
        Returns the incarnations of live instances, or None if unknown.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, held, replicator, list_live, clock, random):
        self._store = store
        self._held = held
        self._replicator = replicator
        self._list_live = list_live
        self._clock = clock
        self._random = random

    def register_handlers(self, server):
        """Register the handlers of peers' requests on a PeerServer."""
        server.register_handler(MessageKind.KEEP_BILLS, self._handle_keep)
        server.register_handler(MessageKind.DROP_BILLS, self._handle_drop)

    async def _handle_keep(self, payload, _sender):
        request = decode(KeepBills, payload)
        if request.is_error():
            return encode(KeepBillsReply(False))
        now = self._clock()
        kept = [
            self._held.keep(BatchId(b.incarnation, b.sequence), b.bills, now)
            for b in request.ok.batches
        ]
        return encode(KeepBillsReply(all(kept)))

    async def _handle_drop(self, payload, _sender):
        request = decode(DropBills, payload)
        if request.is_ok():
            for sequence in request.ok.sequences:
                self._held.drop(BatchId(request.ok.incarnation, sequence))
        return b""

    async def run(self):
        """Write due batches periodically until cancelled."""
        await run_periodically(self.step, STEP_INTERVAL_S, self._random)

    async def step(self):
        """Write the batches that are due."""
        due = self._held.list_due(self._list_live(), self._clock())
        await self._write(due[:MAX_CONCURRENT_WRITES])

    async def _write(self, batches):
        """Write batches; return those whose write the store did not confirm."""
        results = await asyncio.gather(
            *(self._store.write(make_batch_write(i, bills)) for i, bills in batches)
        )
        failed = []
        for batch, result in zip(batches, results, strict=True):
            if result.is_error():
                failed.append(batch)
                continue
            self._held.drop(batch[0])
            if result.ok.applied:
                log.warning("wrote bills of a peer", batch=batch[0].sequence)
        return failed

    async def hand_off(self):
        """Before a planned stop, write all held batches or copy them to a peer."""
        batches = self._held.list_all()
        for start in range(0, len(batches), MAX_CONCURRENT_WRITES):
            failed = await self._write(batches[start : start + MAX_CONCURRENT_WRITES])
            if failed and not await self._replicator.replicate(failed, copy_count=1):
                log.error(
                    "held bills neither written nor copied to a peer",
                    batches=len(failed),
                )
