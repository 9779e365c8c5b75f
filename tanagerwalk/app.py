"""Composition root: wires the parts of an entry instance."""

import asyncio
import random
import time
import uuid

import structlog

from .api.admin import AdminApi
from .api.callers import CallersApi
from .chains import build_chain
from .controllers.configuration import ConfigurationController
from .controllers.evidence import EvidenceController
from .controllers.exchange import ExchangeController
from .controllers.exposure import ExposureController
from .controllers.halts import HaltController
from .controllers.leases import LeaseController
from .controllers.load import LoadController
from .controllers.loop import poll_until
from .controllers.membership import MembershipController
from .controllers.orders import OrderController
from .controllers.rollouts import RolloutController
from .decisions.admission import AdmissionQueue, DurationEstimates
from .decisions.configuration import ConfigurationState
from .decisions.demand import DemandMeter
from .decisions.facts import FactTable
from .decisions.orders import OrderTracker
from .decisions.partners import PartnerChooser
from .decisions.quarantine import Quarantine
from .decisions.ratings import RatingGate
from .decisions.servers import Home, ServerTable
from .decisions.version_rollouts import RolloutTracker
from .gate import Gate
from .ids import Incarnation
from .metrics import Metrics
from .outside import OutsideClients
from .peers.reconcile import ByteBudget, Reconciler
from .planning import Planning
from .records import RecordInputs, Records
from .status import describe_instance
from .supervisor import Supervisor

log = structlog.get_logger(__name__)

DRAIN_POLL_S = 0.02
SLOW_BURST_BYTES = 64 * 1024


