"""Observes for which services, and at which of their servers, requests compete."""

import structlog

from ..decisions.demands import Demand
from ..decisions.service_contention import ServiceContention
from ..decisions.service_policies import ServicePolicy

log = structlog.get_logger(__name__)


class ContentionMonitor:
    """Keeps the ServiceContention of each service up to date.

    Parameters
    ----------
    servers : ServerPool
        Provides the places at the servers.
    shared : SharedDemandTable
        Demand at the other instances.
    metrics : GatewayMetrics
        Metrics of the instance.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Draws which requests are moved up or refused.
    """

    def __init__(self, servers, shared, metrics, clock, random):
        self.servers = servers
        self.metrics = metrics
        self.clock = clock
        self.random = random
        self._shared = shared
        self._services = {}
        self._policies = {}
        self._manifest = None

    def find_service_policy(self, manifest, service):
        """Return the ServicePolicy of a service."""
        if manifest is not self._manifest:
            self._manifest = manifest
            self._policies = {}
        if service not in self._policies:
            self._policies[service] = ServicePolicy(manifest, service)
        return self._policies[service]

    def refresh(self, service):
        """Observe a service, unless that was done of late; return ServiceContention."""
        if service not in self._services:
            self._services[service] = ServiceContention(service)
        contention = self._services[service]
        now = self.clock()
        if contention.is_due(now):
            self._observe(contention, now)
        return contention

    def refresh_all(self):
        """Observe all services; return the own Demand for each that needs it."""
        now = self.clock()
        refreshed = [self.refresh(service) for service in self._services]
        return {
            contention.service: contention.meter.measure(now)
            for contention in refreshed
            if contention.needs_demand
        }

    def _observe(self, contention, now):
        places = self.servers.list_places(contention.service, now)
        for changed in contention.update_places(places, now):
            self._report_change(contention, changed)
        others = Demand()
        if contention.is_contended:
            others = self._shared.find_others(contention.service, now)
        contention.update_demand(others, now)

    def _report_change(self, contention, changed):
        gauge = self.metrics.contended.labels(contention.service)
        gauge.set(contention.is_contended)
        is_contended = changed.state.is_contended
        log.info(
            "service contended" if is_contended else "service not contended any more",
            service=contention.service,
            failure_domains=changed.failure_domains,
            servers=changed.places.servers,
            slots=changed.places.slots,
            taken=changed.places.taken,
            waiting=changed.places.waiting,
        )
