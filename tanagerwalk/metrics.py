"""Counters and gauges of an entry instance, for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .outcomes import HaltCause, RatingLoss, RefusalReason, RetryReason

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0)


class Metrics:
    """All metrics of one entry instance, in a registry of their own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._count("requests", "Requests answered.", ["work_class"])
        self.refusals = self._count("refusals", "Requests refused.", ["reason"])
        self.retries = self._count("retries", "Attempts repeated.", ["reason"])
        self.late = self._count("late", "Answers past their target.", ["work_class"])
        self.cost = self._count("cost", "Cost of answers.", ["work_class"])
        self.escalations = self._count(
            "escalations",
            "Cascade steps that were not the last word.",
            ["work_class", "reason"],
        )
        self.dropped_ratings = self._count(
            "dropped_ratings", "Ratings given up.", ["reason"]
        )
        self.replans = self._count(
            "replans", "Plans replaced before anything was sent.", ["reason"]
        )
        self.below_target = self._count(
            "below_target", "Answers given below their target.", ["work_class"]
        )
        self.halts = self._count("halts", "Versions halted here.", ["cause"])
        self.halted = self._gauge("halted", "Halts known, of all declarations.")
        self.spared = self._gauge("spared", "Classes that a halted version serves.")
        self.exposure_lost = self._count(
            "exposure_lost", "Unrated answers of candidates that were written off."
        )
        self.exposure_reclaimed = self._count(
            "exposure_reclaimed", "Grants taken back from instances that are gone."
        )
        self.blames = self._count(
            "blames", "Broken connections, by whether the request is blamed.", ["kind"]
        )
        self.hedges = self._count("hedges", "Calls sent twice.", ["outcome"])
        self.hang_ups = self._count("hang_ups", "Callers that did not wait.")
        self.platform_faults = self._count(
            "platform_faults", "Failed calls to the platform.", ["service"]
        )
        self.latency = Histogram(
            "tanagerwalk_latency_seconds",
            "Time to the whole answer.",
            ["work_class"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.orders = self._count("orders", "Orders to engines.", ["kind", "outcome"])
        self.lease_held = self._gauge("lease_held", "Whether this instance orders.")
        self.waiting = self._gauge("waiting", "Requests that wait for room.")
        self.bills_at_risk = self._count(
            "bills_at_risk", "Bills that neither store nor peer took at once."
        )
        self.bills_unwritten = self._gauge(
            "bills_unwritten", "Own bills that the store has not confirmed."
        )
        self.bill_batches_held = self._gauge(
            "bill_batches_held", "Copies of peers' batches of bills."
        )
        self.claims_open = self._gauge(
            "claims_open", "Own claims whose end the store does not show yet."
        )
        self.store_calls = self._gauge("store_calls", "Calls with batched writes.")
        self.store_writes = self._gauge("store_writes", "Writes in those calls.")
        self.patch_misfits = self._count(
            "patch_misfits", "Patches of the declaration for another text."
        )
        self.revision = self._gauge("revision", "Revision of the declaration in force.")
        for kind in ("blamed", "unconfirmed", "correlated"):
            self.blames.labels(kind)
        for outcome in ("won", "lost", "dropped", "failed"):
            self.hedges.labels(outcome)
        self.exchanges = self._count(
            "exchanges", "Exchanges that this instance started.", ["outcome"]
        )
        self.facts_received = self._count("facts_received", "New facts from peers.")
        self.declarations_fetched = self._count(
            "declarations_fetched", "Declarations that a peer gave."
        )
        self.peer_bytes = self._gauge("peer_bytes", "Bytes to and from peers.")
        self.leaving_inferred = self._count(
            "leaving_inferred", "Servers taken for leaving because of their refusals."
        )
        for reason in RefusalReason:
            self.refusals.labels(reason.value)
        for reason in RetryReason:
            self.retries.labels(reason.value)

        for loss in RatingLoss:
            self.dropped_ratings.labels(loss.value)
        for cause in HaltCause:
            self.halts.labels(cause.value)

    def _count(self, name, text, labels=()):
        return Counter(f"tanagerwalk_{name}", text, labels, registry=self.registry)

    def _gauge(self, name, text):
        return Gauge(f"tanagerwalk_{name}", text, registry=self.registry)