class EntryInstance:
    """One entry instance: listeners, filter chain and controllers.

    Build it inside a running event loop.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the epoch.
    seed : int or None
        Seed of jitter and sampling; None for a random one.
    """

    def __init__(self, settings, clock=time.monotonic, wall_clock=time.time, seed=None):
        self.settings = settings
        self.incarnation = Incarnation(f"{settings.instance.id}.{uuid.uuid4().hex}")
        self.metrics = Metrics()
        self.clock = clock
        self.wall_clock = wall_clock
        self.random = random.Random(seed)
        self.supervisor = Supervisor()
        self.outside = OutsideClients(settings)
        self.store = self.outside.store
        self._wire_state()
        self._wire_controllers()
        self._wire_apis()

    def _wire_state(self):
        settings = self.settings
        place = settings.instance
        home = Home(place.region, place.failure_domain, place.id)
        self.configuration = ConfigurationState(settings.configuration.stale_after)
        self.table = ServerTable(home, settings.limits, settings.load.stale_after)
        self.durations = DurationEstimates()
        self.book = RolloutTracker(self.incarnation, settings.rollouts.false_alarm)
        self.facts = FactTable(self.incarnation)
        self.metrics.spared.set_function(lambda: len(self.book.spared))
        self.demand = DemandMeter()
        self.quarantine = Quarantine(settings.quarantine)
        rollouts = settings.rollouts
        self.rating_gate = RatingGate(rollouts.rating_rate, rollouts.rating_burst)
        self.planning = Planning(
            self.configuration,
            self.table,
            self.durations,
            self.book,
            self.rating_gate,
            settings,
            self.clock,
            self.random,
        )
        queue = AdmissionQueue(self.table, self.durations, settings.limits.queue_length)
        self.gate = Gate(queue, self.table, self.planning.expect_duration, self.clock)
        self.metrics.waiting.set_function(lambda: len(queue))

    def _wire_controllers(self):
        settings = self.settings
        self.configuring = ConfigurationController(
            self.store,
            self.configuration,
            settings.configuration,
            self.metrics,
            self.clock,
            self.random,
        )
        self.membership = MembershipController(
            self.outside.targets,
            self.table,
            self.facts,
            settings.platform.instances_interval,
            self.metrics,
            self.clock,
            self.random,
        )
        self._wire_exchange()
        self._wire_orders()
        self.load = LoadController(
            self.outside.engines,
            self.outside.services,
            self.table,
            self.gate,
            settings.load,
            self.clock,
            self.random,
            self._count_sharers,
        )
        self._wire_rollouts()
        self.records = Records(
            RecordInputs(
                settings,
                self.store,
                self.outside.peer_client,
                self.outside.peer_server,
                self.membership,
                self.table.home,
                self.incarnation,
                self.metrics,
                self.clock,
                self.wall_clock,
                self.random,
            )
        )

    def _wire_rollouts(self):
        settings = self.settings.rollouts
        self.halting = HaltController(
            self.book,
            self.store,
            self.facts,
            settings,
            self.metrics,
            self.clock,
            self.random,
        )
        self.configuring.add_listener(self._heed_declaration)
        self.rollouts = RolloutController(
            self.book,
            self.configuration,
            self.outside.ratings,
            self.rating_gate,
            settings,
            self.metrics,
            self.clock,
            self.random,
            self.membership.list_live,
            on_halt=self.halting.halt,
        )
        self.evidence = EvidenceController(
            self.rollouts,
            self.facts,
            settings,
            self.clock,
            self.wall_clock,
            self.random,
            self.membership.list_live,
        )
        self.exposing = ExposureController(
            self.book,
            self.configuration,
            self.store,
            self.incarnation,
            settings,
            self.metrics,
            self.clock,
            self.random,
        )

    def _wire_orders(self):
        self.leases = LeaseController(
            self.store,
            self.table.home,
            self.incarnation,
            self.membership,
            self.settings.orders,
            self.metrics,
        )
        self.ordering = OrderController(
            self.leases,
            self.outside.orders,
            OrderTracker(self.settings.orders.report_lag),
            self.table,
            self.configuration,
            self.book,
            self.demand,
            self.settings.orders,
            self.metrics,
            self.clock,
            self.random,
        )

    def _wire_exchange(self):
        settings = self.settings
        budget = ByteBudget(settings.peers.slow_rate, SLOW_BURST_BYTES)
        partners = PartnerChooser(
            self.incarnation, self.table.home, settings.peers.cross_domain, self.random
        )
        self.exchange = ExchangeController(
            self.facts,
            Reconciler(self.facts, budget, self.random),
            self.configuring,
            self.configuration,
            partners,
            self.outside.peer_client,
            self.membership.list_peers,
            settings.peers,
            self.metrics,
            self.clock,
            self.wall_clock,
            self.random,
        )
        self.exchange.register_handlers(self.outside.peer_server)
        self.metrics.peer_bytes.set_function(self.outside.count_peer_bytes)

    def _heed_declaration(self):
        self.book.configure(self.configuration.declaration)
        self.halting.request_poll()

    def _wire_apis(self):
        settings = self.settings
        self.callers = CallersApi(
            build_chain(self),
            self.is_ready,
            self.metrics,
            self.clock,
            settings.limits.request_size,
        )
        self.admin = AdminApi(self.metrics, lambda: describe_instance(self))

    def _count_sharers(self):
        domain = self.settings.instance.failure_domain
        return sum(
            peer.failure_domain == domain and not peer.leaving
            for peer in self.membership.peers
        )

    @property
    def failed(self):
        """Event that is set when an invariant is broken and the process has to end."""
        return self.supervisor.failed

    @property
    def peers_port(self):
        """The port that other entry instances reach this one at."""
        return self.outside.peer_server.port

    def is_ready(self):
        """Return whether requests can be served here."""
        is_informed = self.configuration.ready and self.halting.has_polled
        return is_informed and bool(self.table.servers)

    async def start(self):
        """Open the listeners and start the controllers.

        Raises
        ------
        OSError
            If an address is not to be had.
        """
        instance = self.settings.instance
        await self.callers.listener.start(instance.address, instance.callers_port)
        await self.admin.listener.start(instance.address, instance.admin_port)
        await self.outside.peer_server.start(instance.address, instance.peers_port)
        for run in (
            self.configuring.run,
            self.membership.run,
            self.exchange.run,
            self.load.run,
            self.rollouts.run,
            self.evidence.run,
            self.records.billing.run,
            self.records.holding.run,
            self.halting.run,
            self.exposing.run,
            self.leases.run,
            self.ordering.run,
            self.gate.run,
        ):
            self.supervisor.run(run())
        log.info(
            "listening",
            instance=instance.id,
            incarnation=self.incarnation,
            address=instance.address,
            callers_port=self.callers.listener.port,
            admin_port=self.admin.listener.port,
            peers_port=self.peers_port,
        )

    async def stop(self):
        """Stop without cutting a request in flight."""
        instance = self.settings.instance
        log.info("stopping", in_flight=self.callers.in_flight)
        self.supervisor.expect_ends()
        self.callers.draining = True
        await asyncio.sleep(instance.drain_notice)
        self.callers.stopping = True
        await self.callers.listener.stop()
        deadline = self.clock() + instance.drain_limit
        await poll_until(self._is_quiet, DRAIN_POLL_S, instance.drain_limit)
        await self.records.drain(max(0.0, deadline - self.clock()))
        await self.leases.release()
        await self.exposing.release()
        await self.close()
        log.info("stopped", in_flight=self.callers.in_flight)

    def _is_quiet(self):
        """Return whether every answer is sent and no claimed request runs."""
        open_connections = self.callers.listener.close_idle()
        in_flight = self.callers.in_flight or open_connections
        return not in_flight and not self.records.claims.has_runs()

    async def close(self):
        """Stop the controllers and close every connection at once."""
        await self.supervisor.close()
        await self.callers.listener.stop()
        await self.admin.listener.stop()
        await self.outside.close()
