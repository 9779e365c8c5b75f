"""Keeps requests off the failure domains that the operators evacuate."""

import asyncio
import math

import structlog

from ..decisions.evacuations import Evacuations
from .clocks import read_boot_clock

log = structlog.get_logger(__name__)


class EvacuationController:
    """Puts the operators' evacuations in force.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store; tells its era and when it was last confirmed.
    cluster_state : ClusterState
        Provides the requests that the store holds.
    servers : ServerPool
        Keeps requests off the servers of the evacuated failure domains.
    gauge : prometheus_client.Gauge
        Shows each evacuated failure domain.
    get_delay : callable
        Returns the seconds after which an evacuated failure domain must get nothing.
    random : random.Random
        Draws the moments at which this instance stops sending.
    clock : callable
        Returns the boot time in seconds.
    """

    def __init__(
        self,
        mirror,
        cluster_state,
        servers,
        gauge,
        get_delay,
        random,
        clock=read_boot_clock,
    ):
        self._mirror = mirror
        self._cluster_state = cluster_state
        self._servers = servers
        self._gauge = gauge
        self._get_delay = get_delay
        self._clock = clock
        self._evacuations = Evacuations(random)
        self._kept = set()
        self._timer = None
        cluster_state.subscribe(self._update)

    def _update(self):
        now = self._clock()
        began, ended = self._evacuations.update(
            self._cluster_state.evacuations,
            self._mirror.era,
            self._mirror.confirmed_at,
            now,
            self._get_delay(),
        )
        for evacuation in began:
            log.info(
                "evacuation begins",
                failure_domain=evacuation.failure_domain,
                revision=evacuation.revision,
                after_s=round(evacuation.begins_at - now, 2),
            )
        self._log_kept()
        self._log_ended(ended)
        self._apply(now)

    def list_told(self):
        """Return the evacuated failure domains of which other instances are told."""
        return self._evacuations.list_read()

    def adopt(self, domains):
        """Keep failure domains for a while that another instance knows as evacuated.

        The store may have been restored from a copy that lacks the requests.

        Parameters
        ----------
        domains : list of FailureDomain
            The failure domains.
        """
        now = self._clock()
        self._evacuations.adopt(domains, now)
        self._log_kept()
        self._apply(now)

    def _log_kept(self):
        kept = {each.failure_domain for each in self._evacuations.list_kept()}
        for domain in sorted(kept - self._kept):
            log.warning("evacuation missing in a restored store", failure_domain=domain)
        self._kept = kept

    def _log_ended(self, ended):
        for evacuation in ended:
            log.info(
                "evacuation ended",
                failure_domain=evacuation.failure_domain,
                revision=evacuation.revision,
                is_removed=not evacuation.is_kept,
            )

    def _advance(self):
        """Begin or end the evacuations that are due."""
        now = self._clock()
        self._log_ended(self._evacuations.pop_ended(now))
        self._apply(now)

    def _apply(self, now):
        active = self._evacuations.list_active(now)
        before = self._servers.evacuated
        for domain in before - active:
            self._gauge.remove(domain)
        for domain in active - before:
            self._gauge.labels(domain).set(1)
        if active != before:
            self._servers.set_evacuated(active)
        self._schedule(now)

    def _schedule(self, now):
        self.close()
        due_at = self._evacuations.find_next_change(now)
        if due_at < math.inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(due_at - now, self._advance)

    def close(self):
        """Cancel the timer of the next change."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
