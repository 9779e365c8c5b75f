"""Keeps the tables of backend servers and peers up to date from the platform."""

import structlog

from .loop import run_periodically

log = structlog.get_logger(__name__)


class MembershipController:
    """Reads the platform's list of instances.

    Parameters
    ----------
    targets : TargetsClient
        Reads the list.
    table : ServerTable
        Takes the backend servers.
    interval : float
        Mean time between readings, in seconds.
    metrics : Metrics
        Counters.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, targets, table, interval, metrics, random):
        self._targets = targets
        self._table = table
        self._interval = interval
        self._metrics = metrics
        self._random = random
        self.peers = ()

    async def run(self):
        """Read the list until cancelled."""
        await run_periodically(self.step, self._interval, self._random)

    async def step(self):
        """Read the list once; during an outage the last one stays."""
        result = await self._targets.read()
        if result.is_error():
            self._metrics.platform_faults.labels("instances").inc()
            log.warning("instance list not read", cause=result.error)
            return
        self._table.update_records(result.ok.servers)
        self.peers = result.ok.peers

    def list_live(self):
        """Return incarnations of listed entry instances; None before the first list."""
        if not self.peers:
            return None
        return frozenset(peer.incarnation for peer in self.peers)
