"""The steps of a planned stop, from the signal to the last byte for the clients."""

import asyncio

import structlog

from ..controllers.loop import poll_until

log = structlog.get_logger(__name__)

# While stopping, new connections and requests are still served for this long.
ACCEPT_AFTER_STOP_S = 2.6
# Part of the shutdown grace period in which the last requests are ended, their clients
# told, and everything is closed.
STOP_MARGIN_S = 0.8
# Parts of that for the last bytes to clients, and for the end of the process.
FLUSH_TIMEOUT_S = 0.3
CLOSE_RESERVE_S = 0.3
DRAIN_POLL_INTERVAL_S = 0.05
FLUSH_POLL_INTERVAL_S = 0.01


class PlannedStop:
    """Finishes the requests in flight, and answers those that can't be finished.

    Parameters
    ----------
    stop_control : StopControl
        Knows which requests can still end, and ends the others.
    request_handler : RequestHandler
        Refuses all requests in the end.
    client_listener : Listener
        Connections of clients.
    tunnel_server : TunnelServer
        Connections to servers for other instances.
    membership : MembershipController
        Entry of this instance in the store.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        stop_control,
        request_handler,
        client_listener,
        tunnel_server,
        membership,
        clock,
    ):
        self._stop_control = stop_control
        self._request_handler = request_handler
        self._client_listener = client_listener
        self._tunnel_server = tunnel_server
        self._membership = membership
        self._clock = clock

    async def run(self, grace):
        """Run the steps within the shutdown grace period, in seconds."""
        closes_at = self._clock() + grace - CLOSE_RESERVE_S
        ends_at = self._clock() + grace - STOP_MARGIN_S
        self._stop_control.begin(ends_at)
        self._client_listener.closing = True
        self._tunnel_server.stop_accepting()
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, ends_at - self._clock()))
        self._request_handler.is_stopping = True
        self._client_listener.refusing = True
        time_left = ends_at - self._clock()
        await poll_until(self._is_drained, DRAIN_POLL_INTERVAL_S, time_left)
        await self._end_requests()
        await self._deregister(closes_at)

    def _is_drained(self):
        return self._has_told_clients() and self._tunnel_server.tunnel_count == 0

    def _has_told_clients(self):
        """Return whether clients have got every byte that there was for them."""
        self._client_listener.close_idle()
        return self._client_listener.is_drained

    async def _end_requests(self):
        """Answer the requests that still run, and wait until clients have it."""
        ended = self._stop_control.end_all()
        log.info("stopped", in_flight=self._client_listener.in_flight, ended=ended)
        await poll_until(self._has_told_clients, FLUSH_POLL_INTERVAL_S, FLUSH_TIMEOUT_S)

    async def _deregister(self, closes_at):
        """Remove the entry of this instance, unless the store takes too long."""
        try:
            async with asyncio.timeout(max(0.0, closes_at - self._clock())):
                await self._membership.deregister()
        except TimeoutError:
            log.warning("membership entry not removed in time")
