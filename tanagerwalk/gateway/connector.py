"""Opens connections to backend servers, by the path that works."""

import asyncio
import itertools
from functools import partial

import structlog
from expression import Error

from ..decisions.paths import PathState
from ..stalls import measure_stall
from .connect_faults import ConnectFault
from .connections import open_connection

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.4
# A server that has just been used accepts a connection within a round trip.
CHECK_TIMEOUT_S = 0.15
# Between the instances that are asked for one connection.
NEXT_PEER_DELAY_S = 0.08
MIN_PROBE_PAUSE_S = 0.25
MAX_PROBE_PAUSE_S = 2.0
MS_PER_S = 1000.0
# What a dial returns if the host is up and nothing listens on the port.
REFUSED = ConnectionRefusedError.__name__
# Which fault is told if there are several: one of this instance comes first.
FAULT_ORDER = (ConnectFault.DESCRIPTORS_FULL, ConnectFault.NO_ALLOWED_PATH)


class ServerConnector:
    """Connects to a server directly, or through another instance.

    A connection attempt has sent nothing yet, so that several may run at once for one
    request. While the direct path to a server is out, it is probed in the background.

    Parameters
    ----------
    paths : PathTable
        Records which paths work.
    tunnels : TunnelClient
        Opens connections through other instances.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Spreads the probes of the fleet over time.

    Attributes
    ----------
    dial : callable
        Opens a TCP connection, like `open_connection`.
    on_probed : callable
        Takes a RegisteredServer and an unused Connection to it, which a probe opened.
    on_reachable : callable
        Takes a RegisteredServer whose direct path works again.
    on_returned : callable
        Takes a RegisteredServer that is reached again, and the Outage that has ended.
    """

    def __init__(self, paths, tunnels, clock, random):
        self._paths = paths
        self._tunnels = tunnels
        self._clock = clock
        self._random = random
        self._probes = {}
        self.dial = open_connection
        self.on_probed = _abort_unused
        self.on_reachable = _ignore
        self.on_returned = _ignore_return

    async def connect(self, server, limit, allows_peer=None):
        """Open a connection to a server.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        limit : float
            Longest time in seconds.
        allows_peer : callable or None
            Takes an incarnation and returns whether the connection may lead through
            that instance; None if it may lead through all.

        Returns
        -------
        Result of Connection, or of ConnectFault or str
        """
        timeout = min(CONNECT_TIMEOUT_S, limit)
        if timeout <= 0.0:
            return Error("no time left")
        state = self._paths.get_state(server.id)
        if state is PathState.UNREACHABLE:
            return Error("unreachable")
        faults = set()
        direct = _note_fault(partial(self._dial, server, timeout), faults)
        tunnels = [
            self._open_tunnel(peer_id, server)
            for peer_id in self._tunnels.rank_peers(server, allows_peer)
        ]
        if state is PathState.INDIRECT:
            if allows_peer is not None:
                # Others may still use the instances that weren't asked.
                faults.add(ConnectFault.NO_ALLOWED_PATH)
            openers = [*tunnels, direct]
            return await self._connect_indirectly(server, openers, timeout, faults)
        is_restricted = allows_peer is not None
        return await self._connect_directly(
            server, direct, tunnels, timeout, faults, is_restricted
        )

    async def check(self, server):
        """Return whether a server that was reached directly still accepts connections.

        One that can't be checked for want of descriptors counts as accepting them.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        """
        result = await self._dial(server, CHECK_TIMEOUT_S)
        if result.is_error() and isinstance(result.error, ConnectFault):
            return True
        if result.is_error():
            self._record_lost(server, result)
            return False
        self._record_reached(server)
        self.on_probed(server, result.ok)
        return True

    async def _connect_directly(
        self, server, direct, tunnels, timeout, faults, is_restricted
    ):
        tunnel_delay = self._paths.find_tunnel_delay(self._clock())
        delays = itertools.chain([tunnel_delay], itertools.repeat(NEXT_PEER_DELAY_S))
        result = await open_first([direct, *tunnels], delays, timeout)
        if result.is_ok():
            self._record_reached(server)
        if faults:
            return _prefer_fault(result, faults)
        if result.is_error() and is_restricted:
            # Instances that weren't asked may still reach the server, unless a check
            # has found meanwhile that none does.
            if not self._paths.is_unreachable(server.id):
                self._record_lost(server, result, PathState.INDIRECT)
            return Error(ConnectFault.NO_ALLOWED_PATH)
        if result.is_error() or result.ok.via is not None:
            self._record_lost(server, result)
        return result

    async def _connect_indirectly(self, server, openers, timeout, faults):
        delays = itertools.repeat(NEXT_PEER_DELAY_S)
        result = await open_first(openers, delays, timeout)
        if result.is_error() and faults:
            return _prefer_fault(result, faults)
        if result.is_error():
            self._record_lost(server, result)
            return result
        self._record_reached(server)
        if result.ok.via is None:
            self._record_direct(server)
        return result

    async def _open_tunnel(self, peer_id, server):
        """Open a tunnel; a fault of this instance is only one more way that failed.

        Whether the server can be blamed depends on the direct path alone.
        """
        result = await self._tunnels.open(peer_id, server)
        if result.is_error() and isinstance(result.error, ConnectFault):
            return Error(f"tunnel {result.error.value}")
        return result

    async def _dial(self, server, timeout):
        result = await self.dial(server.address, timeout)
        if result.is_error() and result.error == REFUSED:
            self._paths.record_refused(server.id)
        return result

    def _record_reached(self, server):
        outage = self._paths.record_reached(server.id)
        if outage is not None:
            self.on_returned(server, outage)

    def _record_lost(self, server, result, state=None):
        is_reached = result.is_ok()
        if state is None:
            state = PathState.INDIRECT if is_reached else PathState.UNREACHABLE
        if self._paths.record_lost(server.id, state, self._clock()):
            log.info(
                "server unreachable",
                server=server.id,
                service=server.service,
                path=state.value,
                via=result.ok.via if is_reached else None,
                cause=None if is_reached else result.error,
            )
        if server.id not in self._probes:
            task = asyncio.get_running_loop().create_task(self._probe(server))
            self._probes[server.id] = task

    def _record_direct(self, server):
        lost_for = self._paths.record_direct(server.id, self._clock())
        if lost_for is not None:
            log.info(
                "server reachable again",
                server=server.id,
                service=server.service,
                after_ms=round(lost_for * MS_PER_S),
            )
            self.on_reachable(server)

    async def _probe(self, server):
        """Try the lost paths to a server until the direct one works."""
        pause = MIN_PROBE_PAUSE_S
        try:
            while True:
                await asyncio.sleep(pause * (0.5 + self._random.random()))
                if self._paths.get_state(server.id) is PathState.DIRECT:
                    return
                try:
                    await self.probe_once(server)
                except Exception:
                    # Without probes the server would be out of use for good.
                    log.exception("probe failed", server=server.id)
                pause = min(2.0 * pause, MAX_PROBE_PAUSE_S)
        finally:
            del self._probes[server.id]

    async def probe_once(self, server):
        """Try the lost paths to a server once.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        """
        state = self._paths.get_state(server.id)
        result = await self._dial(server, CONNECT_TIMEOUT_S)
        if result.is_ok():
            self._record_reached(server)
            self._record_direct(server)
            self.on_probed(server, result.ok)
            return
        if state is PathState.INDIRECT:
            return
        openers = [
            self._tunnels.open(peer_id, server)
            for peer_id in self._tunnels.rank_peers(server)
        ]
        delays = itertools.repeat(NEXT_PEER_DELAY_S)
        result = await open_first(openers, delays, CONNECT_TIMEOUT_S)
        # The server may have gone, or a direct connection opened, in the meantime.
        is_lost = self._paths.get_state(server.id) is not PathState.DIRECT
        if result.is_ok():
            self._record_reached(server)
            if is_lost:
                self._record_lost(server, result)
            self.on_probed(server, result.ok)

    def close(self):
        """Stop the probes."""
        for task in self._probes.values():
            task.cancel()


