"""Reads the load of every backend server."""

import asyncio

from cachetools import TTLCache

from ..decisions.backends import ServerRole
from ..decisions.scrapes import select_scrapes
from .loop import run_periodically

STEP_SHARE = 0.5
MAX_MODELS_KNOWN = 10000


class LoadController:
    """Scrapes the backend servers.

    Parameters
    ----------
    engines : EngineClient
        Reads the load of engines.
    services : ServiceClient
        Reads the load of plain services.
    table : ServerTable
        Takes the reports.
    gate : Gate
        Is woken, since reports make room.
    settings : LoadSettings
        Intervals.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    count_sharers : callable
        Returns the number of instances that send to the same servers.
    """

    def __init__(
        self, engines, services, table, gate, settings, clock, random, count_sharers
    ):
        self._readers = {ServerRole.ENGINE: engines, ServerRole.SERVICE: services}
        self._table = table
        self._gate = gate
        self._settings = settings
        self._clock = clock
        self._random = random
        self._count_sharers = count_sharers
        self._stepped_at = clock()
        self._allowance = settings.scrapes_per_second
        self._models_at = TTLCache(MAX_MODELS_KNOWN, settings.models_interval * 2)

    async def run(self):
        """Scrape until cancelled."""
        pause = self._settings.interval * STEP_SHARE
        await run_periodically(self.step, pause, self._random)

    async def step(self):
        """Scrape the servers that are due."""
        now = self._clock()
        self._table.instance_count = max(1, self._count_sharers())
        elapsed = min(self._settings.interval, now - self._stepped_at)
        self._stepped_at = now
        rate = self._settings.scrapes_per_second
        self._allowance = min(rate, self._allowance + elapsed * rate)
        servers = select_scrapes(self._table, now, self._settings, int(self._allowance))
        if not servers:
            return
        self._allowance -= len(servers)
        await asyncio.gather(*(self._scrape(server, now) for server in servers))
        self._gate.process_queue()

    async def _scrape(self, server, now):
        server.scraped_at = now
        record = server.record
        reader = self._readers[record.role]
        known = self._models_at.get(record.incarnation, float("-inf"))
        models = now - known >= self._settings.models_interval
        result = await reader.read_load(record.address, self._settings.timeout, models)
        if result.is_error():
            return
        self._table.update_load(record.id, result.ok, self._clock())
        if models:
            self._models_at[record.incarnation] = now
