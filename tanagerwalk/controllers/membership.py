"""Updates backend servers and peers from the platform's list of instances."""

import structlog

from ..decisions.facts import Topic
from ..ids import Incarnation
from .loop import run_periodically

log = structlog.get_logger(__name__)

LISTED_LIFETIME_S = 600.0
LISTED = b"listed"
INFERRED = b"inferred"


class MembershipController:
    """Reads the list of instances and tells peers which servers are leaving.

    Parameters
    ----------
    targets : TargetsClient
        Reads the list.
    table : ServerTable
        Stores the backend servers.
    facts : FactTable
        Distributes leaving servers between instances.
    interval : float
        Mean time between two reads of the list, in seconds.
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
        """Read the list periodically until cancelled."""
        await run_periodically(self.step, self._interval, self._random)

    async def step(self):
        """Read the list once; if the read fails, keep the last one."""
        result = await self._targets.read()
        if result.is_error():
            self._metrics.platform_faults.labels("instances").inc()
            log.warning("cannot read the list of instances", cause=result.error)
        else:
            self._table.update_records(result.ok.servers)
            self.peers = result.ok.peers
        now = self._clock()
        self._table.expire_leaving(now)
        self._publish_leaving(now)

    def list_live(self):
        """Return incarnations of listed entry instances, or None if none is listed."""
        if not self.peers:
            return None
        return frozenset(peer.incarnation for peer in self.peers)

    def list_peers(self):
        """Return the entry instances in the last list from the platform."""
        return self.peers

    def _apply_leaving_fact(self, fact):
        incarnation = Incarnation(fact.key)
        if fact.value == LISTED:
            self._table.mark_incarnation_leaving(incarnation)
        else:
            self._table.infer_leaving(incarnation, fact.expires)

    def _publish_leaving(self, now):
        """Publish leaving servers that no instance has published yet."""
        listed = {fact.key for fact in self._facts.list_facts(Topic.LEAVING)}
        leaving_tracker = self._table.leaving_tracker
        for incarnation, until in leaving_tracker.list_inferred().items():
            if incarnation not in listed:
                self._metrics.leaving_inferred.inc()
                lifetime = until - now
                self._facts.publish(Topic.LEAVING, incarnation, INFERRED, now, lifetime)
        for server in self._table.servers.values():
            incarnation = server.record.incarnation
            if incarnation in listed or not leaving_tracker.is_confirmed(incarnation):
                continue
            # All instances read the same list, so each publishes with a probability of
            # one in the number of peers; about one of them does.
            if self._random.random() * max(1, len(self.peers)) < 1.0:
                self._facts.publish(
                    Topic.LEAVING, incarnation, LISTED, now, LISTED_LIFETIME_S
                )
