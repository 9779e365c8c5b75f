"""Acquires and renews the lease for orders to the engines of a failure domain."""

import asyncio
import time

import structlog

from ..decisions.leases import DomainLease, LeasePhase, LeaseTimes, rank_instance

log = structlog.get_logger(__name__)

MAX_SLEEP_S = 1.0


def read_boottime_clock():
    """Return monotonic time in seconds, including time spent in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseController:
    """Runs the store requests of the state machine of a domain's lease.

    Parameters
    ----------
    store : KeyValueClient
        Stores the lease.
    home : Home
        Location of this instance.
    incarnation : Incarnation
        Incarnation of this instance.
    membership : MembershipController
        Lists the live instances.
    settings : OrderSettings
        Durations that apply to the lease.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        store,
        home,
        incarnation,
        membership,
        settings,
        metrics,
        clock=read_boottime_clock,
    ):
        times = LeaseTimes(
            settings.lease_ttl, settings.lease_margin, settings.look_interval
        )
        self.lease = DomainLease(home.failure_domain, incarnation, times)
        self._store = store
        self._home = home
        self._incarnation = incarnation
        self._membership = membership
        self._ttl = settings.lease_ttl
        self._metrics = metrics
        self._clock = clock
        metrics.lease_held.set_function(lambda: self.may_order(checks_fencing=True))
        self._steps = {
            LeasePhase.SEEKING: self._read_lease,
            LeasePhase.GRANTING: self._grant,
            LeasePhase.CREATING: self._create,
            LeasePhase.IN_DOUBT: self._read_lease,
            LeasePhase.HELD: self._renew,
        }

    def may_order(self, checks_fencing):
        """Return whether this instance may send an order now."""
        return self.lease.may_order(self._clock(), checks_fencing)

    def record_fenced(self, token):
        """Record that an engine rejected the fencing token of an order."""
        log.warning("order rejected because of its fencing token", token=token)
        self.lease.record_fenced(token, self._clock())

    async def run(self):
        """Acquire and renew the lease until cancelled or released."""
        while not self.lease.resigned:
            pause = self.lease.due - self._clock()
            if pause > 0:
                await asyncio.sleep(min(pause, MAX_SLEEP_S))
                continue
            await self.step()

    async def step(self):
        """Run the request of the current lease phase."""
        before = self.lease.phase
        await self._steps[before]()
        if (before is LeasePhase.HELD) != (self.lease.phase is LeasePhase.HELD):
            log.info(
                "lease changed",
                phase=self.lease.phase.value,
                token=self.lease.token,
                failure_domain=self._home.failure_domain,
            )

    async def release(self):
        """Release the lease for good so that another instance can acquire it."""
        number = self.lease.resign()
        if number:
            self._count_if_fault(await self._store.revoke_lease(number))

    async def _read_lease(self):
        result = self._count_if_fault(await self._store.get(self.lease.key))
        if result.is_error():
            self.lease.record_read_failure(self._clock())
            return
        self.lease.record_entry(result.ok, self._clock(), self._compute_rank())

    async def _grant(self):
        sent_at = self._clock()
        result = self._count_if_fault(await self._store.grant_lease(self._ttl))
        self.lease.record_grant(result, sent_at, self._clock())

    async def _create(self):
        lease = self.lease
        result = await self._store.create(lease.key, lease.value, lease.lease)
        self._count_if_fault(result)
        lease.record_create(result, self._clock())

    async def _renew(self):
        sent_at = self._clock()
        result = self._count_if_fault(await self._store.keep_lease(self.lease.lease))
        self.lease.record_renewal(result, sent_at, self._clock())

    def _count_if_fault(self, result):
        if result.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
        return result

    def list_domain_instances(self):
        """Return the listed entry instances of this domain that are not leaving."""
        return [
            peer.incarnation
            for peer in self._membership.peers
            if peer.failure_domain == self._home.failure_domain and not peer.leaving
        ]

    def _compute_rank(self):
        domain = self._home.failure_domain
        return rank_instance(domain, self._incarnation, self.list_domain_instances())
