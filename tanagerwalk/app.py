"""Composition root: wires the parts of an entry instance."""

import asyncio
import random
import time
import uuid

import aiohttp
import structlog

from .api.admin import AdminApi
from .api.callers import CallersApi
from .clients.attempts import probe_refusal
from .clients.engines import EngineClient
from .clients.keyvalue import KeyValueClient
from .clients.orders import OrderClient
from .clients.ratings import RatingsClient
from .clients.services import ServiceClient
from .clients.targets import TargetsClient
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
from .decisions.configuration import ConfigurationState
from .decisions.demand import DemandMeter
from .decisions.facts import FactTable
from .decisions.hedges import HedgeDelays
from .decisions.limits import AdmissionQueue, DurationEstimates
from .decisions.orders import OrderBook
from .decisions.partners import PartnerChooser
from .decisions.quarantine import Quarantine
from .decisions.ratings import RatingGate
from .decisions.retries import RetryBudget
from .decisions.rollouts import RolloutBook
from .decisions.servers import Home, ServerTable
from .decisions.versions import PlanInputs
from .filters.admit import AdmitFilter
from .filters.bill import BillFilter
from .filters.cascade import CascadeRunner
from .filters.chain import link_filters
from .filters.count import CountFilter
from .filters.demand import DemandFilter
from .filters.dispatch import DispatchFilter
from .filters.guard import GuardFilter
from .filters.hedge import HedgeFilter
from .filters.identify import IdentifyFilter
from .filters.plan import PlanFilter
from .filters.quarantine import QuarantineFilter, QuarantineGuardFilter
from .filters.retry import RetryFilter
from .filters.session import SessionFilter, SessionStarter
from .filters.submission import SubmissionFilter
from .gate import Gate
from .ids import Incarnation
from .metrics import Metrics
from .peers.link import PeerClient, PeerServer
from .peers.reconcile import ByteBudget, Reconciler
from .records import RecordInputs, Records

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

    Attributes
    ----------
    failed : asyncio.Event
        Set when an invariant is broken and the process has to end.
    """

    def __init__(self, settings, clock=time.monotonic, wall_clock=time.time, seed=None):
        self.settings = settings
        self.incarnation = Incarnation(f"{settings.instance.id}.{uuid.uuid4().hex}")
        self.metrics = Metrics()
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = random.Random(seed)
        self._tasks = []
        self._closing = False
        self.failed = asyncio.Event()
        self._wire_clients()
        self._wire_state()
        self._wire_controllers()
        self._wire_apis()

    def _wire_clients(self):
        platform = self.settings.platform
        retries = self.settings.retries
        # One connector limit for all would let slow drafts block lookups.
        self._http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._fresh_http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        timeout = platform.timeout
        self.store = KeyValueClient(self._http, platform.keyvalue, timeout)
        self._targets = TargetsClient(self._http, platform.instances, timeout)
        self._ratings = RatingsClient(self._http, platform.ratings, timeout)
        self._engines = EngineClient(self._http, retries)
        self._services = ServiceClient(self._http, self._fresh_http, retries)
        peers = self.settings.peers
        self.peer_server = PeerServer(peers.secret)
        self.peer_client = PeerClient(
            peers.secret, self.settings.instance.id, peers.timeout
        )

    def _wire_state(self):
        settings = self.settings
        place = settings.instance
        home = Home(place.region, place.failure_domain, place.id)
        self.configuration = ConfigurationState(settings.configuration.stale_after)
        self.table = ServerTable(home, settings.limits, settings.load.stale_after)
        self.durations = DurationEstimates()
        self.book = RolloutBook(self.incarnation, settings.rollouts.false_alarm)
        self.facts = FactTable(self.incarnation)
        self.metrics.spared.set_function(lambda: len(self.book.spared))
        self.demand = DemandMeter()
        queue = AdmissionQueue(self.table, self.durations, settings.limits.queue_length)
        self.gate = Gate(queue, self.table, self._expect_duration, self._clock)
        self.metrics.waiting.set_function(lambda: len(queue))

    def _wire_controllers(self):
        settings = self.settings
        self.configuring = ConfigurationController(
            self.store,
            self.configuration,
            settings.configuration,
            self.metrics,
            self._clock,
            self._random,
        )
        self.membership = MembershipController(
            self._targets,
            self.table,
            self.facts,
            settings.platform.instances_interval,
            self.metrics,
            self._clock,
            self._random,
        )
        self._wire_exchange()
        self._wire_orders()
        self.load = LoadController(
            self._engines,
            self._services,
            self.table,
            self.gate,
            settings.load,
            self._clock,
            self._random,
            self._count_sharers,
        )
        self._wire_rollouts()
        self.configuring.notify(self._configure_book)
        self.records = Records(
            RecordInputs(
                settings,
                self.store,
                self.peer_client,
                self.peer_server,
                self.membership,
                self.table.home,
                self.incarnation,
                self.metrics,
                self._clock,
                self._wall_clock,
                self._random,
            )
        )

    def _configure_book(self):
        self.book.configure(self.configuration.declaration)

    def _wire_rollouts(self):
        settings = self.settings.rollouts
        self.halting = HaltController(
            self.book,
            self.store,
            self.facts,
            settings,
            self.metrics,
            self._clock,
            self._random,
        )
        self.configuring.notify(self._heed_declaration)
        self.rollouts = RolloutController(
            self.book,
            self.configuration,
            self._ratings,
            RatingGate(settings.rating_rate, settings.rating_burst),
            settings,
            self.metrics,
            self._clock,
            self._random,
            self.membership.list_live,
            on_halt=self.halting.halt,
        )
        self.evidence = EvidenceController(
            self.rollouts,
            self.facts,
            settings,
            self._clock,
            self._wall_clock,
            self._random,
            self.membership.list_live,
        )
        self.exposing = ExposureController(
            self.book,
            self.configuration,
            self.store,
            self.incarnation,
            settings,
            self.metrics,
            self._clock,
            self._random,
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
            OrderClient(self._fresh_http, self.settings.orders),
            OrderBook(self.settings.orders.report_lag),
            self.table,
            self.configuration,
            self.book,
            self.demand,
            self.settings.orders,
            self.metrics,
            self._clock,
            self._random,
        )

    def _wire_exchange(self):
        settings = self.settings
        budget = ByteBudget(settings.peers.slow_rate, SLOW_BURST_BYTES)
        partners = PartnerChooser(
            self.incarnation, self.table.home, settings.peers.cross_domain, self._random
        )
        self.exchange = ExchangeController(
            self.facts,
            Reconciler(self.facts, budget, self._random),
            self.configuring,
            self.configuration,
            partners,
            self.peer_client,
            self.membership.list_peers,
            settings.peers,
            self.metrics,
            self._clock,
            self._wall_clock,
            self._random,
        )
        self.exchange.answer_on(self.peer_server)
        self.metrics.peer_bytes.set_function(self._count_peer_bytes)

    def _count_peer_bytes(self):
        client, server = self.peer_client, self.peer_server
        sent = client.bytes_sent + server.bytes_sent
        return sent + client.bytes_received + server.bytes_received

    def _heed_declaration(self):
        self.book.configure(self.configuration.declaration)
        self.halting.heed_declaration()

    def _wire_apis(self):
        settings = self.settings
        self.callers = CallersApi(
            self._build_chain(),
            self.is_ready,
            self.metrics,
            self._clock,
            settings.limits.request_size,
        )
        self.admin = AdminApi(self.metrics, self.report_status)

    def _build_chain(self):
        settings = self.settings
        records = self.records
        starter = SessionStarter(
            records.tokens, records.pins, self.configuration, self._wall_clock
        )
        retries = settings.retries
        budget = RetryBudget(retries.budget_ratio, retries.budget_burst)
        hedge_budget = RetryBudget(retries.hedge_ratio, retries.hedge_burst)
        self.quarantine = Quarantine(settings.quarantine)
        runner = CascadeRunner(
            self.configuration,
            self.rollouts,
            self.durations,
            settings.rollouts.rating_cost,
            self.metrics,
            self._clock,
        )
        return link_filters(
            [
                CountFilter(self.metrics, self._clock),
                SubmissionFilter(),
                IdentifyFilter(self.configuration),
                SessionFilter(records.tokens, records.pins, self._wall_clock),
                records.claims,
                BillFilter(records.billing),
                PlanFilter(
                    self.configuration,
                    self.rollouts,
                    starter,
                    self._collect_plan_inputs,
                    runner,
                    self.metrics,
                    self._clock,
                ),
                DemandFilter(self.demand, self.durations, self._clock),
                RetryFilter(
                    retries,
                    budget,
                    self.table,
                    self.metrics,
                    self._clock,
                    self._random,
                ),
                HedgeFilter(HedgeDelays(), hedge_budget, self.metrics, self._clock),
                QuarantineFilter(
                    self.quarantine,
                    self.facts,
                    self.table,
                    settings.quarantine,
                    self.exchange.spread,
                    probe_refusal,
                    self.metrics,
                    self._clock,
                ),
                AdmitFilter(
                    self.gate, self.durations, self.table, self._is_long, self._clock
                ),
                QuarantineGuardFilter(self.quarantine, self._clock),
                GuardFilter(self.configuration, self.rollouts, self.table, self._clock),
                DispatchFilter(self._engines, self._services, self._clock),
            ]
        )

    def _count_sharers(self):
        domain = self.settings.instance.failure_domain
        return sum(
            peer.failure_domain == domain and not peer.leaving
            for peer in self.membership.peers
        )

    def _expect_duration(self, ticket):
        work_class = self.configuration.declaration.classes.get(ticket.work_class)
        lateness = work_class.lateness if work_class else 0.0
        return self.durations.estimate(ticket.work_class, ticket.version, lateness)

    def _is_long(self, work_class):
        classes = self.configuration.declaration.classes.values()
        shortest = min(other.lateness for other in classes)
        return work_class.lateness > shortest * self.settings.limits.long_factor

    def _collect_plan_inputs(self, context, excluded):
        work_class = context.work_class
        name = work_class.name
        now = self._clock()
        self.book.configure(self.configuration.declaration)
        available = set()
        for server in self.table.servers.values():
            if not server.leaving:
                available |= server.versions
        exposed = {}
        if not self.configuration.is_stale(now):
            exposed = self.book.find_exposed(name, now)
        return PlanInputs(
            available=frozenset(available),
            durations=lambda version: self.durations.estimate(
                name, version, work_class.lateness
            ),
            evidence=lambda version: self.book.sum_evidence(name, version),
            halted=self.book.list_halted(name, context.account.versions),
            exposed=exposed,
            # A session would hold its caller to a version on trial.
            draw=1.0 if context.wants_session else self._random.random(),
            time_left=context.arrived + work_class.lateness - now,
            rating_cost=self.settings.rollouts.rating_cost,
            rating_time=self.rollouts.gate.time,
            # A session has one version, so it can't go through a cascade.
            cascades=self.rollouts.gate.is_up(now) and not context.wants_session,
            excluded=excluded,
        )

    @property
    def peers_port(self):
        """The port that other entry instances reach this one at."""
        return self.peer_server.port

    def is_ready(self):
        """Return whether requests can be served here."""
        is_informed = self.configuration.ready and self.halting.asked
        return is_informed and bool(self.table.servers)

    def report_status(self):
        """Return the JSON object of the admin API's status page."""
        return {
            "instance": self.settings.instance.id,
            "incarnation": self.incarnation,
            "failure_domain": self.settings.instance.failure_domain,
            "ready": self.is_ready(),
            "revision": self.configuration.revision,
            "in_flight": self.callers.in_flight,
            "rollouts": self.rollouts.report(),
            "orders": self.ordering.report_status(),
            "backend_servers": [
                {
                    "id": server.record.id,
                    "leaving": server.leaving,
                    "in_flight": server.in_flight,
                    "limit": round(server.limit, 2),
                    "versions": sorted(server.versions),
                }
                for server in self.table.servers.values()
            ],
        }

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
        await self.peer_server.start(instance.address, instance.peers_port)
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
            self._supervise(run())
        log.info(
            "listening",
            instance=instance.id,
            incarnation=self.incarnation,
            address=instance.address,
            callers_port=self.callers.listener.port,
            admin_port=self.admin.listener.port,
            peers_port=self.peers_port,
        )

    def _supervise(self, work):
        task = asyncio.create_task(work)
        task.add_done_callback(self._judge_end)
        self._tasks.append(task)

    def _judge_end(self, task):
        """Ask for a stop if a controller ended by itself: its state would rot."""
        if task.cancelled() or self._closing:
            return
        log.critical("controller failed", exc_info=task.exception())
        self.failed.set()

    async def stop(self):
        """Stop without cutting a request in flight."""
        instance = self.settings.instance
        log.info("stopping", in_flight=self.callers.in_flight)
        self.callers.draining = True
        await asyncio.sleep(instance.drain_notice)
        self.callers.stopping = True
        await self.callers.listener.stop()
        deadline = self._clock() + instance.drain_limit
        await poll_until(self._is_quiet, DRAIN_POLL_S, instance.drain_limit)
        await self.records.drain(max(0.0, deadline - self._clock()))
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
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.listener.stop()
        await self.admin.listener.stop()
        await self.peer_client.close()
        await self.peer_server.stop()
        await self._http.close()
        await self._fresh_http.close()
