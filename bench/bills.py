"""Measures the cost of replicating a bill to two peers before its answer ends.

Bills arrive at one instance as a Poisson process. The peers and the store run in the
same process, so the results include no network latency.
"""

import asyncio
import random
import statistics
import time

from expression import Ok

from tanagerwalk.clients.targets import PeerRecord
from tanagerwalk.controllers.billing import BillingController
from tanagerwalk.controllers.held_bills import HeldBillsController
from tanagerwalk.controllers.replication import BillReplicator
from tanagerwalk.decisions.bills import (
    FINGERPRINT_LENGTH,
    Bill,
    CopyHolderChooser,
    HeldBatches,
)
from tanagerwalk.decisions.servers import Home
from tanagerwalk.metrics import Metrics
from tanagerwalk.peers.rpc import PeerClient, PeerServer
from tanagerwalk.writes import WriteOutcome

SEED = 7
DURATION_S = 4.0
FLUSH_INTERVAL_S = 5.0
RATES_PER_S = (1, 11, 100, 500)
PEERS = 3
SECRET = "bench-secret"
ADDRESS = "127.0.0.1"
MS = 1000.0


class FakeStore:
    """A store that accepts and counts every write."""

    def __init__(self):
        self.writes = 0

    async def write(self, _write):
        """Accept a write."""
        self.writes += 1
        return Ok(WriteOutcome(True, self.writes))


async def run_load(rate):
    """Return latencies in seconds, bytes sent, batches written and CPU seconds."""
    servers = [await start_bill_holder() for _ in range(PEERS)]
    peers = tuple(
        PeerRecord(str(n), f"{ADDRESS}:{s.port}", "r1", f"r1-{n % 2}", f"{n}.1")
        for n, s in enumerate(servers)
    )
    client = PeerClient(SECRET, "own", 1.0)
    chooser = CopyHolderChooser("own.1", Home("r1", "r1-0"))
    replicator = BillReplicator(client, chooser, lambda: peers, time.monotonic)
    store = FakeStore()
    billing = BillingController(
        store, replicator, "own.1", FLUSH_INTERVAL_S, Metrics(), random.Random(SEED)
    )
    started = time.process_time()
    latencies = await generate_bills(billing, rate)
    await billing.flush()
    cpu_s = time.process_time() - started
    await client.close()
    for server in servers:
        await server.stop()
    return latencies, client.bytes_sent, store.writes, cpu_s


async def start_bill_holder():
    """Return a started PeerServer that holds copies of bills."""
    server = PeerServer(SECRET)
    held_batches = HeldBatches(FLUSH_INTERVAL_S)
    controller = HeldBillsController(
        None, held_batches, None, lambda: None, time.monotonic, random.Random(SEED)
    )
    controller.register_handlers(server)
    await server.start(ADDRESS, 0)
    return server


async def generate_bills(billing, rate):
    """Record `rate` bills per second on average; return the latencies in seconds."""
    rng = random.Random(SEED)
    latencies = []

    async def record(number):
        bill = Bill(
            "desk",
            f"{number:032d}",
            "label",
            "wren:1",
            100,
            200,
            0.02,
            "f" * FINGERPRINT_LENGTH,
        )
        started = time.perf_counter()
        await billing.record(bill)
        latencies.append(time.perf_counter() - started)

    tasks = []
    end = time.perf_counter() + DURATION_S
    while time.perf_counter() < end:
        tasks.append(asyncio.create_task(record(len(tasks))))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)
    return latencies


def main():
    """Print one line for each bill rate."""
    print(f"{DURATION_S:.0f} s each, {PEERS} peers on loopback, seed {SEED}")
    print("bills/s   p50 ms   p95 ms  bytes/bill  bills/batch  processor ms/bill")
    for rate in RATES_PER_S:
        latencies, sent, batches, cpu_s = asyncio.run(run_load(rate))
        count = len(latencies)
        quantiles_s = statistics.quantiles(latencies, n=20)
        print(
            f"{rate:7d} {quantiles_s[9] * MS:8.2f} {quantiles_s[18] * MS:8.2f} "
            f"{sent / count:11.0f} "
            f"{count / batches:12.2f} {cpu_s * MS / count:18.3f}"
        )


if __name__ == "__main__":
    main()
