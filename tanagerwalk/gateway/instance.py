"""Runs a gateway instance: start, changed settings, planned stop and close."""

import dataclasses

import structlog

from ..decisions.freshness import find_age_limit
from .components import Components

log = structlog.get_logger(__name__)


class GatewayInstance(Components):
    """A gateway instance, from the start of its controllers to its end.

    The parameters are those of `Components`.
    """

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

    def count_defects(self):
        """Return how many exceptions of controllers and subscribers were contained."""
        logs = (self.supervisor.defects, self.subscriber_defects)
        return sum(log.counts.total() for log in logs)

    def is_ready(self):
        """Return whether this instance should receive new connections."""
        return self.readiness.is_ready()

    async def start(self):
        """Open the listeners and start the controllers that watch the store.

        A listener whose port is in use opens later; everything else starts meanwhile.
        """
        await self.ports.open()
        run = self.supervisor.run
        run("mirror", lambda: self.mirror.run())
        run("operator_watch", lambda: self.store_copy.operator_watch.run())
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

    def _authenticate(self, secret):
        """Exchange data with other instances, with the key of the fleet."""
        self.peer_server.secret = secret
        self.feed.authenticate(secret)
        self.manifest_recovery.authenticate(secret)
        self.tunnel_client.authenticate(secret, self.incarnation)
        self.sharing.authenticate(secret)

    async def stop(self):
        """Shut down gracefully: finish the requests in flight, then close everything.

        Requests still running at the end of the grace period are ended with an answer.
        """
        log.info("stopping", in_flight=self.client_listener.in_flight)
        self.readiness.is_stopping = True
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
