"""Assembles the components of a gateway instance and controls its lifecycle."""

import asyncio
import dataclasses
import random
import time
import uuid

import structlog
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..controllers.loop import poll_until
from ..decisions.freshness import (
    Freshness,
    find_age_limit,
    find_retry_pause,
    find_watch_pause,
)
from ..decisions.selection import Home, ServerPool
from ..decisions.shared_loads import SharedLoadTable
from ..filters.chain import link_filters
from ..manifest import ClientLimits
from ..outcomes import Refusal, RefusalReason
from ..supervisor import Supervisor
from .cluster_state import ClusterState
from .exchange import AttemptRunner
from .execution import ExecutionContext
from .forwarding import ForwardFilter
from .listener import Listener
from .membership import MembershipController
from .metrics import GatewayMetrics
from .mirror import Mirror, read_boot_clock
from .pool import ConnectionPool
from .probes import ProbeListener, encode_ok_response, encode_readiness_response
from .quarantine import QuarantineFilter
from .release_rollouts import STORE_PREFIX, ReleaseRolloutController
from .routing import RouteFilter
from .sharing import LoadSharing

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.4
# The mirror watches the empty key prefix, which matches every key in the store.
ALL_KEYS = ""
WATCH_TIMEOUT_S = 1.0
PEER_PREFIX = STORE_PREFIX + "instance/"
# While stopping, new connections and requests are still served for this long.
ACCEPT_AFTER_STOP_S = 2.6
# Part of the shutdown grace period that is reserved for closing everything.
STOP_MARGIN_S = 0.6
# Cap for logs and metrics; the age is infinite until the first confirmation.
MAX_REPORTED_AGE_S = 1e6
STOPPING_RETRY_S = 0.05
DRAIN_POLL_INTERVAL_S = 0.05
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
        self.supervisor = Supervisor()
        self.stopping = False
        self.rejecting_requests = False
        self._create_state()
        self._create_filter_chain()
        self._create_listeners()

    def _create_state(self):
        settings = self.settings
        bounds = settings.bounds
        limit = find_age_limit(bounds.strict_revocation, bounds.revocation_delay)
        self.freshness = Freshness(limit, read_boot_clock)
        home = Home(settings.failure_domain, settings.region, settings.regions)
        self.shared_loads = SharedLoadTable()
        self.servers = ServerPool(home, self.shared_loads, self.random)
        self.connection_pool = ConnectionPool(CONNECT_TIMEOUT_S, self.clock)
        self.mirror = Mirror(
            self.store,
            ALL_KEYS,
            WATCH_TIMEOUT_S,
            lambda: find_watch_pause(
                self.settings.bounds.drain_timeout, self.count_instances()
            ),
            lambda: find_retry_pause(self.count_instances()),
            self.random,
            self.codec.server_prefix,
        )
        self.mirror.subscribe_to_confirmations(self.freshness.confirm)
        self.cluster_state = ClusterState(
            self.mirror,
            self.codec,
            self.servers,
            self.connection_pool.close_idle_to,
        )

        self.rollouts = ReleaseRolloutController(
            self.store,
            self.mirror,
            self.cluster_state,
            self.servers,
            self.codec,
            self.freshness,
            bounds,
            self.clock,
            self.random,
        )

        self.membership = MembershipController(
            self.store,
            self.mirror,
            PEER_PREFIX,
            self.incarnation,
            lambda: self.sharing.address,
            self.random,
        )
        self.quarantine = QuarantineFilter(self.servers, self.clock)
        self.sharing = LoadSharing(
            self.incarnation,
            self.servers,
            self.shared_loads,
            self.quarantine,
            self.rollouts,
            lambda: list(self.membership.peers.values()),
            self.clock,
            self.random,
        )

    def _create_filter_chain(self):
        attempt_runner = AttemptRunner(
            self.connection_pool, self.servers, self.codec, self.clock
        )
        context = ExecutionContext(
            attempt_runner,
            self.servers,
            self.rollouts,
            self.quarantine,
            self.metrics,
            self.clock,
        )
        self.forward_filter = ForwardFilter(
            context, self.settings.bounds, self.count_instances, self.random
        )
        self.chain = link_filters(
            [
                RouteFilter(self.cluster_state, self.freshness),
                self.quarantine,
                self.forward_filter,
            ]
        )

    def _create_listeners(self):
        self.client_listener = Listener(
            self.handle_request, self.codec.refuse, self._get_client_limits, self.clock
        )
        self.readiness_listener = ProbeListener(
            lambda: encode_readiness_response(self.is_ready())
        )
        self.metrics_listener = ProbeListener(self._render_metrics)

    def _render_metrics(self):
        self.metrics.manifest_age.set(min(self.freshness.age, MAX_REPORTED_AGE_S))
        self.metrics.store_calls.set(self.store.calls)
        self.metrics.in_flight.set(self.client_listener.in_flight)
        page = generate_latest(self.metrics.registry)
        return encode_ok_response(page, CONTENT_TYPE_LATEST)

    def _get_client_limits(self):
        manifest = self.cluster_state.manifest
        return ClientLimits() if manifest is None else manifest.limits

    @property
    def failed(self):
        """Event that is set when a controller has failed and the process must exit."""
        return self.supervisor.failed

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
        self.rollouts.apply_bounds(bounds)
        log.info("settings reloaded", bounds_changed=changed)

    def is_ready(self):
        """Return whether this instance should receive new connections."""
        return (
            not self.stopping
            and self.cluster_state.is_complete
            and self.freshness.is_fresh()
        )

    async def handle_request(self, raw, responder):
        """Parse a client request, run the filter chain and send any refusal.

        Parameters
        ----------
        raw : RawRequest
            Request as received from the client.
        responder : Responder
            Writes the response.
        """
        if self.rejecting_requests:
            self.codec.refuse(responder, _build_stopping_refusal())
            return
        parsed = self.codec.parse_request(raw)
        if parsed.is_error():
            self.codec.refuse(responder, parsed.error)
            return
        request = parsed.ok
        request.responder = responder
        result = await self.chain(request)
        if result.is_error() and not responder.started:
            self._log_refusal(request, result.error)
            self.codec.refuse(responder, result.error)

    def _log_refusal(self, request, refusal):
        self.metrics.refusals.labels(refusal.reason.value).inc()
        log.info(
            "refused",
            id=request.id.decode("latin-1"),
            reason=refusal.reason.value,
            message=refusal.message,
            retry_after=refusal.retry_after,
            manifest_age=round(min(self.freshness.age, MAX_REPORTED_AGE_S), 2),
        )

    async def start(self):
        """Open the listeners and start the controllers that watch the store.

        Raises
        ------
        OSError
            If a listener cannot bind its address.
        """
        listeners = self.settings.listeners
        await self.readiness_listener.start(listeners.readiness)
        await self.metrics_listener.start(listeners.metrics)
        await self.sharing.start(listeners.peers)
        await self.client_listener.start(listeners.clients)
        self.supervisor.run(self.mirror.run())
        self.supervisor.run(self.rollouts.run())
        self.supervisor.run(self.membership.run())
        self.supervisor.run(self.sharing.run())
        log.info("listening", instance=self.settings.instance)

    async def stop(self):
        """Shut down gracefully: finish the requests in flight, then close everything.

        Requests still running at the end of the grace period are aborted.
        """
        log.info("stopping", in_flight=self.client_listener.in_flight)
        stopping_since = self.clock()
        self.stopping = True
        self.client_listener.closing = True
        self.supervisor.begin_shutdown()
        grace = self.settings.bounds.shutdown_grace - STOP_MARGIN_S
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, grace))
        self.rejecting_requests = True
        self.client_listener.close_idle()
        time_left = grace - (self.clock() - stopping_since)
        await poll_until(self._is_drained, DRAIN_POLL_INTERVAL_S, time_left)
        log.info("stopped", in_flight=self.client_listener.in_flight)
        await self.membership.deregister()
        await self.close()

    def _is_drained(self):
        self.client_listener.close_idle()
        return self.client_listener.in_flight == 0

    async def close(self):
        """Stop the controllers and abort every connection immediately."""
        await self.supervisor.close()
        self.client_listener.stop_accepting()
        self.client_listener.abort()
        self.readiness_listener.stop()
        self.metrics_listener.stop()
        self.sharing.stop()
        self.connection_pool.close()
        self.store.close()


def _build_stopping_refusal():
    return Refusal(
        RefusalReason.STOPPING,
        "this instance is stopping",
        retry_after=STOPPING_RETRY_S,
    )
