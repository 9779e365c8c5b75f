"""Renders the page of metrics, with the figures that are read on each request."""

from prometheus_client import CONTENT_TYPE_LATEST

from .probes import encode_ok_response
from .request_handler import MAX_REPORTED_AGE_S


class MetricsPage:
    """The page of metrics of an instance.

    Parameters
    ----------
    metrics : GatewayMetrics
        The metrics.
    limits : ProcessLimits
        Budgets of memory and descriptors.
    freshness : Freshness
        Knows the age of the manifest.
    store : MetadataStore
        Counts the calls to the store.
    assigner : ReleaseAssigner
        Counts contradictions about the releases of sessions.
    servers : ServerPool
        Knows the limits of servers, and why requests left the own failure domain.
    client_listener : Listener
        Counts the requests in flight.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        metrics,
        limits,
        freshness,
        store,
        assigner,
        servers,
        client_listener,
        clock,
    ):
        self._metrics = metrics
        self._limits = limits
        self._freshness = freshness
        self._store = store
        self._assigner = assigner
        self._servers = servers
        self._client_listener = client_listener
        self._clock = clock

    def render(self):
        """Return the page as an encoded HTTP response."""
        self._update()
        return encode_ok_response(self._metrics.render(), CONTENT_TYPE_LATEST)

    def _update(self):
        metrics = self._metrics
        self._limits.report(metrics)
        metrics.manifest_age.set(min(self._freshness.age, MAX_REPORTED_AGE_S))
        metrics.store_calls.set(self._store.calls)
        metrics.session_contradictions.set(self._assigner.count_contradictions())
        metrics.in_flight.set(self._client_listener.in_flight)
        now = self._clock()
        metrics.set_limits(self._servers.limits, now)
        if self._servers.prefers_local:
            metrics.set_departures(self._servers.chooser, now)
