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
        self._create_request_metrics()
        self._create_choice_metrics()
        self._create_defect_metrics()
        self._create_answer_metrics()
        self._create_state_metrics()
        self._create_server_metrics()
        self._create_memory_metrics()
        self._create_descriptor_metrics()

    def _create_request_metrics(self):
        self.requests = self._create_counter("requests", "Requests by end.", ["end"])
        self.refusals = self._create_counter(
            "refusals", "Refusals by reason.", ["reason"]
        )
        self.attempts = self._create_counter(
            "attempts", "Attempts by outcome.", ["outcome"]
        )
        self.distances = self._create_counter(
            "attempt_distances", "Attempts by distance to the server.", ["distance"]
        )

    def _create_choice_metrics(self):
        self.departures = self._create_gauge(
            "departures",
            "Servers chosen outside the own failure domain so far by reason.",
            ["reason"],
        )
        self.leaving_share = self._create_gauge(
            "leaving_share",
            "Share of requests that leaves the own failure domain, the largest of all"
            " kinds of requests.",
            ["service"],
        )
        self.permits = self._create_counter(
            "permits", "Decisions on requests to brittle servers.", ["decision"]
        )
        self.priorities = self._create_counter(
            "priorities", "Attempts by the priority given to engines.", ["priority"]
        )
        self.contended = self._create_gauge(
            "contended", "Whether requests compete for places.", ["service"]
        )

    def _create_defect_metrics(self):
        self.controller_restarts = self._create_counter(
            "controller_restarts", "Controllers started again.", ["controller"]
        )
        self.subscriber_failures = self._create_counter(
            "subscriber_failures", "Exceptions of subscribers.", ["subscriber"]
        )

    def _create_answer_metrics(self):
        self.latency = Histogram(
            "tanagerwalk_gateway_seconds",
            "Time until the end of the answer.",
            ["route"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.stalled_readers = Counter(
            "tanagerwalk_gateway_stalled_readers",
            "Connections reset because their clients read no answer.",
            registry=self.registry,
        )
        self.unanswered = self._create_counter(
            "unanswered",
            "Client connections that ended while an answer was owed, by cause.",
            ["cause"],
        )

    def _create_state_metrics(self):
        self.manifest_age = self._create_gauge(
            "manifest_age_seconds", "Time since the manifest was confirmed."
        )
        self.store_calls = self._create_gauge(
            "store_calls", "Calls to the store so far."
        )
        self.session_contradictions = self._create_gauge(
            "session_contradictions",
            "Times that two instances knew another release of one session.",
        )
        self.evacuated = self._create_gauge(
            "evacuated", "1 for each evacuated failure domain.", ["failure_domain"]
        )
        self.in_flight = self._create_gauge(
            "in_flight", "Requests that are being answered."
        )

    def _create_server_metrics(self):
        self.cold_servers = self._create_gauge(
            "cold_servers", "Servers that are cold and get few requests."
        )
        self.limit_waits = self._create_gauge(
            "limit_waits", "Times so far that a request waited for a limited server."
        )
        self.limit_refusals = self._create_gauge(
            "limit_refusals", "Requests so far for which that wait was too long."
        )
        self.limit_slots = self._create_counter(
            "limit_slots", "Questions for slots of other instances.", ["answer"]
        )
        self.uneven_servers = self._create_gauge(
            "uneven_servers", "Servers lastingly slower or faster than the others."
        )

    def _create_memory_metrics(self):
        self.memory_used = self._create_gauge(
            "memory_used_bytes", "Memory of requests and answers."
        )
        self.store_copy_memory = self._create_gauge(
            "store_copy_bytes", "Memory of the copy of the store."
        )
        self.memory_capacity = self._create_gauge(
            "memory_capacity_bytes", "Memory that requests and answers may take."
        )
        self.waiting_answers = self._create_gauge(
            "waiting_answers", "Answers that are not read on for lack of memory."
        )
        self.resident_memory = self._create_gauge(
            "resident_memory_bytes", "Memory of the process."
        )

    def _create_descriptor_metrics(self):
        self.descriptors = self._create_gauge(
            "descriptors", "Descriptors in use by kind.", ["kind"]
        )
        self.descriptors_refused = self._create_gauge(
            "descriptors_refused", "Descriptors refused so far by kind.", ["kind"]
        )
        self.client_resets = self._create_gauge(
            "client_resets", "New client connections reset so far for want of room."
        )
        self.client_idle_closed = self._create_gauge(
            "client_idle_closed", "Idle client connections closed so far for new ones."
        )
        self.client_slow_refused = self._create_gauge(
            "client_slow_refused", "Slow requests refused so far for new connections."
        )

    def count_attempt(self, outcome, distance):
        """Count an attempt by its Outcome and the Distance to the server."""
        self.attempts.labels(outcome.value).inc()
        self.distances.labels(distance.value).inc()

    def set_departures(self, chooser, now):
        """Take over the figures of a LocalServerChooser."""
        for reason, count in chooser.departures.items():
            self.departures.labels(reason.value).set(count)
        self.leaving_share.clear()
        for service, share in chooser.spillovers.find_shares(now).items():
            self.leaving_share.labels(service).set(share)

    def set_descriptors(self, budget, admission):
        """Take over the figures of a DescriptorBudget and a ClientAdmission."""
        for kind, part in budget.parts.items():
            self.descriptors.labels(kind.value).set(part.used)
            self.descriptors_refused.labels(kind.value).set(part.refused)
        self.client_resets.set(admission.resets)
        self.client_idle_closed.set(admission.closed_idle)
        self.client_slow_refused.set(admission.refused_slow)

    def set_limits(self, limits, now):
        """Take over the figures of ServerLimits."""
        self.cold_servers.set(limits.cold.count(now))
        self.limit_waits.set(limits.wait_count)
        self.limit_refusals.set(limits.refusal_count)

    def render(self):
        """Return all metrics as a page of text."""
        return generate_latest(self.registry)

    def _create_gauge(self, name, text, labels=()):
        return Gauge(
            f"tanagerwalk_gateway_{name}", text, labels, registry=self.registry
        )

    def _create_counter(self, name, text, labels):
        return Counter(
            f"tanagerwalk_gateway_{name}", text, labels, registry=self.registry
        )
