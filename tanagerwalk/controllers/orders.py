"""Orders the engines of this failure domain to load and unload versions."""

import structlog

from ..decisions.allotments import list_version_needs
from ..decisions.orders import Order, OrderOutcome
from ..decisions.placement import MoveKind, plan_moves
from ..decisions.servers import ServerRole
from ..outcomes import VersionState
from .loop import BackgroundTasks, run_periodically

log = structlog.get_logger(__name__)


class OrderController:
    """Compares loaded with needed versions and sends load and unload orders.

    Parameters
    ----------
    leases : LeaseController
        Tells whether this instance may send orders.
    client : OrderClient
        Sends orders.
    tracker : OrderTracker
        Tracks orders that were sent.
    table : ServerTable
        Holds the load reports of engines.
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutTracker
        Tells which versions are halted.
    demand : DemandMeter
        Estimates the demand for each version on this instance.
    settings : OrderSettings
        Intervals and limits.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.

    Attributes
    ----------
    unload_delay : float
        Seconds for which a withdrawn version stays loaded so that its requests can end.
    """

    def __init__(
        self,
        leases,
        client,
        tracker,
        table,
        configuration,
        rollouts,
        demand,
        settings,
        metrics,
        clock,
        random,
    ):
        self._leases = leases
        self._client = client
        self._tracker = tracker
        self._table = table
        self._configuration = configuration
        self._rollouts = rollouts
        self._demand = demand
        self._settings = settings
        self.unload_delay = settings.unload_delay
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._send_tasks = BackgroundTasks()
        self._withdrawn_since = {}

    async def run(self):
        """Reconcile periodically until cancelled."""
        try:
            await run_periodically(self.step, self._settings.interval, self._random)
        finally:
            self._send_tasks.cancel()

    async def step(self):
        """Start the orders that are due now.

        Raises
        ------
        Exception
            The exception of an earlier order; indicates a broken invariant.
        """
        self._send_tasks.raise_failure()
        if not self._leases.may_order(checks_fencing=True):
            return
        now = self._clock()
        if not self._configuration.ready or self._configuration.is_stale(now):
            return
        engines = self._tracker.observe(self.list_engines(now), now)
        moves = plan_moves(self.list_needs(), engines, self._settings.loads_at_once)
        self._record_withdrawals(now)
        for move in moves:
            record = self._table.servers[move.server].record
            if not self._leases.may_order(record.checks_fencing):
                continue
            if move.kind is MoveKind.UNLOAD and self._may_be_in_use(move.version, now):
                continue
            self._tracker.record_start(move)
            self._send_tasks.start(self._send(move, record))

    def _record_withdrawals(self, now):
        versions = self._configuration.declaration.versions.values()
        withdrawn = {v.name for v in versions if v.state is VersionState.WITHDRAWN}
        since = self._withdrawn_since
        self._withdrawn_since = {name: since.get(name, now) for name in withdrawn}

    def _may_be_in_use(self, version, now):
        """Return whether a withdrawn version may still run requests somewhere."""
        since = self._withdrawn_since.get(version)
        return since is not None and now < since + self.unload_delay

    def list_engines(self, now):
        """Return the engines of this failure domain whose report is fresh."""
        return [
            server
            for server in self._table.servers.values()
            if server.record.role is ServerRole.ENGINE
            and server.record.failure_domain == self._table.home.failure_domain
            and not server.leaving
            and now - server.load_reported_at <= self._table.load_stale_after
        ]

    def list_needs(self):
        """Return the versions that this failure domain needs."""
        return list_version_needs(
            self._configuration.declaration,
            self._rollouts.is_halted,
            self._estimate_demand,
        )

    def _estimate_demand(self, version):
        """Return the number of this domain's engines that a version's demand needs.

        The load balancer distributes callers evenly, so the demand on this instance
        is multiplied by the number of instances in the domain.
        """
        now = self._clock()
        instances = max(1, len(self._leases.list_domain_instances()))
        running = self._demand.estimate(version, now) * instances
        limits = [server.limit for server in self.list_engines(now)]
        return running * len(limits) / sum(limits) if limits else 0.0

    def report_status(self):
        """Return the lease and the orders for the status page."""
        lease = self._leases.lease
        needs = sorted(self.list_needs().items())
        return {
            "holder": lease.holder,
            "phase": lease.phase.value,
            "may_order": self._leases.may_order(checks_fencing=True),
            "token": lease.token,
            "under_way": len(self._send_tasks),
            "wanted_copies": {name: need.floor for name, need in needs},
        }

    async def _send(self, move, record):
        outcome, retry_after = await self._send_if_valid(move, record)
        kind = move.kind.value
        self._metrics.orders.labels(kind, outcome.value).inc()
        log.info(
            "order ended",
            kind=kind,
            server=move.server,
            version=move.version,
            outcome=outcome.value,
        )
        self._tracker.record_outcome(move, outcome, self._clock(), retry_after)

    async def _send_if_valid(self, move, record):
        if self._is_outdated(move):
            return OrderOutcome.OUTDATED, None
        # There must be no await between this check and sending the order.
        if not self._leases.may_order(record.checks_fencing):
            return OrderOutcome.LEASE_LAPSED, None
        order = Order(move, record.address, self._leases.lease.token)
        answer = await self._client.send(order)
        if answer.outcome is OrderOutcome.FENCED:
            self._leases.record_fenced(order.token)
        return answer.outcome, answer.retry_after

    def _is_outdated(self, move):
        """Return whether a move no longer applies because the declaration changed."""
        version = self._configuration.declaration.versions.get(move.version)
        if move.kind is MoveKind.LOAD:
            return version is None or version.state is VersionState.WITHDRAWN
        return False
