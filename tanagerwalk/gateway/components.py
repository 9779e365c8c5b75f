"""Composition root: creates the components of an instance and connects them."""

import random
import time
import uuid

from ..decisions.freshness import Freshness, find_age_limit
from ..decisions.locations import Home
from ..decisions.paths import PathTable
from ..decisions.peers import Peer
from ..decisions.relays import RelaySelection
from ..decisions.selection import ServerPool
from ..decisions.shared_loads import SharedLoadTable
from ..decisions.watchers import WatcherSelection
from ..defects import DefectLog
from ..filters.chain import link_filters
from ..peers.rpc import MessageKind
from ..peers.server import PeerServer
from ..supervisor import Supervisor
from . import server_links
from .answer_recorder import AnswerRecorder
from .change_server import ChangeServer
from .client_listener import build_client_listener
from .clocks import read_boot_clock
from .cluster_state import ClusterState
from .cold_watch import ColdWatch
from .contention_monitor import ContentionMonitor
from .crash_check import CrashCheck
from .evacuation import EvacuationController
from .exchange import AttemptRunner
from .execution_context import ExecutionContext
from .fleet_key import FleetKey
from .forwarding import ForwardFilter
from .instance_ports import InstancePorts
from .limit_slots import LimitSlots
from .manifest_recovery import ManifestRecovery, ManifestServer
from .membership import MembershipController
from .metrics import GatewayMetrics
from .metrics_page import MetricsPage
from .own_keys import FLEET_KEY_NAME, PEER_PREFIX
from .peer_directory import PeerDirectory
from .permits import ServerPermits
from .planned_stop import PlannedStop
from .probes import ProbeListener, encode_readiness_response
from .process_limits import ProcessLimits
from .quarantine import QuarantineFilter
from .readiness import Readiness
from .release_assignment import ReleaseAssigner
from .release_rollouts import ReleaseRolloutController
from .request_handler import RequestHandler
from .request_regions import RegionRules
from .routing import RouteFilter
from .server_speed_watch import SpeedWatch
from .sharing import LoadSharing
from .stop_control import StopControl
from .store_copy import StoreCopy


