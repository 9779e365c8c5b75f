"""Keeps the tables of backend servers and peers up to date from the platform."""

import structlog

from ..decisions.facts import Topic
from ..ids import Incarnation
from .loop import run_periodically

log = structlog.get_logger(__name__)

LISTED_LIFETIME_S = 600.0
LISTED = b"listed"
INFERRED = b"inferred"


class MembershipController:
    """Reads the platform's list of instances, and shares who is leaving.

    Parameters
    ----------
    targets : TargetsClient
        Reads the list.
    table : ServerTable
        Takes the backend servers.
    facts : FactTable
        Carries leaving servers to peers and from them.
    interval : float
        Mean time between readings, in seconds.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, targets, table, facts, interval, metrics, clock, random):
        self._targets = targets
        self._table = table
        self._facts = facts
        self._interval = interval
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self.peers = ()
        facts.subscribe(Topic.LEAVING, self._apply_leaving_fact)

    async def run(self):
        """Read the list until cancelled."""
        await run_periodically(self.step, self._interval, self._random)

    async def step(self):
        """Read the list once; during an outage the last one stays."""
        result = await self._targets.read()
        if result.is_error():
            self._metrics.platform_faults.labels("instances").inc()
            log.warning("instance list not read", cause=result.error)
        else:
            self._table.update_records(result.ok.servers)
            self.peers = result.ok.peers
        now = self._clock()
        self._table.expire_leaving(now)
        self._publish_leaving(now)

    def list_live(self):
        """Return incarnations of listed entry instances; None before the first list."""
        if not self.peers:
            return None
        return frozenset(peer.incarnation for peer in self.peers)

    def list_peers(self):
        """Return the entry instances that the platform listed last."""
        return self.peers

    def _apply_leaving_fact(self, fact):
        incarnation = Incarnation(fact.key)
        if fact.value == LISTED:
            self._table.mark_incarnation_leaving(incarnation)
        else:
            self._table.infer_leaving(incarnation, fact.expires)

    def _publish_leaving(self, now):
        """Tell peers of leaving servers that none of them has told of."""
        listed = {fact.key for fact in self._facts.list_facts(Topic.LEAVING)}
        leaving_tracker = self._table.leaving_tracker
        for incarnation, until in leaving_tracker.list_inferred().items():
            if incarnation not in listed:
                self._metrics.leaving_inferred.inc()
                lifetime = until - now
                self._facts.publish(Topic.LEAVING, incarnation, INFERRED, now, lifetime)
        for server in self._table.servers.values():
            incarnation = server.record.incarnation
            if incarnation in listed or not leaving_tracker.is_listed(incarnation):
                continue
            # All instances read the same list; one or two of them tell of it.
            if self._random.random() * max(1, len(self.peers)) < 1.0:
                self._facts.publish(
                    Topic.LEAVING, incarnation, LISTED, now, LISTED_LIFETIME_S
                )