async def _note_fault(open_, faults):
    """Open a connection, and note if this instance couldn't try to.

    Neither the server nor its path can then be blamed.
    """
    result = await open_()
    if result.is_error() and isinstance(result.error, ConnectFault):
        faults.add(result.error)
    return result


def _prefer_fault(result, faults):
    """Return a Result, whose error is a fault; a want of descriptors comes first."""
    if result.is_ok():
        return result
    return Error(min(faults, key=FAULT_ORDER.index))


def _abort_unused(server, connection):
    del server
    connection.abort()


def _ignore(server):
    del server


def _ignore_return(server, outage):
    del server, outage


async def open_first(openers, delays, timeout):
    """Run coroutines that open a connection, and return the first that succeeds.

    The next one starts when one has failed, or after a delay beside those that run.

    Parameters
    ----------
    openers : list of coroutine
        Each returns a Result of Connection, or of str.
    delays : iterable of float
        Seconds after which the second one and those that follow start.
    timeout : float
        Seconds after which all are cancelled, beside those for which the event loop
        stood still.

    Returns
    -------
    Result of Connection, or of str
        The error is the last one.
    """
    waiting = list(openers)
    delays = iter(delays)
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout
    running = set()
    result = Error("no path")
    try:
        while waiting or running:
            if waiting:
                running.add(loop.create_task(waiting.pop(0)))
            remaining = max(0.0, ends_at - loop.time())
            delay = min(remaining, next(delays)) if waiting else remaining
            due_at = loop.time() + delay
            done, running = await asyncio.wait(
                running, timeout=delay, return_when=asyncio.FIRST_COMPLETED
            )
            now = loop.time()
            ends_at = max(ends_at, now + measure_stall(now - due_at, timeout))
            opened = [task.result() for task in done]
            succeeded = [each for each in opened if each.is_ok()]
            for extra in succeeded[1:]:
                extra.ok.abort()
            if succeeded:
                result = succeeded[0]
                break
            result = opened[0] if opened else result
            if loop.time() >= ends_at:
                result = Error("TimeoutError")
                break
    finally:
        await _cancel(running)
        for opener in waiting:
            opener.close()
    return result


async def _cancel(tasks):
    """Cancel tasks that open a connection, and close those that open one anyway."""
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(result, BaseException) and result.is_ok():
            result.ok.abort()
