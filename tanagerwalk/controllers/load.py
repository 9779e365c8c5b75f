"""Reads the load of the backend servers."""

import asyncio

from cachetools import TTLCache

from ..decisions.backends import ServerRole
from ..decisions.scrapes import select_scrapes
from .loop import run_periodically

STEP_FRACTION = 0.5
MAX_TRACKED_SERVERS = 10000


class LoadController:
    """Scrapes the backend servers periodically, up to a rate limit.

    Parameters
    ----------
    engines : EngineClient
        Reads the load of engines.
    services : ServiceClient
        Reads the load of services.
    table : ServerTable
        Stores the load reports.
    gate : Gate
        Queue of requests; pumped after each scrape, since reports may free capacity.
    settings : LoadSettings
        Intervals.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    count_instances : callable
        Returns the number of instances that share the same servers.
    """

    def __init__(
        self, engines, services, table, gate, settings, clock, random, count_instances
    ):
        self._clients = {ServerRole.ENGINE: engines, ServerRole.SERVICE: services}
        self._table = table
        self._gate = gate
        self._settings = settings
        self._clock = clock
        self._random = random
        self._count_instances = count_instances
        self._refilled_at = clock()
        self._scrape_tokens = settings.scrapes_per_second
        self._models_read_at = TTLCache(
            MAX_TRACKED_SERVERS, settings.models_interval * 2
        )

    async def run(self):
        """Scrape periodically until cancelled."""
        pause = self._settings.interval * STEP_FRACTION
        await run_periodically(self.step, pause, self._random)

    async def step(self):
        """Scrape the servers that are due."""
        now = self._clock()
        self._table.instance_count = max(1, self._count_instances())
        elapsed = min(self._settings.interval, now - self._refilled_at)
        self._refilled_at = now
        rate = self._settings.scrapes_per_second
        self._scrape_tokens = min(rate, self._scrape_tokens + elapsed * rate)
        servers = select_scrapes(
            self._table, now, self._settings, int(self._scrape_tokens)
        )
        if not servers:
            return
        self._scrape_tokens -= len(servers)
        await asyncio.gather(*(self._scrape(server, now) for server in servers))
        self._gate.process_queue()

    async def _scrape(self, server, now):
        server.scraped_at = now
        record = server.record
        client = self._clients[record.role]
        models_read_at = self._models_read_at.get(record.incarnation, float("-inf"))
        with_models = now - models_read_at >= self._settings.models_interval
        result = await client.read_load(
            record.address, self._settings.timeout, with_models
        )
        if result.is_error():
            return
        self._table.update_load(record.id, result.ok, self._clock())
        if with_models:
            self._models_read_at[record.incarnation] = now
