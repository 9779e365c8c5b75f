"""Group commit of claims: writes a call and latency, by rate of claims.

Poisson arrivals at one instance; the store takes a fixed time for each call and runs
in the same process, so the highest rates are bounded by the processor.
"""

import asyncio
import random
import statistics
import time

import aiohttp

from tanagerwalk.clients.batches import BatchingStore
from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.standins.keyvalue import KeyValueStandIn
from tanagerwalk.writes import Write

SEED = 7
DURATION_S = 4.0
STORE_DELAY_S = 0.004
RATES_PER_S = (1, 10, 50, 150, 400, 800)
LINGERS_S = {"direct": None, "batched": 0.0, "linger 5 ms": 0.005}
VALUE = b"x" * 200
MS = 1000.0


async def drive(rate, linger):
    """Return store calls, writes and latencies in seconds of one run."""
    standin = KeyValueStandIn()
    await standin.start()
    standin.delay = STORE_DELAY_S
    async with aiohttp.ClientSession() as http:
        client = KeyValueClient(http, f"http://{standin.address}", 5.0)
        store = client if linger is None else BatchingStore(client, linger)
        latencies = await offer(store, rate)
    await standin.stop()
    return standin.calls, standin.writes, latencies


async def offer(store, rate):
    """Create keys at `rate` a second; return the latencies in seconds."""
    source = random.Random(SEED)
    latencies = []

    async def create(number):
        started = time.perf_counter()
        result = await store.write(Write(f"claims/{number}", VALUE))
        if result.is_ok():
            latencies.append(time.perf_counter() - started)

    tasks = []
    ends = time.perf_counter() + DURATION_S
    while time.perf_counter() < ends:
        tasks.append(asyncio.create_task(create(len(tasks))))
        await asyncio.sleep(source.expovariate(rate))
    await asyncio.gather(*tasks)
    return latencies


def main():
    """Print one line for each rate and way of writing."""
    print(f"store call {STORE_DELAY_S * MS:.0f} ms, {DURATION_S:.0f} s, seed {SEED}")
    print("offered/s  way          calls/s  writes/call   p50 ms   p95 ms")
    for rate in RATES_PER_S:
        for name, linger in LINGERS_S.items():
            calls, writes, latencies = asyncio.run(drive(rate, linger))
            cuts = statistics.quantiles(latencies or [0.0, 0.0], n=20)
            print(
                f"{rate:9d}  {name:11s} {calls / DURATION_S:8.1f} "
                f"{writes / max(1, calls):12.2f} "
                f"{cuts[9] * MS:8.2f} {cuts[18] * MS:8.2f}"
            )


if __name__ == "__main__":
    main()
