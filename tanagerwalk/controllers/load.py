"""Reads the load of every backend server."""

import asyncio

from ..decisions.servers import ServerRole
from .loop import run_periodically


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
    """

    def __init__(self, engines, services, table, gate, settings, clock, random):
        self._readers = {ServerRole.ENGINE: engines, ServerRole.SERVICE: services}
        self._table = table
        self._gate = gate
        self._settings = settings
        self._clock = clock
        self._random = random

    async def run(self):
        """Scrape until cancelled."""
        await run_periodically(self.step, self._settings.interval, self._random)

    async def step(self):
        """Scrape every server once."""
        records = [server.record for server in self._table.servers.values()]
        await asyncio.gather(*(self._scrape(record) for record in records))
        self._gate.pump()

    async def _scrape(self, record):
        reader = self._readers[record.role]
        result = await reader.read_load(record.address, self._settings.timeout)
        if result.is_ok():
            self._table.update_load(record.id, result.ok, self._clock())