class Components:
    """The listeners, the filter chain and everything they work with.

    Must be created inside a running event loop.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    store : MetadataStore
        Client of the platform's metadata store.
    codec : PlatformCodec
        Encodes and decodes the platform's wire and storage formats.
    clock : callable
        Returns monotonic time in seconds.
    seed : int or None
        Seed for jitter and load balancing; None for a random seed.
    """

    def __init__(self, settings, store, codec, clock=time.monotonic, seed=None):
        self.settings = settings
        self.store = store
        self.codec = codec
        self.clock = clock
        self.random = random.Random(seed)
        self.incarnation = f"{settings.instance}.{uuid.uuid4().hex[:8]}"
        self.metrics = GatewayMetrics()
        self.limits = ProcessLimits(settings, clock)
        self.supervisor = Supervisor(self.metrics.controller_restarts)
        self.subscriber_defects = DefectLog(
            "subscriber failed", self.metrics.subscriber_failures
        )
        self.stop_control = StopControl(clock)
        self._create_state()
        self._create_filter_chain()
        self._create_listeners()

    def _create_state(self):
        settings = self.settings
        bounds = settings.bounds
        limit = find_age_limit(bounds.strict_revocation, bounds.revocation_delay)
        self.freshness = Freshness(limit, read_boot_clock)
        self.home = Home(
            settings.failure_domain,
            settings.region,
            settings.regions,
            settings.prefers_own_domain,
        )
        self.shared_loads = SharedLoadTable()
        self.paths = PathTable()
        self.servers = ServerPool(self.home, self.shared_loads, self.paths, self.random)
        self.directory = PeerDirectory(self.incarnation)
        self._create_connections()
        self._create_store_copy()
        self._create_peer_server()
        self._create_cluster_state()
        self._create_region_rules()
        self._create_cold_watch()
        self._create_evacuation()
        self._create_releases()
        self._create_membership()
        self._create_manifest_recovery()
        self._create_quarantine()
        self.permits = ServerPermits(
            self.incarnation, self.servers, self.metrics, self.clock, self.random
        )
        self.limit_slots = LimitSlots(
            self.incarnation, self.servers, self.metrics, self.clock, self.random
        )
        self.speed_watch = SpeedWatch(self.servers, self.metrics, self.clock)
        self._create_sharing()
        self._create_contention()

    def _create_connections(self):
        domain = self.settings.failure_domain
        self.tunnel_server = server_links.build_tunnel_server(
            self.servers, self.paths, self.limits, self.clock
        )
        self.tunnel_client = server_links.build_tunnel_client(
            domain, self.directory, self.limits, self.clock, self.random
        )
        self.connection_pool = server_links.build_connection_pool(
            self.servers,
            self.paths,
            self.tunnel_client,
            self.limits,
            self.clock,
            self.random,
        )

    def _create_store_copy(self):
        watchers = WatcherSelection(
            self.incarnation, self.settings.failure_domain, self.settings.link_rate
        )
        self.store_copy = StoreCopy(
            self.store,
            self.codec,
            self.directory,
            self.incarnation,
            watchers,
            lambda: self.settings.bounds,
            self.subscriber_defects,
            self.clock,
            self.random,
        )
        self.feed = self.store_copy.feed
        self.mirror = self.store_copy.mirror
        self.mirror.memory.hold = self.limits.hold_store_copy

    def _create_peer_server(self):
        self.peer_server = PeerServer(None)
        self.limits.limit_peers(self.peer_server)
        ChangeServer(self.mirror).register(self.peer_server)
        self.peer_server.register_stream_handler(
            MessageKind.OPEN_TUNNEL, self.tunnel_server.open
        )

    def _create_cluster_state(self):
        self.cluster_state = ClusterState(
            self.mirror,
            self.codec,
            self.servers,
            self._forget_server,
            self.subscriber_defects,
        )

    def _create_region_rules(self):
        self.region_rules = RegionRules(
            self.home,
            lambda: self.cluster_state.manifest,
            self.directory.get_peers,
            self.servers,
            self.paths,
            self.clock,
        )
        self.cluster_state.on_manifest = self.region_rules.check_manifest

    def _create_cold_watch(self):
        self.cold_watch = ColdWatch(
            self.servers,
            self.cluster_state,
            lambda: self.settings.bounds,
            lambda: self.mirror.reconnected_at,
            self.clock,
        )
        limits = self.servers.limits
        limits.get_copy_age = lambda: read_boot_clock() - self.mirror.confirmed_at
        limits.begin_settling()
        self.mirror.subscribe(self.cold_watch.update)
        self.mirror.subscribe_to_confirmations(self.cold_watch.confirm_starts)
        self.connection_pool.connector.on_returned = self.cold_watch.record_return

    def _create_evacuation(self):
        self.evacuation = EvacuationController(
            self.mirror,
            self.cluster_state,
            self.servers,
            self.metrics.evacuated,
            lambda: self.settings.bounds.evacuation_delay,
            self.random,
        )
        self.servers.on_evacuation_end = self.cold_watch.mark_cold

    def _create_releases(self):
        self.rollouts = ReleaseRolloutController(
            self.store,
            self.mirror,
            self.cluster_state,
            self.codec,
            self.settings.failure_domain,
            lambda: self.feed.is_watcher,
            self.clock,
            self.random,
            self.subscriber_defects,
        )
        self.assigner = ReleaseAssigner(
            self.incarnation,
            self.cluster_state,
            self.rollouts,
            self.servers,
            self.freshness,
            self.settings.bounds,
            self.clock,
            self.random,
        )

    def _create_quarantine(self):
        self.quarantine = QuarantineFilter(self.servers, self.clock, self.random)
        self.quarantine.is_first_in_line = lambda key: (
            self.directory.find_rank(key) == 0
        )
        self.crash_check = CrashCheck(
            self.connection_pool.connector, self._record_crash
        )
        self.connection_pool.on_lost = self._check_idle_server

    def _create_sharing(self):
        self.sharing = LoadSharing(
            self.incarnation,
            self.settings.failure_domain,
            self.servers,
            self.shared_loads,
            self.relays,
            self.quarantine,
            self.rollouts,
            self.assigner,
            self.directory.get_peers,
            self.clock,
            self.random,
        )
        self.assigner.send_notes = self.sharing.send_notes
        self.sharing.on_permit_note = self.permits.receive
        self.permits.send_notes = self.sharing.send_permit_notes
        self.sharing.on_slot_note = self.limit_slots.receive
        self.limit_slots.send_notes = self.sharing.send_permit_notes
        self.quarantine.on_news = self.sharing.tell_crashes

    def _create_contention(self):
        self.contention_monitor = ContentionMonitor(
            self.servers, self.sharing.demands, self.metrics, self.clock, self.random
        )
        self.sharing.demands.list_own = self.contention_monitor.refresh_all

    def _forget_server(self, server):
        self.paths.forget(server.id)
        self.region_rules.forget_server(server)
        self.connection_pool.close_idle_to(server)
        self.quarantine.record_end(server)

    def _check_idle_server(self, server):
        """Find out whether a server that closed an idle connection has crashed.

        If so, it is cold when it is back, which no request may show.
        """
        usage = self.servers.find(server.id)
        is_in_service = usage is not None and usage.is_in_service
        if is_in_service and self.cold_watch.may_become_cold(server):
            self.crash_check.start(server)

    def _record_crash(self, server):
        self.quarantine.record_end(server)
        self.cold_watch.record_crash(server, self.paths.is_down(server.id))

    def _create_membership(self):
        own_domain = self.settings.failure_domain
        self.membership = MembershipController(
            self.store,
            self.mirror,
            PEER_PREFIX,
            self.incarnation,
            lambda: Peer(
                self.sharing.address,
                own_domain,
                self.peer_server.port,
                owns_sessions=True,
                grants_permits=True,
                grants_slots=True,
                link_rate=self.settings.link_rate,
            ),
            self.random,
            self.subscriber_defects,
        )
        self.directory.membership = self.membership
        self.relays = RelaySelection(self.incarnation, own_domain)
        self.membership.subscribe(self._update_peers)
        self.fleet_key = FleetKey(
            self.store,
            self.mirror,
            FLEET_KEY_NAME,
            self.directory.find_rank,
            self.random,
        )

    def _create_manifest_recovery(self):
        manifest_server = ManifestServer(self.cluster_state, self.evacuation.list_told)
        manifest_server.register(self.peer_server)
        self.manifest_recovery = ManifestRecovery(
            self.mirror,
            self.cluster_state,
            self.evacuation.adopt,
            self.freshness.confirm,
            self.directory.get_peers,
            self.directory.get_address,
            self.incarnation,
            self.random,
        )

    def _update_peers(self):
        peers = self.directory.get_peers()
        self.store_copy.watchers.set_peers(peers)
        self.relays.set_peers(peers)
        self.assigner.set_peers(peers)
        self.permits.set_peers(peers)
        self.limit_slots.set_peers(peers)
        limits = self.servers.limits
        limits.set_members(self.incarnation, peers)
        if self.membership.registered_before is not None:
            limits.set_registered(self.membership.registered_before, self.clock())

    def _create_filter_chain(self):
        attempt_runner = AttemptRunner(
            self.connection_pool, self.servers, self.codec, self.clock
        )
        context = ExecutionContext(
            attempt_runner,
            self.connection_pool,
            self.servers,
            self.rollouts,
            self.assigner,
            AnswerRecorder(
                self.cluster_state, self.rollouts.get_tallies, self.servers, self.clock
            ),
            self.quarantine,
            self.crash_check,
            self.permits,
            self.limit_slots,
            self.region_rules,
            self.contention_monitor,
            self.stop_control,
            self.metrics,
            self.clock,
            self.random,
        )
        self.forward_filter = ForwardFilter(
            context, self.settings.bounds, self.store_copy.count_instances, self.random
        )
        route_filter = RouteFilter(self.cluster_state, self.freshness)
        chain = link_filters([route_filter, self.quarantine, self.forward_filter])
        self.request_handler = RequestHandler(
            chain, self.codec, self.freshness, self.metrics
        )

    def _create_listeners(self):
        self.client_listener = build_client_listener(
            self.request_handler,
            self.cluster_state,
            self.limits,
            self.metrics,
            self.clock,
            self.random,
        )
        self._create_probes()
        self.planned_stop = PlannedStop(
            self.stop_control,
            self.request_handler,
            self.client_listener,
            self.tunnel_server,
            self.membership,
            self.clock,
        )
        self.ports = InstancePorts(
            self.settings.listeners,
            self.client_listener,
            self.readiness_listener,
            self.metrics_listener,
            self.peer_server,
            self.sharing,
        )

    def _create_probes(self):
        self.readiness = Readiness(
            self.client_listener,
            self.cluster_state,
            self.manifest_recovery,
            self.freshness,
        )
        self.readiness_listener = ProbeListener(
            lambda: encode_readiness_response(self.readiness.is_ready())
        )
        self.metrics_page = MetricsPage(
            self.metrics,
            self.limits,
            self.freshness,
            self.store,
            self.assigner,
            self.servers,
            self.client_listener,
            self.clock,
        )
        self.metrics_listener = ProbeListener(self.metrics_page.render)
