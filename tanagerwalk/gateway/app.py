"""Composition root of a gateway instance."""

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
from ..decisions.sharing import SharedLoads
from ..filters.chain import link_filters
from ..manifest import ClientLimits
from ..outcomes import Refusal, RefusalReason
from ..supervisor import Supervisor
from .exchange import Exchange
from .forwarding import ForwardFilter
from .knowledge import Knowledge
from .listener import Listener
from .membership import MembershipController
from .metrics import GatewayMetrics
from .mirror import Mirror, read_boot_clock
from .pool import ConnectionPool
from .probes import ProbeListener, encode_page, encode_readiness
from .quarantine import QuarantineFilter
from .rollouts import OWN_PREFIX, RolloutController
from .routing import RouteFilter
from .sharing import LoadSharing
from .work import Parts

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.4
ALL_KEYS = ""
WATCH_WAIT_S = 1.0
PEER_PREFIX = OWN_PREFIX + "instance/"
ACCEPT_AFTER_STOP_S = 2.6
STOP_MARGIN_S = 0.6
UNKNOWN_AGE_S = 1e6
STOPPING_RETRY_S = 0.05
QUIET_POLL_S = 0.05
ASSUMED_INSTANCES = 9


class GatewayInstance:
    """One gateway instance: listeners, filter chain and copies of the store.

    Build it inside a running event loop.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    store : MetadataStore
        The platform's store.
    codec : PlatformCodec
        The platform's formats.
    clock : callable
        Returns monotonic time in seconds.
    seed : int or None
        Seed of jitter and choice; None for a random one.
    """

    def __init__(self, settings, store, codec, clock=time.monotonic, seed=None):
        self.settings = settings
        self.store = store
        self.codec = codec
        self.clock = clock
        self.random = random.Random(seed)
        self.owner = f"{settings.instance}.{uuid.uuid4().hex[:8]}"
        self.metrics = GatewayMetrics()
        self.supervisor = Supervisor()
        self.stopping = False
        self.refusing = False
        self._wire_state()
        self._wire_chain()
        self._wire_listeners()

    def _wire_state(self):
        settings = self.settings
        bounds = settings.bounds
        limit = find_age_limit(bounds.strict_revocation, bounds.revocation)
        self.freshness = Freshness(limit, read_boot_clock)
        home = Home(settings.failure_domain, settings.region, settings.regions)
        self.shared = SharedLoads()
        self.servers = ServerPool(home, self.shared, self.random)
        self.connections = ConnectionPool(CONNECT_TIMEOUT_S, self.clock)
        self.mirror = Mirror(
            self.store,
            ALL_KEYS,
            WATCH_WAIT_S,
            lambda: find_watch_pause(
                self.settings.bounds.drain, self.count_instances()
            ),
            lambda: find_retry_pause(self.count_instances()),
            self.random,
            self.codec.server_prefix,
        )
        self.mirror.confirm_to(self.freshness.confirm)
        self.knowledge = Knowledge(
            self.mirror,
            self.codec,
            self.servers,
            self.connections.forget,
        )

        self.rollouts = RolloutController(
            self.store,
            self.mirror,
            self.knowledge,
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
            self.owner,
            lambda: self.sharing.address,
            self.random,
        )
        self.quarantine = QuarantineFilter(self.servers, self.clock)
        self.sharing = LoadSharing(
            self.owner,
            self.servers,
            self.shared,
            self.quarantine,
            self.rollouts,
            lambda: list(self.membership.peers.values()),
            self.clock,
            self.random,
        )

    def _wire_chain(self):
        exchange = Exchange(self.connections, self.servers, self.codec, self.clock)
        parts = Parts(
            exchange,
            self.servers,
            self.rollouts,
            self.quarantine,
            self.metrics,
            self.clock,
        )
        self.forward = ForwardFilter(
            parts, self.settings.bounds, self.count_instances, self.random
        )
        self.chain = link_filters(
            [RouteFilter(self.knowledge, self.freshness), self.quarantine, self.forward]
        )

    def _wire_listeners(self):
        self.clients = Listener(
            self.answer, self.codec.refuse, self._find_limits, self.clock
        )
        self.readiness = ProbeListener(lambda: encode_readiness(self.is_ready()))
        self.metrics_page = ProbeListener(self._render_metrics)

    def _render_metrics(self):
        self.metrics.manifest_age.set(min(self.freshness.age, UNKNOWN_AGE_S))
        self.metrics.store_calls.set(self.store.calls)
        self.metrics.in_flight.set(self.clients.in_flight)
        page = generate_latest(self.metrics.registry)
        return encode_page(page, CONTENT_TYPE_LATEST)

    def _find_limits(self):
        manifest = self.knowledge.manifest
        return ClientLimits() if manifest is None else manifest.limits

    @property
    def failed(self):
        """Event that is set when an invariant is broken and the process has to end."""
        return self.supervisor.failed

    def count_instances(self):
        """Return how many instances serve, as far as this one knows."""
        if not self.mirror.listed:
            return ASSUMED_INSTANCES
        return 1 + len(self.membership.peers)

    def take_settings(self, settings):
        """Put changed bounds in force; addresses stay as they were at the start.

        Parameters
        ----------
        settings : GatewaySettings
            The settings as they are now.
        """
        bounds = settings.bounds
        changed = bounds != self.settings.bounds
        self.settings = dataclasses.replace(self.settings, bounds=bounds)
        limit = find_age_limit(bounds.strict_revocation, bounds.revocation)
        self.freshness.set_limit(limit)
        self.forward.take_bounds(bounds)
        self.rollouts.take_bounds(bounds)
        log.info("settings reloaded", bounds_changed=changed)

    def is_ready(self):
        """Return whether new connections are welcome."""
        return (
            not self.stopping and self.knowledge.complete and self.freshness.is_fresh()
        )

    async def answer(self, raw, responder):
        """Answer one request of a client.

        Parameters
        ----------
        raw : RawRequest
            What the client sent.
        responder : Responder
            Writes the answer.
        """
        if self.refusing:
            self.codec.refuse(responder, _refuse_stopping())
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
            manifest_age=round(min(self.freshness.age, UNKNOWN_AGE_S), 2),
        )

    async def start(self):
        """Open the listeners and start to follow the store.

        Raises
        ------
        OSError
            If an address is not to be had.
        """
        listeners = self.settings.listeners
        await self.readiness.start(listeners.readiness)
        await self.metrics_page.start(listeners.metrics)
        await self.sharing.start(listeners.peers)
        await self.clients.start(listeners.clients)
        self.supervisor.run(self.mirror.run())
        self.supervisor.run(self.rollouts.run())
        self.supervisor.run(self.membership.run())
        self.supervisor.run(self.sharing.run())
        log.info("listening", instance=self.settings.instance)

    async def stop(self):
        """Stop without cutting a request in flight."""
        log.info("stopping", in_flight=self.clients.in_flight)
        began = self.clock()
        self.stopping = True
        self.clients.closing = True
        self.supervisor.expect_ends()
        grace = self.settings.bounds.grace - STOP_MARGIN_S
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, grace))
        self.refusing = True
        self.clients.close_idle()
        left = grace - (self.clock() - began)
        await poll_until(self._is_quiet, QUIET_POLL_S, left)
        log.info("stopped", in_flight=self.clients.in_flight)
        await self.membership.release()
        await self.close()

    def _is_quiet(self):
        self.clients.close_idle()
        return self.clients.in_flight == 0

    async def close(self):
        """Stop following the store and end every connection at once."""
        await self.supervisor.close()
        self.clients.stop_accepting()
        self.clients.abort()
        self.readiness.stop()
        self.metrics_page.stop()
        self.sharing.stop()
        self.connections.close()
        self.store.close()


def _refuse_stopping():
    return Refusal(
        RefusalReason.STOPPING,
        "this instance is stopping",
        retry_after=STOPPING_RETRY_S,
    )
