"""Keeps copies of peers' bills and writes those of instances that are gone."""

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
MAX_ADOPTED = 200


class HoldingController:
    """The holder's side of bills.

    Parameters
    ----------
    store : BatchingStore
        Takes adopted batches.
    held : HeldBatches
        The copies.
    copies : BillCopies
        Passes copies on at a planned stop.
    list_live : callable
        Returns the incarnations known to live, or None if not known.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, store, held, copies, list_live, clock, random):
        self._store = store
        self._held = held
        self._copies = copies
        self._list_live = list_live
        self._clock = clock
        self._random = random

    def answer_on(self, server):
        """Answer peers' requests on a PeerServer."""
        server.register_handler(MessageKind.KEEP_BILLS, self._keep)
        server.register_handler(MessageKind.DROP_BILLS, self._drop)

    async def _keep(self, payload, _sender):
        request = decode(KeepBills, payload)
        if request.is_error():
            return encode(KeepBillsReply(False))
        now = self._clock()
        kept = [
            self._held.keep(BatchId(b.incarnation, b.sequence), b.bills, now)
            for b in request.ok.batches
        ]
        return encode(KeepBillsReply(all(kept)))

    async def _drop(self, payload, _sender):
        request = decode(DropBills, payload)
        if request.is_ok():
            for sequence in request.ok.sequences:
                self._held.drop(BatchId(request.ok.incarnation, sequence))
        return b""

    async def run(self):
        """Adopt batches until cancelled."""
        await run_periodically(self.step, STEP_INTERVAL_S, self._random)

    async def step(self):
        """Write the batches that are due."""
        due = self._held.list_due(self._list_live(), self._clock())
        await self._write(due[:MAX_ADOPTED])

    async def _write(self, batches):
        """Write batches; return those that the store did not confirm."""
        results = await asyncio.gather(
            *(self._store.write(make_batch_write(i, bills)) for i, bills in batches)
        )
        left = []
        for batch, result in zip(batches, results, strict=True):
            if result.is_error():
                left.append(batch)
                continue
            self._held.drop(batch[0])
            if result.ok.applied:
                log.warning("bills of a peer written", batch=batch[0].sequence)
        return left

    async def hand_on(self):
        """Before a planned stop, write every copy, or give it to another peer."""
        batches = self._held.list_all()
        for start in range(0, len(batches), MAX_ADOPTED):
            left = await self._write(batches[start : start + MAX_ADOPTED])
            if left and not await self._copies.spread(left, wanted=1):
                log.error("copies of bills given up", batches=len(left))
