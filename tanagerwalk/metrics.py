"""Prometheus metrics of an entry instance."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .outcomes import HaltCause, RefusalReason, RetryReason, UnratedReason

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0)


class Metrics:
    """All metrics of one entry instance, in a registry per instance."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._add_counter(
            "requests", "Requests answered.", ["work_class"]
        )
        self.refusals = self._add_counter("refusals", "Requests refused.", ["reason"])
        self.retries = self._add_counter("retries", "Attempts repeated.", ["reason"])
        self.late = self._add_counter(
            "late", "Answers past their target.", ["work_class"]
        )
        self.cost = self._add_counter("cost", "Cost of answers.", ["work_class"])
        self.escalations = self._add_counter(
            "escalations",
            "Cascade steps that were not the last word.",
            ["work_class", "reason"],
        )
        self.dropped_ratings = self._add_counter(
            "dropped_ratings", "Ratings given up.", ["reason"]
        )
        self.replans = self._add_counter(
            "replans", "Plans replaced before anything was sent.", ["reason"]
        )
        self.below_target = self._add_counter(
            "below_target", "Answers given below their target.", ["work_class"]
        )
        self.halts = self._add_counter("halts", "Versions halted here.", ["cause"])
        self.halted = self._add_gauge("halted", "Halts known, of all declarations.")
        self.spared = self._add_gauge("spared", "Classes that a halted version serves.")
        self.exposure_lost = self._add_counter(
            "exposure_lost", "Unrated answers of candidates that were written off."
        )
        self.exposure_reclaimed = self._add_counter(
            "exposure_reclaimed", "Grants taken back from instances that are gone."
        )
        self.blames = self._add_counter(
            "blames", "Broken connections, by whether the request is blamed.", ["kind"]
        )
        self.hedges = self._add_counter("hedges", "Calls sent twice.", ["outcome"])
        self.hang_ups = self._add_counter("hang_ups", "Callers that did not wait.")
        self.platform_faults = self._add_counter(
            "platform_faults", "Failed calls to the platform.", ["service"]
        )
        self.controller_restarts = self._add_counter(
            "controller_restarts", "Controllers started again.", ["controller"]
        )
        self.latency = Histogram(
            "tanagerwalk_latency_seconds",
            "Time to the whole answer.",
            ["work_class"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.orders = self._add_counter(
            "orders", "Orders to engines.", ["kind", "outcome"]
        )
        self.lease_held = self._add_gauge("lease_held", "Whether this instance orders.")
        self.waiting = self._add_gauge("waiting", "Requests that wait for room.")
        self.bills_at_risk = self._add_counter(
            "bills_at_risk", "Bills that neither store nor peer took at once."
        )
        self.bills_unwritten = self._add_gauge(
            "bills_unwritten", "Own bills that the store has not confirmed."
        )
        self.bill_batches_held = self._add_gauge(
            "bill_batches_held", "Copies of peers' batches of bills."
        )
        self.claims_open = self._add_gauge(
            "claims_open", "Own claims whose end the store does not show yet."
        )
        self.store_calls = self._add_gauge("store_calls", "Calls with batched writes.")
        self.store_writes = self._add_gauge("store_writes", "Writes in those calls.")
        self.patch_misfits = self._add_counter(
            "patch_misfits", "Patches of the declaration for another text."
        )
        self.revision = self._add_gauge(
            "revision", "Revision of the declaration in force."
        )
        for kind in ("blamed", "unconfirmed", "correlated"):
            self.blames.labels(kind)
        for outcome in ("won", "lost", "dropped", "failed"):
            self.hedges.labels(outcome)
        self.exchanges = self._add_counter(
            "exchanges", "Exchanges that this instance started.", ["outcome"]
        )
        self.facts_received = self._add_counter(
            "facts_received", "New facts from peers."
        )
        self.declarations_fetched = self._add_counter(
            "declarations_fetched", "Declarations that a peer gave."
        )
        self.peer_bytes = self._add_gauge("peer_bytes", "Bytes to and from peers.")
        self.leaving_inferred = self._add_counter(
            "leaving_inferred", "Servers taken for leaving because of their refusals."
        )
        for reason in RefusalReason:
            self.refusals.labels(reason.value)
        for reason in RetryReason:
            self.retries.labels(reason.value)

        for unrated in UnratedReason:
            self.dropped_ratings.labels(unrated.value)
        for cause in HaltCause:
            self.halts.labels(cause.value)

    def watch_bounds(self, bounds):
        """Add the metrics of memory and of the connections of callers.

        Parameters
        ----------
        bounds : ConnectionBounds
            What they are read from.
        """
        budget = bounds.memory.budget
        memory = self._add_gauge("memory_used", "Bytes that bodies and answers take.")
        memory.set_function(lambda: budget.used)
        capacity = self._add_gauge("memory_capacity", "Bytes that they may take.")
        capacity.set(budget.capacity)
        peak = self._add_gauge("memory_peak", "Most bytes that they ever took.")
        peak.set_function(lambda: budget.peak)
        unread = self._add_gauge("unread", "Bytes of answers that callers don't read.")
        unread.set_function(lambda: bounds.memory.unread)
        closed = self._add_labelled_gauge(
            "connections_closed", "Callers' connections closed at a limit.", ["reason"]
        )
        closed.labels("idle").set_function(lambda: bounds.closed_idle)
        closed.labels("new").set_function(lambda: bounds.reset_new)
        closed.labels("reader_stopped").set_function(lambda: bounds.reset_stalled)

    def _add_labelled_gauge(self, name, text, labels):
        return Gauge(f"tanagerwalk_{name}", text, labels, registry=self.registry)

    def _add_counter(self, name, text, labels=()):
        return Counter(f"tanagerwalk_{name}", text, labels, registry=self.registry)

    def _add_gauge(self, name, text):
        return Gauge(f"tanagerwalk_{name}", text, registry=self.registry)
