"""Waits of one request while no server takes it."""

import asyncio
import math

from ..decisions.attempts import find_path_wait
from ..decisions.server_usage_table import hash_life
from ..outcomes import RefusalReason

PATH_POLL_INTERVAL_S = 0.05
# Seconds for which a LimitQueue is used again by the next steps of the same round.
LIMIT_QUEUE_LIFETIME_S = 0.005


class PlaceWait:
    """Decides whether a request waits for a server, and waits.

    Parameters
    ----------
    servers : ServerPool
        The servers.
    limit_slots : LimitSlots
        Asks other instances for slots of the limits of servers.
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.
    allows_server : callable
        Takes a RegisteredServer and returns whether the request may use it.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, servers, limit_slots, request, service, allows_server, clock):
        self._servers = servers
        self._limit_slots = limit_slots
        self._request = request
        self._service = service
        self._allows_server = allows_server
        self._clock = clock
        self._unreachable_since = None
        self._waited_for_limit = 0.0
        self._limit_queue = None
        self._queue_read_at = float("-inf")
        self._granted = None

    async def wait(self, history, choose_askable=None):
        """Wait a moment if servers exist but can't be reached, or have limits.

        Parameters
        ----------
        history : AttemptHistory
            Attempts so far.
        choose_askable : callable or None
            Takes RegisteredServers that only limits keep back, and returns those at
            which other instances may be asked for a slot. None if they aren't asked.

        Returns
        -------
        bool
            Whether to look for a server again.
        """
        if not self._servers.has_server(self._service, self._allows_server):
            return False
        max_wait = find_path_wait(history, self._request.client_timeout)
        queue = self.find_limit_queue()
        if queue is not None and queue.wait > 0.0:
            return await self._wait_for_limit(queue, max_wait, choose_askable)
        if self.find_hold() > 0.0:
            return False
        return await self._wait_for_path(max_wait)

    async def _wait_for_path(self, max_wait):
        now = self._clock()
        if self._unreachable_since is None:
            self._unreachable_since = now
        waited = now - self._unreachable_since
        time_left = self._request.deadline - now
        if waited >= max_wait or time_left <= PATH_POLL_INTERVAL_S:
            return False
        await asyncio.sleep(PATH_POLL_INTERVAL_S)
        return True

    async def _wait_for_limit(self, queue, max_wait, choose_askable):
        """Wait until a server with a limit takes a request, if that is soon."""
        limits = self._servers.limits
        waiting = limits.waiting
        expected = queue.estimate_wait(waiting[self._service])
        time_left = self._request.deadline - self._clock()
        patience = min(max_wait, time_left) - self._waited_for_limit
        if expected > patience:
            now = self._clock()
            limits.booking_horizon.record_turned_away(self._service, patience, now)
            if choose_askable and await self._acquire_slot(choose_askable, patience):
                return True
            limits.refusal_count += 1
            return False
        limits.wait_count += 1
        waiting[self._service] += 1
        try:
            await asyncio.sleep(queue.wait)
        finally:
            waiting[self._service] -= 1
        self._waited_for_limit += queue.wait
        self._queue_read_at = float("-inf")
        return True

    async def _acquire_slot(self, choose_askable, patience):
        """Return whether another instance grants a slot; wait until it begins."""
        began = self._clock()
        servers = self._servers.list_limited(self._service, began, self._allows_server)
        reachable = [s for s in servers if self._servers.is_reachable(s)]
        lives = [hash_life(server) for server in choose_askable(reachable)]
        slot = await self._limit_slots.acquire(self._service, lives, patience)
        if slot is not None:
            await self._sleep_until(slot.begins_at)
        self._granted = slot
        self._waited_for_limit += self._clock() - began
        self._queue_read_at = float("-inf")
        return slot is not None

    async def _sleep_until(self, time):
        # Timers may run out a little early.
        time_left = time - self._clock()
        while time_left > 0.0:
            await asyncio.sleep(time_left)
            time_left = time - self._clock()

    def find_granted_server(self):
        """Return the server at which another instance has granted a slot, or None."""
        slot, now = self._granted, self._clock()
        if slot is None:
            return None
        usage = self._servers.find_life(slot.life)
        is_usable = (
            usage is not None
            and usage.accepts_requests
            and usage.held_until <= now
            and self._servers.is_reachable(usage.server)
        )
        if not is_usable or not slot.is_open(now):
            self._granted = None
            return None
        return usage.server

    def take_slot(self, server):
        """Return a SendSlot for a request to a server, or None if it has no limit.

        Parameters
        ----------
        server : RegisteredServer
            The server, to which the request is about to be sent.
        """
        granted, self._granted = self._granted, None
        if granted is not None and granted.life == hash_life(server):
            return granted
        return self._servers.take_slot(server, self._clock())

    def is_kept_off(self):
        """Return whether servers exist, but take no request now.

        By their own word, or as all of them are evacuated.
        """
        if self._is_evacuated():
            return True
        return self.find_limit_queue() is not None or self.find_hold() > 0.0

    def find_reason(self):
        """Return the RefusalReason of a request that finds no server."""
        if self._is_evacuated():
            return RefusalReason.EVACUATED
        return RefusalReason.NO_BACKEND_SERVER

    def _is_evacuated(self):
        return self._servers.is_evacuated(self._service, self._allows_server)

    def find_limit_queue(self):
        """Return the LimitQueue of the allowed servers, or None if none has a limit."""
        now = self._clock()
        if now - self._queue_read_at > LIMIT_QUEUE_LIFETIME_S:
            self._queue_read_at = now
            self._limit_queue = self._servers.find_limit_queue(
                self._service, now, self._allows_server
            )
        return self._limit_queue

    def find_hold(self):
        """Return the seconds for which every server wants no requests."""
        now = self._clock()
        hold = self._servers.find_hold(self._service, now, self._allows_server)
        queue = self.find_limit_queue()
        if hold > 0.0 and queue is not None:
            waiting = self._servers.limits.waiting[self._service]
            hold = max(hold, queue.estimate_wait(waiting))
        # Without a part of any limit, the client's next attempt finds another instance.
        return hold if math.isfinite(hold) else 0.0


def list_askable(servers, allows_server, has_room, tried):
    """Return the servers at which a request would use a slot of another instance.

    Parameters
    ----------
    servers : list of RegisteredServer
        Servers that only their limits keep back.
    allows_server : callable
        Takes a server and returns whether the request may use it now.
    has_room : callable
        Takes a server and returns whether it has room; others are left out unless
        there are only such.
    tried : set of BackendServerId
        Servers that have failed the request; left out unless there are only such.

    Returns
    -------
    list of RegisteredServer
    """
    allowed = [server for server in servers if allows_server(server)]
    untried = [server for server in allowed if server.id not in tried] or allowed
    return [server for server in untried if has_room(server)] or untried
