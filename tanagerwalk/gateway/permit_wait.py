"""Permits of one request to be sent to servers that are brittle."""

import math

from expression import Ok

from ..decisions.attempts import find_path_wait
from ..decisions.permits import PermitRequest
from ..decisions.server_room import Ending
from ..decisions.server_usage_table import hash_life
from .attempts import Outcome

# A server that is full answers with this status.
NO_ROOM_STATUS = 503
# A note to the coordinator has to fit a packet.
MAX_CANDIDATES = 64


class PermitWait:
    """Waits for the permits of one request.

    Parameters
    ----------
    permits : ServerPermits
        Asks the coordinators.
    servers : ServerPool
        The servers.
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    denied_wait : float
        Seconds after which a place may come free for a request that got none.
    """

    def __init__(self, permits, servers, request, service, clock):
        self._permits = permits
        self._servers = servers
        self._request = request
        self._service = service
        self._clock = clock
        self._waited = 0.0
        self.denied_wait = 0.0

    @property
    def is_needed(self):
        """Whether the servers are brittle."""
        return self._permits.is_needed(self._service)

    async def acquire(self, candidates, history, is_allowed, longest=math.inf):
        """Wait for a place at one of some servers.

        Parameters
        ----------
        candidates : list of RegisteredServer
            The servers, the best first.
        history : AttemptHistory
            Attempts so far.
        is_allowed : callable
            Takes a RegisteredServer and returns whether it may still be used.
        longest : float
            Seconds for which a place is waited for at most.

        Returns
        -------
        Result of (RegisteredServer or None, Hold), or of Denied
            None if the server takes no requests any more.
        """
        began = self._clock()
        time_left = self._request.deadline - began
        max_wait = find_path_wait(history, self._request.client_timeout)
        patience = max(0.0, min(max_wait - self._waited, time_left, longest))
        lives = tuple(map(hash_life, candidates[:MAX_CANDIDATES]))
        request = PermitRequest(lives, patience, history.may_have_run)
        result = await self._permits.acquire(self._service, request)
        self._waited += self._clock() - began
        if result.is_error():
            self.denied_wait = result.error.wait
            return result
        hold = result.ok
        usage = self._servers.find_life(hold.life)
        is_usable = usage is not None and self._is_usable(usage)
        if not is_usable or not is_allowed(usage.server):
            self._permits.end(hold, Ending.UNUSED)
            return Ok((None, hold))
        return Ok((usage.server, hold))

    def _is_usable(self, usage):
        """Return whether a server still takes requests, after a wait."""
        return usage.accepts_requests and self._servers.is_free(usage, self._clock())

    def begin(self, server):
        """Return the Hold of an attempt that needs no permit."""
        return self._permits.begin(server)

    def end(self, hold, result):
        """Record how an attempt ended; an AttemptResult of None stands for no end."""
        ending = Ending.ABANDONED if result is None else find_ending(result)
        self._permits.end(hold, ending)


def find_ending(result):
    """Return the Ending of a place that an attempt has used.

    Parameters
    ----------
    result : AttemptResult
        How the attempt ended.
    """
    outcome = result.outcome
    if outcome is Outcome.REJECTED and result.status == NO_ROOM_STATUS:
        return Ending.REJECTED
    if outcome in (Outcome.DELIVERED, Outcome.FAILED):
        return Ending.ANSWERED
    if outcome is Outcome.LOST and result.broke_off and result.via is None:
        return Ending.FAILED
    if outcome in (Outcome.LOST, Outcome.SILENT, Outcome.DECLINED):
        return Ending.ABANDONED
    return Ending.UNUSED
