"""Composition root: builds and connects the components of an entry instance."""

import asyncio
import random
import time
import uuid

import structlog

from .api.admin import AdminApi
from .api.callers import CallersApi
from .api.connections import ConnectionBounds
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
from .decisions.part_quarantine import PartQuarantine
from .decisions.partners import PartnerChooser
from .decisions.quarantine import Quarantine
from .decisions.ratings import RatingGate
from .decisions.rendezvous import find_rank
from .decisions.servers import Home, ServerTable
from .decisions.version_rollouts import RolloutTracker
from .descriptors import ADMIN_CONNECTIONS, find_max_connections
from .external import ExternalClients
from .gate import Gate
from .ids import Incarnation
from .memory import Memory, find_capacity
from .metrics import Metrics
from .peers.reconcile import ByteBudget, Reconciler
from .planning import PlanInputCollector
from .port_wait import listen_when_free
from .records import RecordDependencies, Records
from .status import describe_instance
from .supervisor import Supervisor

log = structlog.get_logger(__name__)

DRAIN_POLL_S = 0.02
# Time for callers to read the answers to requests that are cut.
FINAL_ANSWERS_S = 2.0
SLOW_BURST_BYTES = 64 * 1024


class EntryInstance:
    """One entry instance: listeners, filter chain and controllers.

    Must be constructed inside a running event loop.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the epoch.
    seed : int or None
        Seed for jitter and sampling; None seeds from the system.
    """

    def __init__(self, settings, clock=time.monotonic, wall_clock=time.time, seed=None):
        self.settings = settings
        self.incarnation = Incarnation(f"{settings.instance.id}.{uuid.uuid4().hex}")
        self.metrics = Metrics()
        self.clock = clock
        self.wall_clock = wall_clock
        self.random = random.Random(seed)
        self.supervisor = Supervisor(self.metrics.controller_restarts)
        self.memory = Memory(find_capacity(settings.limits.memory))
        self.external = ExternalClients(settings, self.memory)
        self.store = self.external.store
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
        self.rollout_tracker = RolloutTracker(
            self.incarnation, settings.rollouts.false_alarm
        )
        self.facts = FactTable(self.incarnation)
        self.metrics.spared.set_function(lambda: len(self.rollout_tracker.spared))
        self.demand = DemandMeter()
        self.quarantine = Quarantine(settings.quarantine)
        self.part_quarantine = PartQuarantine(
            settings.quarantine.lifetime, settings.quarantine.capacity
        )
        rollouts = settings.rollouts
        self.rating_gate = RatingGate(rollouts.rating_rate, rollouts.rating_burst)
        self.plan_inputs = PlanInputCollector(
            self.configuration,
            self.table,
            self.durations,
            self.rollout_tracker,
            self.rating_gate,
            settings,
            self.clock,
            self.random,
        )
        queue = AdmissionQueue(self.table, self.durations, settings.limits.queue_length)
        self.gate = Gate(
            queue, self.table, self.plan_inputs.estimate_duration, self.clock
        )
        self.metrics.waiting.set_function(lambda: len(queue))

    def _wire_controllers(self):
        settings = self.settings
        self.configuration_controller = ConfigurationController(
            self.store,
            self.configuration,
            settings.configuration,
            self.metrics,
            self.clock,
            self.random,
        )
        self.membership = MembershipController(
            self.external.targets,
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
            self.external.engines,
            self.external.services,
            self.table,
            self.gate,
            settings.load,
            self.clock,
            self.random,
            self._count_domain_peers,
        )
        self._wire_rollouts()
        self.records = Records(
            RecordDependencies(
                settings,
                self.store,
                self.external.peer_client,
                self.external.peer_server,
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
        self.halt_controller = HaltController(
            self.rollout_tracker,
            self.store,
            self.facts,
            settings,
            self.metrics,
            self.clock,
            self.random,
        )
        self.configuration_controller.add_listener(self._apply_declaration)
        self.rollouts = RolloutController(
            self.rollout_tracker,
            self.configuration,
            self.external.ratings,
            self.rating_gate,
            settings,
            self.metrics,
            self.clock,
            self.random,
            self.membership.list_live,
            on_halt=self.halt_controller.halt,
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
        self.exposure_controller = ExposureController(
            self.rollout_tracker,
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
        self.order_controller = OrderController(
            self.leases,
            self.external.orders,
            OrderTracker(self.settings.orders.report_lag),
            self.table,
            self.configuration,
            self.rollout_tracker,
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
            self.configuration_controller,
            self.configuration,
            partners,
            self.external.peer_client,
            self.membership.list_peers,
            settings.peers,
            self.metrics,
            self.clock,
            self.wall_clock,
            self.random,
        )
        self.exchange.register_handlers(self.external.peer_server)
        self.metrics.peer_bytes.set_function(self.external.count_peer_bytes)

    def _apply_declaration(self):
        self.rollout_tracker.configure(self.configuration.declaration)
        self.halt_controller.request_poll()

    def _wire_apis(self):
        settings = self.settings
        self.callers_bounds = self._make_bounds(find_max_connections())
        self.metrics.watch_bounds(self.callers_bounds)
        self.callers = CallersApi(
            build_chain(self),
            self.is_ready,
            self.metrics,
            self.clock,
            settings.limits.request_size,
            self.callers_bounds,
            self.durations,
        )
        self.admin = AdminApi(
            self.metrics,
            lambda: describe_instance(self),
            self._make_bounds(ADMIN_CONNECTIONS),
        )

    def _make_bounds(self, max_connections):
        limits = self.settings.limits
        return ConnectionBounds(
            self.memory, max_connections, limits.receive_timeout, limits.read_timeout
        )

    def is_first_in_line(self, key):
        """Return whether this instance comes first of all in the order for a key."""
        others = [peer.incarnation for peer in self.membership.peers]
        return find_rank(key.encode(), self.incarnation, others) == 0

    def _count_domain_peers(self):
        domain = self.settings.instance.failure_domain
        return sum(
            peer.failure_domain == domain and not peer.leaving
            for peer in self.membership.peers
        )

    @property
    def peers_port(self):
        """Port on which this instance accepts connections from peers."""
        return self.external.peer_server.port

    def is_ready(self):
        """Return whether this instance can serve requests."""
        is_informed = self.configuration.ready and self.halt_controller.has_polled
        return is_informed and bool(self.table.servers)

    async def start(self):
        """Open the listeners, once their ports are free, and start the controllers.

        Raises
        ------
        OSError
            If a listener cannot bind its address.
        """
        instance = self.settings.instance
        for name, start, port in (
            ("admin", self.admin.listener.start, instance.admin_port),
            ("peers", self.external.peer_server.start, instance.peers_port),
            ("callers", self.callers.listener.start, instance.callers_port),
        ):
            await listen_when_free(name, start, instance.address, port)
        for name, run in (
            ("configuration", self.configuration_controller.run),
            ("membership", self.membership.run),
            ("exchange", self.exchange.run),
            ("load", self.load.run),
            ("rollouts", self.rollouts.run),
            ("evidence", self.evidence.run),
            ("billing", self.records.billing.run),
            ("holding", self.records.holding.run),
            ("halts", self.halt_controller.run),
            ("exposure", self.exposure_controller.run),
            ("leases", self.leases.run),
            ("orders", self.order_controller.run),
            ("gate", self.gate.run),
        ):
            self.supervisor.run(name, run)
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
        """Drain requests in flight up to the drain limit, then shut down."""
        instance = self.settings.instance
        log.info("stopping", in_flight=self.callers.in_flight)
        self.supervisor.begin_shutdown()
        limit = instance.drain_notice + instance.drain_limit
        self.callers.drain_deadline = self.clock() + limit
        self.callers.draining = True
        await asyncio.sleep(instance.drain_notice)
        self.callers.stopping = True
        await self.callers.listener.stop()
        deadline = self.clock() + instance.drain_limit
        if not await poll_until(self._is_quiet, DRAIN_POLL_S, instance.drain_limit):
            log.warning("drain limit reached", in_flight=self.callers.in_flight)
            self.callers.cut_running()
            await poll_until(self._is_answered, DRAIN_POLL_S, FINAL_ANSWERS_S)
        await self.records.drain(max(0.0, deadline - self.clock()))
        await self.leases.release()
        await self.exposure_controller.release()
        await self.close()
        log.info("stopped", in_flight=self.callers.in_flight)

    def _is_quiet(self):
        """Return whether all answers are sent and no claimed request is running."""
        is_running = self.records.claims.has_running_requests()
        return self._is_answered() and not is_running

    def _is_answered(self):
        """Return whether no connection waits for an answer any more."""
        open_connections = self.callers.listener.close_idle()
        return not self.callers.in_flight and not open_connections

    async def close(self):
        """Stop the controllers and close all connections without draining."""
        await self.supervisor.close()
        await self.callers.listener.stop()
        await self.admin.listener.stop()
        await self.external.close()
