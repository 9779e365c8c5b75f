"""Measures group commit of claims: writes per store call and latency, by request rate.

Claims arrive at one instance as a Poisson process. The store answers each call after a
fixed delay and runs in the same process, so the highest rates are limited by the CPU.
"""

import asyncio
import itertools
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
STORE_DELAYS_S = (0.004, 0.02)
RATES_PER_S = (1, 50, 200, 800)
WRITE_STRATEGIES = {
    "direct": lambda client: client,
    "1 call": lambda client: BatchingStore(client, max_concurrent_calls=1),
    "2 calls": lambda client: BatchingStore(client, max_concurrent_calls=2),
    "2 calls, 5 ms": lambda client: BatchingStore(client, 0.005, 2),
}
VALUE = b"x" * 200
MS = 1000.0


async def run_load(rate, make_store, delay):
    """Return the store calls, writes and latencies in seconds of one run."""
    standin = KeyValueStandIn()
    await standin.start()
    standin.delay = delay
    async with aiohttp.ClientSession() as http:
        client = KeyValueClient(http, f"http://{standin.address}", 5.0)
        latencies = await generate_writes(make_store(client), rate)
    await standin.stop()
    return standin.calls, standin.writes, latencies


async def generate_writes(store, rate):
    """Create `rate` keys per second on average; return the latencies in seconds."""
    rng = random.Random(SEED)
    latencies = []

    async def create(number):
        started = time.perf_counter()
        result = await store.write(Write(f"claims/{number}", VALUE))
        if result.is_ok():
            latencies.append(time.perf_counter() - started)

    tasks = []
    end = time.perf_counter() + DURATION_S
    while time.perf_counter() < end:
        tasks.append(asyncio.create_task(create(len(tasks))))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)
    return latencies


def main():
    """Print one line for each store delay, rate and write strategy."""
    print(f"{DURATION_S:.0f} s each, seed {SEED}")
    print("store ms  offered/s  way            calls/s  writes/call   p50 ms   p95 ms")
    for delay, rate, name in itertools.product(
        STORE_DELAYS_S, RATES_PER_S, WRITE_STRATEGIES
    ):
        calls, writes, latencies = asyncio.run(
            run_load(rate, WRITE_STRATEGIES[name], delay)
        )
        quantiles_s = statistics.quantiles(latencies or [0.0, 0.0], n=20)
        print(
            f"{delay * MS:8.0f}  {rate:9d}  {name:13s} {calls / DURATION_S:8.1f} "
            f"{writes / max(1, calls):12.2f} "
            f"{quantiles_s[9] * MS:8.2f} {quantiles_s[18] * MS:8.2f}"
        )


if __name__ == "__main__":
    main()
