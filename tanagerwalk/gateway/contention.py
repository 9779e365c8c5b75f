"""Competition of requests for places at the servers of a service."""

from functools import cached_property

import structlog

from ..decisions.contention import ContentionState, Places
from ..decisions.demands import Demand, DemandMeter
from ..decisions.request_order import list_ranks

log = structlog.get_logger(__name__)

REFRESH_INTERVAL_S = 0.1


class ServiceContention:
    """The competition for one service, as this instance sees it.

    Parameters
    ----------
    service : ServiceName
        The service.

    Attributes
    ----------
    meter : DemandMeter
        Demand at this instance.
    demand : Demand
        Demand of the fleet; empty while the service isn't contended.
    places : Places
        Places at its servers.
    """

    def __init__(self, service):
        self.service = service
        self.meter = DemandMeter()
        self.demand = Demand()
        self.places = Places()
        self.state = ContentionState()
        self.refreshed_at = float("-inf")


class ManifestOrder:
    """What a manifest says about the order of requests for a service.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    service : ServiceName
        The service.
    """

    def __init__(self, manifest, service):
        self._manifest = manifest
        self._service = service

    @cached_property
    def ranks(self):
        """All priorities that requests may have, in order."""
        return list_ranks(self._manifest, self._service)

    @cached_property
    def accounts(self):
        """Number of accounts among which the service is shared."""
        manifest = self._manifest
        return len(set(manifest.accounts.values())) if manifest.needs_keys else 0

    @property
    def is_needed(self):
        """Whether requests or accounts differ at all."""
        return len(self.ranks) > 1 or self.accounts > 1


class ContentionControl:
    """Observes for which services requests compete.

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
        Draws whose turn it is, and who is refused.
    """

    def __init__(self, servers, shared, metrics, clock, random):
        self.servers = servers
        self.metrics = metrics
        self.clock = clock
        self.random = random
        self._shared = shared
        self._services = {}
        self._orders = {}
        self._manifest = None

    def find_order(self, manifest, service):
        """Return the ManifestOrder of a service."""
        if manifest is not self._manifest:
            self._manifest = manifest
            self._orders = {}
        if service not in self._orders:
            self._orders[service] = ManifestOrder(manifest, service)
        return self._orders[service]

    def find_service(self, service):
        """Return the ServiceContention of a service, as it is now."""
        if service not in self._services:
            self._services[service] = ServiceContention(service)
        found = self._services[service]
        self._refresh(found)
        return found

    def list_demands(self):
        """Return the Demand of this instance for each contended service."""
        now = self.clock()
        for found in self._services.values():
            self._refresh(found)
        return {
            service: found.meter.measure(now)
            for service, found in self._services.items()
            if found.state.is_contended
        }

    def _refresh(self, found):
        now = self.clock()
        if now - found.refreshed_at < REFRESH_INTERVAL_S:
            return
        found.refreshed_at = now
        found.places = self.servers.count_places(found.service, now)
        if found.state.update(found.places, now):
            self._report_change(found)
        if not found.state.is_contended:
            found.demand = Demand()
            return
        others = self._shared.find_others(found.service, now)
        found.demand = found.meter.measure(now).add(others)

    def _report_change(self, found):
        is_contended = found.state.is_contended
        self.metrics.contended.labels(found.service).set(is_contended)
        log.info(
            "service contended" if is_contended else "service not contended any more",
            service=found.service,
            servers=found.places.servers,
            slots=found.places.slots,
            taken=found.places.taken,
            waiting=found.places.waiting,
        )
