"""Copies of bills when peers fail, and when the store is faster than they are."""

import asyncio
import random

from expression import Error, Ok

from tanagerwalk.controllers.billing import BillingController
from tanagerwalk.decisions.bills import Bill
from tanagerwalk.metrics import Metrics
from tanagerwalk.writes import StoreFault, WriteOutcome

BILL = Bill("desk", "r", "label", "wren:1", 1, 2, 1.0, "f")


class Store:
    """Records the writes, and fails them while there is an outage."""

    def __init__(self):
        self.keys = []
        self.outage = False

    async def write(self, write):
        if self.outage:
            return Error(StoreFault.NOT_APPLIED)
        self.keys.append(write.key)
        return Ok(WriteOutcome(True, 1))


class Replicator:
    """Copies to the peers in `holders`, once `may_copy` is set."""

    def __init__(self):
        self.holders = ["b:1", "c:1"]
        self.defect = None
        self.may_copy = asyncio.Event()
        self.may_copy.set()
        self.copied = []
        self.dropped = []

    async def replicate(self, batches):
        await self.may_copy.wait()
        if self.defect is not None:
            raise self.defect
        self.copied.append([batch_id.sequence for batch_id, _ in batches])
        return list(self.holders)

    async def drop(self, address, batch_ids):
        self.dropped.append((address, [each.sequence for each in batch_ids]))


def build_billing():
    store, replicator = Store(), Replicator()
    billing = BillingController(
        store, replicator, "a.1", 1.0, Metrics(), random.Random(1)
    )
    return billing, store, replicator


# Guards against a bill that counts as safe because its copy ended, whatever the end.
async def test_bill_whose_copy_raises_is_in_the_store_before_the_answer_ends():
    billing, store, replicator = build_billing()
    replicator.defect = ValueError("malformed reply")
    await billing.record(BILL)
    assert len(store.keys) == 1
    assert billing.count_unwritten() == 0


async def test_bill_whose_copy_raises_is_counted_without_the_store():
    billing, store, replicator = build_billing()
    replicator.defect = ValueError("malformed reply")
    store.outage = True
    await billing.record(BILL)
    assert billing._metrics.bills_at_risk._value.get() == 1


async def test_defect_of_a_later_copy_does_not_end_the_flush():
    billing, store, replicator = build_billing()
    replicator.holders = []
    store.outage = True
    await billing.record(BILL)
    replicator.defect = ValueError("malformed reply")
    assert not await billing.flush()
    store.outage = False
    assert await billing.flush()


# Guards against copies that the holders keep until they write them a second time.
async def test_batch_that_is_written_while_it_is_copied_is_dropped_by_its_holders():
    billing, _, replicator = build_billing()
    replicator.may_copy.clear()
    recording = asyncio.ensure_future(billing.record(BILL))
    await asyncio.sleep(0)
    await billing.flush()
    assert billing.count_unwritten() == 0
    replicator.may_copy.set()
    await recording
    assert sorted(replicator.dropped) == [("b:1", [0]), ("c:1", [0])]
