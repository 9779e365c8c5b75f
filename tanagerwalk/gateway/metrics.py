"""Prometheus metrics of a gateway instance."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)


class GatewayMetrics:
    """Metrics of one gateway instance, in a separate collector registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._create_counter("requests", "Requests by end.", ["end"])
        self.refusals = self._create_counter(
            "refusals", "Refusals by reason.", ["reason"]
        )
        self.attempts = self._create_counter(
            "attempts", "Attempts by outcome.", ["outcome"]
        )
        self.controller_restarts = self._create_counter(
            "controller_restarts", "Controllers started again.", ["controller"]
        )
        self.subscriber_failures = self._create_counter(
            "subscriber_failures", "Exceptions of subscribers.", ["subscriber"]
        )
        self.latency = Histogram(
            "tanagerwalk_gateway_seconds",
            "Time until the end of the answer.",
            ["route"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.manifest_age = Gauge(
            "tanagerwalk_gateway_manifest_age_seconds",
            "Time since the manifest was confirmed.",
            registry=self.registry,
        )
        self.store_calls = Gauge(
            "tanagerwalk_gateway_store_calls",
            "Calls to the store so far.",
            registry=self.registry,
        )
        self.session_contradictions = Gauge(
            "tanagerwalk_gateway_session_contradictions",
            "Times that two instances knew another release of one session.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "tanagerwalk_gateway_in_flight",
            "Requests that are being answered.",
            registry=self.registry,
        )

    def render(self):
        """Return all metrics as a page of text."""
        return generate_latest(self.registry)

    def _create_counter(self, name, text, labels):
        return Counter(
            f"tanagerwalk_gateway_{name}", text, labels, registry=self.registry
        )
