"""Tells the limits of servers which of them are cold, and logs it."""

import structlog

from ..decisions.cold_servers import ColdPolicy, ColdReason
from ..decisions.paths import Outage
from ..registry import ENTRY_LIFETIME_S
from .clocks import read_boot_clock

log = structlog.get_logger(__name__)

REASON_BY_OUTAGE = {
    Outage.DOWN: ColdReason.RESTARTED,
    Outage.CUT_OFF: ColdReason.RETURNED,
}


class ColdWatch:
    """Connects the ColdServers to the manifest and the list of servers.

    Parameters
    ----------
    servers : ServerPool
        The servers.
    cluster_state : ClusterState
        Has the manifest.
    get_bounds : callable
        Returns the Bounds in force.
    get_reconnected_at : callable
        Returns the boot time in seconds at which the store was last regained.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, servers, cluster_state, get_bounds, get_reconnected_at, clock):
        self._servers = servers
        self._cluster_state = cluster_state
        self._get_bounds = get_bounds
        self._get_reconnected_at = get_reconnected_at
        self._clock = clock
        self._cold = servers.limits.cold
        self._cold.find_policy = self._find_policy
        self._cold.on_cold = _log_cold
        self._cold.on_warm = _log_warm

    def update(self):
        """Take over the list of servers."""
        if self._cluster_state.manifest is None:
            return
        self._cold.observe(self._servers.list_servers(), self._clock())

    def confirm_starts(self, confirmed_at):
        """End the limits of servers that were assumed to have started anew but ran on.

        Parameters
        ----------
        confirmed_at : float
            Boot time in seconds up to which the list of servers is complete.
        """
        # Entries may have outlived their servers while the store was out.
        if confirmed_at < self._get_reconnected_at() + ENTRY_LIFETIME_S:
            return
        now = self._clock()
        # The boot clock also counts suspensions; ColdServers uses the monotonic clock.
        age = read_boot_clock() - confirmed_at
        self._cold.confirm_starts(now - age, now)

    def mark_cold(self, failure_domains):
        """Take the servers of failure domains for cold, as after a start."""
        self._servers.mark_cold(failure_domains, self._clock())

    def may_become_cold(self, server):
        """Return whether a server is cold after a start."""
        return self._find_policy(server.service) is not None

    def record_crash(self, server, is_down):
        """Take a server that has crashed for cold if it answers again.

        Parameters
        ----------
        server : RegisteredServer
            The server, which broke off a connection and accepts none.
        is_down : bool
            Whether it refused one; else it may only be out of reach.
        """
        reason = ColdReason.CRASHED if is_down else ColdReason.LOST
        self._cold.record_crash(server, self._clock(), reason)

    def record_return(self, server, outage):
        """Take a server for cold that is back: it may have started anew.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        outage : Outage
            What kept it from being reached.
        """
        self._cold.record_return(server, self._clock(), REASON_BY_OUTAGE[outage])

    def _find_policy(self, name):
        """Return the ColdPolicy of a service, or None if it has none."""
        manifest = self._cluster_state.manifest
        service = None if manifest is None else manifest.services.get(name)
        if service is None or service.cold_start <= 0.0 or service.cold_rate <= 0.0:
            return None
        bounds = self._get_bounds()
        return ColdPolicy(
            service.cold_start,
            service.cold_rate,
            bounds.cold_overrun,
            bounds.cold_slack,
        )


def _log_cold(server, seconds, reason):
    log.info(
        "server cold",
        server=server.id,
        service=server.service,
        seconds=round(seconds, 1),
        reason=reason.value,
    )


def _log_warm(server):
    log.info("server warm", server=server.id, service=server.service)
