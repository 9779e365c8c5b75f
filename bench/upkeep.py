"""Measures the background work of an instance: `python -m bench.upkeep`.

This is the cost of applying the instance list and of selecting the servers to scrape,
and the CPU time of scraping an engine whose metrics page has 400 lines.
"""

import asyncio
import multiprocessing
import time

import aiohttp
from aiohttp import web

from bench.admission import SERVER_COUNTS, build_queue, make_record
from tanagerwalk.clients.engines import EngineClient
from tanagerwalk.decisions.scrapes import select_scrapes
from tanagerwalk.settings import parse_settings

SETTINGS = parse_settings().ok
METRICS_LINES = 400
SCRAPES = 300
REPEATS = 50
METRICS_PAGE = "".join(
    f'vllm:time_bucket{{engine="0",le="{number}"}} {number}\n'
    for number in range(METRICS_LINES)
) + ("vllm:num_requests_running 3\nvllm:num_requests_waiting 0\n")


def time_calls(action):
    """Return the mean time of a call in microseconds."""
    started = time.perf_counter()
    for _ in range(REPEATS):
        action()
    return (time.perf_counter() - started) / REPEATS * 1e6


def measure_table(servers):
    """Return microseconds for an unchanged list, a changed one and a selection."""
    table, _ = build_queue(servers)
    records = [make_record(number) for number in range(servers)]
    table.list_serving("v0")
    unchanged = time_calls(lambda: table.update_records(records))

    def change():
        table.mark_incarnation_leaving("s0.1")
        table.list_serving("v0")
        table.list_watched()
        table.servers["s0"].leaving = False

    changed = time_calls(change)
    chosen = time_calls(lambda: select_scrapes(table, 100.0, SETTINGS.load, 10))
    return unchanged, changed, chosen


async def measure_scrapes(address):
    """Return CPU microseconds per scrape, without and with the list of models."""
    costs = []
    async with aiohttp.ClientSession() as http:
        client = EngineClient(http, SETTINGS.retries)
        for models in (False, True):
            await client.read_load(address, 1.0, models)
            started = time.process_time()
            for _ in range(SCRAPES):
                assert (await client.read_load(address, 1.0, models)).is_ok()
            costs.append((time.process_time() - started) / SCRAPES * 1e6)
    return costs


def serve_engine_pages(pipe):
    """Serve an engine's metrics and models; the target of a child process."""

    async def run():
        app = web.Application()
        app.router.add_get(
            "/metrics", lambda _: _answer(web.Response(text=METRICS_PAGE))
        )
        models = {"data": [{"id": "m1"}]}
        app.router.add_get("/v1/models", lambda _: _answer(web.json_response(models)))
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        pipe.send(f"127.0.0.1:{runner.addresses[0][1]}")
        await asyncio.to_thread(pipe.recv)
        await runner.cleanup()

    asyncio.run(run())


async def _answer(response):
    return response


def main():
    """Print the costs by number of servers, then those of a scrape."""
    print("microseconds: list unchanged, order rebuilt, choice of scrapes")
    for servers in SERVER_COUNTS:
        costs = " ".join(f"{cost:9.0f}" for cost in measure_table(servers))
        print(f"{servers:>4} servers {costs}")
    pipe, remote = multiprocessing.Pipe()
    server = multiprocessing.Process(target=serve_engine_pages, args=(remote,))
    server.start()
    load_only, load_and_models = asyncio.run(measure_scrapes(pipe.recv()))
    pipe.send(None)
    server.join()
    print(f"one scrape: load {load_only:.0f}, load and models {load_and_models:.0f}")


if __name__ == "__main__":
    main()
