"""Assembles the components of a gateway instance and controls its lifecycle."""

import dataclasses
import random
import time
import uuid

import structlog
from prometheus_client import CONTENT_TYPE_LATEST

from ..decisions.freshness import Freshness, find_age_limit
from ..decisions.locations import Home
from ..decisions.paths import PathTable
from ..decisions.peers import Peer
from ..decisions.relays import RelaySelection
from ..decisions.rendezvous import find_rank
from ..decisions.selection import ServerPool
from ..decisions.shared_loads import SharedLoadTable
from ..decisions.tunnel_peers import TunnelPeers
from ..decisions.watchers import WatcherSelection
from ..defects import DefectLog
from ..filters.chain import link_filters
from ..manifest import ClientLimits
from ..peers.rpc import MessageKind
from ..peers.server import PeerServer
from ..supervisor import Supervisor
from .answer_recorder import AnswerRecorder
from .change_feed import ChangeServer, SharedFeed, StoreFeed
from .clocks import read_boot_clock
from .cluster_state import ClusterState
from .cold_watch import ColdWatch
from .connector import ServerConnector
from .contention import ContentionControl
from .crash_check import CrashCheck
from .evacuation import EvacuationController
from .exchange import AttemptRunner
from .execution_context import ExecutionContext
from .fleet_key import FleetKey
from .forwarding import ForwardFilter
from .instance_ports import InstancePorts
from .listener import Listener
from .manifest_recovery import ManifestRecovery, ManifestServer
from .membership import MembershipController
from .metrics import GatewayMetrics
from .mirror import Mirror
from .operator_watch import OperatorWatch
from .permits import ServerPermits
from .planned_stop import PlannedStop
from .pool import ConnectionPool
from .probes import ProbeListener, encode_ok_response, encode_readiness_response
from .process_limits import ProcessLimits
from .quarantine import QuarantineFilter
from .release_assignment import ReleaseAssigner
from .release_rollouts import STORE_PREFIX, ReleaseRolloutController
from .request_handler import MAX_REPORTED_AGE_S, RequestHandler
from .request_regions import RegionRules
from .routing import RouteFilter
from .server_speed_watch import SpeedWatch
from .sharing import LoadSharing
from .stop_control import StopControl
from .tunnel_client import TunnelClient
from .tunnels import TunnelServer

log = structlog.get_logger(__name__)

# The mirror watches the empty key prefix, which matches every key in the store.
ALL_KEYS = ""
FLEET_KEY_NAME = STORE_PREFIX + "fleet-key"
PEER_PREFIX = STORE_PREFIX + "instance/"
# Used until the store has been listed and the peers are known.
DEFAULT_INSTANCE_COUNT = 9


