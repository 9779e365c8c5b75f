"""Reports which backend servers are lastingly slower or faster than the others."""

import asyncio
import math

import structlog

log = structlog.get_logger(__name__)

PERIOD_S = 2.0
# A change by less than this factor is not logged.
LOGGED_FACTOR = 1.3


class SpeedWatch:
    """Logs lasting changes of the servers' speeds, and counts the uneven servers.

    Parameters
    ----------
    servers : ServerPool
        Provides the servers and their speeds.
    metrics : GatewayMetrics
        Receives the number of uneven servers.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, servers, metrics, clock):
        self._servers = servers
        self._metrics = metrics
        self._clock = clock
        self._logged = {}

    async def run(self):
        """Look at the speeds until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.update()

    def update(self):
        """Log what has changed since the last line about each server."""
        slowdowns = self._servers.speeds.list_lasting(self._clock())
        self._metrics.uneven_servers.set(len(slowdowns))
        for life in self._logged.keys() | slowdowns.keys():
            slowdown = slowdowns.get(life, 1.0)
            change = math.log(slowdown / self._logged.get(life, 1.0))
            if abs(change) >= math.log(LOGGED_FACTOR):
                self._log(life, slowdown)

    def _log(self, life, slowdown):
        usage = self._servers.find_life(life)
        if usage is None:
            self._logged.pop(life, None)
            return
        self._logged[life] = slowdown
        log.info("server speed", server=usage.server.id, slowdown=round(slowdown, 2))