class GatewayInstance:
    """A gateway instance: listeners, filter chain and local copy of the store.

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
        self.stopping = False
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
        self._create_connections()
        self._create_mirror()
        self.cluster_state = ClusterState(
            self.mirror,
            self.codec,
            self.servers,
            self._forget_server,
            self.subscriber_defects,
        )
        self._create_region_rules()
        self._create_cold_watch()
        self._create_evacuation()

        self.rollouts = ReleaseRolloutController(
            self.store,
            self.mirror,
            self.cluster_state,
            self.codec,
            settings.failure_domain,
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
            bounds,
            self.clock,
            self.random,
        )

        self._create_membership()
        self._create_manifest_recovery()
        self.quarantine = QuarantineFilter(self.servers, self.clock, self.random)
        self.crash_check = CrashCheck(
            self.connection_pool.connector, self._record_crash
        )
        self.permits = ServerPermits(
            self.incarnation, self.servers, self.metrics, self.clock, self.random
        )
        self.speed_watch = SpeedWatch(self.servers, self.metrics, self.clock)
        self.sharing = LoadSharing(
            self.incarnation,
            settings.failure_domain,
            self.servers,
            self.shared_loads,
            self.relays,
            self.quarantine,
            self.rollouts,
            self.assigner,
            lambda: self.membership.peers,
            self.clock,
            self.random,
        )
        self.contention = ContentionControl(
            self.servers,
            self.sharing.demands,
            self.metrics,
            self.clock,
            self.random,
        )
        self.sharing.demands.list_own = self.contention.list_demands
        self.assigner.send_notes = self.sharing.send_notes
        self.sharing.on_permit_note = self.permits.receive
        self.permits.send_notes = self.sharing.send_permit_notes
        self.quarantine.on_news = self.sharing.tell_crashes
        self.quarantine.is_first_in_line = lambda key: self._find_rank(key) == 0

    def _create_region_rules(self):
        self.region_rules = RegionRules(
            self.home,
            lambda: self.cluster_state.manifest,
            lambda: self.membership.peers,
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
            self.clock,
        )
        self.mirror.subscribe(self.cold_watch.update)
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

    def _create_connections(self):
        self.tunnel_server = TunnelServer(
            self.servers, self.paths, self.limits.memory, self.clock
        )
        self.tunnel_server.dial = self.limits.limit_tunnel_dial()
        self.servers.on_kept_off = self.tunnel_server.retire
        self.tunnel_client = TunnelClient(
            TunnelPeers(self.settings.failure_domain, self.random),
            lambda: self.membership.peers,
            self._get_peer_address,
            self.limits.peer_part,
            self.clock,
        )
        connector = ServerConnector(
            self.paths, self.tunnel_client, self.clock, self.random
        )
        connector.on_reachable = self.servers.end_pause
        self.connection_pool = ConnectionPool(connector, self.paths, self.clock)
        connector.dial = self.limits.limit_server_dial(
            self.connection_pool.close_longest_idle
        )

    def _forget_server(self, server):
        self.paths.forget(server.id)
        self.region_rules.forget_server(server)
        self.connection_pool.close_idle_to(server)
        self.quarantine.record_end(server)

    def _record_crash(self, server):
        self.quarantine.record_end(server)
        self.cold_watch.record_crash(server)

    def _create_mirror(self):
        self.watchers = WatcherSelection(self.incarnation, self.settings.failure_domain)
        self.feed = SharedFeed(
            StoreFeed(self.store, ALL_KEYS),
            self.watchers,
            self._get_peer_address,
            self.incarnation,
            self._find_change_delay,
            self.count_instances,
            self.clock,
            self.random,
        )
        self.mirror = Mirror(
            self.store,
            ALL_KEYS,
            self.feed,
            self.random,
            self.codec.server_prefix,
            self.subscriber_defects,
        )
        self.operator_watch = OperatorWatch(
            self.store,
            self.codec.operator_prefix,
            self.mirror,
            self.feed,
        )
        self.peer_server = PeerServer(None)
        self.limits.limit_peers(self.peer_server)
        ChangeServer(self.mirror).register(self.peer_server)
        self.peer_server.register_stream_handler(
            MessageKind.OPEN_TUNNEL, self.tunnel_server.open
        )

    def _find_change_delay(self):
        """Return the seconds within which any change of the store takes effect."""
        bounds = self.settings.bounds
        return min(bounds.drain_timeout, bounds.change_delay, bounds.evacuation_delay)

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
            ),
            self.random,
            self.subscriber_defects,
        )
        self.relays = RelaySelection(self.incarnation, own_domain)
        self.membership.subscribe(self._update_peers)
        self.fleet_key = FleetKey(
            self.store,
            self.mirror,
            FLEET_KEY_NAME,
            self._find_rank,
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
            lambda: self.membership.peers,
            self._get_peer_address,
            self.incarnation,
            self.random,
        )

    def _update_peers(self):
        self.watchers.set_peers(self.membership.peers)
        self.relays.set_peers(self.membership.peers)
        self.assigner.set_peers(self.membership.peers)
        self.permits.set_peers(self.membership.peers)
        self.servers.limits.set_members(self.incarnation, self.membership.peers)

    def _find_rank(self, name):
        """Return how many instances come before this one for a name."""
        return find_rank(name.encode(), self.incarnation, self.membership.peers)

    def _authenticate(self, secret):
        """Exchange data with other instances, with the key of the fleet."""
        self.peer_server.secret = secret
        self.feed.authenticate(secret)
        self.manifest_recovery.authenticate(secret)
        self.tunnel_client.authenticate(secret, self.incarnation)
        self.sharing.authenticate(secret)

    def _get_peer_address(self, peer_id):
        peer = self.membership.peers.get(peer_id)
        if peer is None or not peer.changes_port:
            return None
        return f"{peer.address[0]}:{peer.changes_port}"

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
                self.cluster_state,
                self.rollouts.get_tallies,
                self.servers,
                self.clock,
            ),
            self.quarantine,
            self.crash_check,
            self.permits,
            self.region_rules,
            self.contention,
            self.stop_control,
            self.metrics,
            self.clock,
            self.random,
        )
        self.forward_filter = ForwardFilter(
            context, self.settings.bounds, self.count_instances, self.random
        )
        chain = link_filters(
            [
                RouteFilter(self.cluster_state, self.freshness),
                self.quarantine,
                self.forward_filter,
            ]
        )
        self.request_handler = RequestHandler(
            chain, self.codec, self.freshness, self.metrics
        )

    def _create_listeners(self):
        self.client_listener = Listener(
            self.request_handler.handle,
            self._refuse_unread,
            self._get_client_limits,
            self.limits.memory,
            self.limits.admission,
            self.clock,
            self.random,
        )
        self.client_listener.on_stalled_reader = self.metrics.stalled_readers.inc
        self.planned_stop = PlannedStop(
            self.stop_control,
            self.request_handler,
            self.client_listener,
            self.tunnel_server,
            self.membership,
            self.clock,
        )
        self.readiness_listener = ProbeListener(
            lambda: encode_readiness_response(self.is_ready())
        )
        self.metrics_listener = ProbeListener(self._render_metrics)
        self.ports = InstancePorts(
            self.settings.listeners,
            self.client_listener,
            self.readiness_listener,
            self.metrics_listener,
            self.peer_server,
            self.sharing,
        )

    def _refuse_unread(self, responder, refusal):
        """Refuse a request that has not been read to its end."""
        self.metrics.refusals.labels(refusal.reason.value).inc()
        self.codec.refuse(responder, refusal)

    def _render_metrics(self):
        self.limits.report(self.metrics)
        self.metrics.manifest_age.set(min(self.freshness.age, MAX_REPORTED_AGE_S))
        self.metrics.store_calls.set(self.store.calls)
        contradictions = self.assigner.count_contradictions()
        self.metrics.session_contradictions.set(contradictions)
        self.metrics.set_limits(self.servers.limits, self.clock())
        self.metrics.in_flight.set(self.client_listener.in_flight)
        if self.servers.prefers_local:
            self.metrics.set_departures(self.servers.chooser, self.clock())
        return encode_ok_response(self.metrics.render(), CONTENT_TYPE_LATEST)

    def _get_client_limits(self):
        manifest = self.cluster_state.manifest
        return ClientLimits() if manifest is None else manifest.limits

    def count_defects(self):
        """Return how many exceptions of controllers and subscribers were contained."""
        logs = (self.supervisor.defects, self.subscriber_defects)
        return sum(log.counts.total() for log in logs)

    def count_instances(self):
        """Return the number of gateway instances known to this one, itself included."""
        if not self.mirror.is_loaded:
            return DEFAULT_INSTANCE_COUNT
        return 1 + len(self.membership.peers)

    def apply_settings(self, settings):
        """Apply changed bounds; all other settings require a restart.

        Parameters
        ----------
        settings : GatewaySettings
            The reloaded settings.
        """
        bounds = settings.bounds
        changed = bounds != self.settings.bounds
        self.settings = dataclasses.replace(self.settings, bounds=bounds)
        limit = find_age_limit(bounds.strict_revocation, bounds.revocation_delay)
        self.freshness.set_limit(limit)
        self.forward_filter.apply_bounds(bounds)
        self.assigner.apply_bounds(bounds)
        log.info("settings reloaded", bounds_changed=changed)

    def is_ready(self):
        """Return whether this instance should receive new connections."""
        return (
            not self.stopping
            and self.client_listener.is_open
            and self.cluster_state.is_complete
            and not self.manifest_recovery.is_pending
            and self.freshness.is_fresh()
        )

    async def start(self):
        """Open the listeners and start the controllers that watch the store.

        A listener whose port is in use opens later; everything else starts meanwhile.
        """
        await self.ports.open()
        run = self.supervisor.run
        run("mirror", lambda: self.mirror.run())
        run("operator_watch", lambda: self.operator_watch.run())
        run("manifest_recovery", lambda: self.manifest_recovery.run())
        run("rollouts", lambda: self.rollouts.run())
        run("membership", self._run_membership)
        run("fleet_key", lambda: self.fleet_key.run(self._authenticate))
        run("sharing", lambda: self.sharing.run())
        run("permits", lambda: self.permits.run())
        run("speed_watch", lambda: self.speed_watch.run())
        log.info("listening", instance=self.settings.instance)

    async def _run_membership(self):
        """Register this instance once it has an address for the others."""
        await self.ports.wait_for_peer_ports()
        await self.membership.run()

    async def stop(self):
        """Shut down gracefully: finish the requests in flight, then close everything.

        Requests still running at the end of the grace period are ended with an answer.
        """
        log.info("stopping", in_flight=self.client_listener.in_flight)
        self.stopping = True
        self.supervisor.begin_shutdown()
        self.ports.stop_waiting()
        await self.planned_stop.run(self.settings.bounds.shutdown_grace)
        await self.close()

    async def close(self):
        """Stop the controllers and abort every connection immediately."""
        self.ports.stop_waiting()
        await self.supervisor.close()
        await self.ports.close()
        await self.feed.close()
        await self.manifest_recovery.close()
        self.crash_check.close()
        self.evacuation.close()
        self.limits.close()
        self.connection_pool.close()
        self.store.close()
