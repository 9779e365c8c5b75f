"""Tells the other instances of the load that this one puts on backend servers."""

import asyncio

import structlog

from ..decisions.release_rollouts import SideCount, Tally
from ..decisions.sharing import SharedLoad, find_period, hash_server
from ..ids import Fingerprint, RouteName, ServiceName
from ..peers.codec import decode, encode
from ..peers.gen.loads.ttypes import (
    CrashBlame,
    LoadMessage,
    RouteTally,
    ServerLoad,
    SessionSides,
    TrialTally,
)

log = structlog.get_logger(__name__)

MS_PER_S = 1000.0
# What is older says nothing of a server's health.
MAX_TOLD_AGO_S = 10.0


class LoadSharing(asyncio.DatagramProtocol):
    """Sends and receives loads as datagrams.

    Parameters
    ----------
    owner : str
        This incarnation.
    servers : ServerPool
        Holds this instance's own loads.
    shared : SharedLoads
        Takes those of the others.
    quarantine : QuarantineFilter
        Exchanges blames with the others.
    rollouts : RolloutController
        Exchanges with the others which sessions are where.
    list_peers : callable
        Returns the addresses of the other instances.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self, owner, servers, shared, quarantine, rollouts, list_peers, clock, random
    ):
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._owner = owner
        self._servers = servers
        self._shared = shared
        self._list_peers = list_peers
        self._clock = clock
        self._random = random
        self._transport = None
        self._sequence = 0
        self._was_idle = False
        self.malformed = 0

    async def start(self, address):
        """Listen at an (IP, port) tuple.

        Raises
        ------
        OSError
            If the address is not to be had.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    @property
    def address(self):
        """The (IP, port) tuple that is listened at."""
        return self._transport.get_extra_info("sockname")

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Take the loads of another instance."""
        result = decode(LoadMessage, data)
        if result.is_error() or not result.ok.sender:
            self.malformed += 1
            log.warning("load message ignored", sender=addr[0], count=self.malformed)
            return
        message = result.ok
        loads = {load.server: decode_load(load) for load in message.loads or ()}
        now = self._clock()
        if self._shared.take(message.sender, message.sequence, loads, now):
            self._take_rest(message)

    def _take_rest(self, message):
        """Take what a new message tells beside loads."""
        if message.blames:
            self._quarantine.take_blames(
                {Fingerprint(b.fingerprint): b.servers for b in message.blames}
            )
        for sides in message.sides or ():
            exceptions = dict.fromkeys(sides.on_target, True)
            exceptions |= dict.fromkeys(sides.on_base, False)
            self._rollouts.take_exceptions(ServiceName(sides.service_name), exceptions)
        for told in message.tallies or ():
            service = ServiceName(told.service_name)
            tally = decode_tally(told)
            self._rollouts.take_tally(message.sender, service, told.order, tally)

    def error_received(self, exc):
        """Ignore that a peer is gone; its entry ends with its lease."""

    async def run(self):
        """Tell the loads until cancelled."""
        while True:
            peers = self._list_peers()
            period = find_period(len(peers))
            await asyncio.sleep(period * (0.75 + 0.5 * self._random.random()))
            self._tell(peers)
            self._shared.forget_silent(self._clock())

    def _tell(self, peers):
        loads = [
            encode_load(server_id, load)
            for server_id, load in self._servers.list_own_loads(self._clock()).items()
        ]
        blames = [
            CrashBlame(fingerprint, sorted(servers))
            for fingerprint, servers in self._quarantine.list_blames().items()
        ]
        sides = self._list_sides()
        if not loads and not blames and not sides and self._was_idle:
            return
        self._was_idle = not loads
        self._sequence += 1
        tallies = [
            encode_tally(service, order, tally)
            for (service, order), tally in self._rollouts.list_tallies().items()
        ]
        message = LoadMessage(
            self._owner,
            self._sequence,
            loads,
            blames or None,
            sides or None,
            tallies or None,
        )
        data = encode(message)
        for address in peers:
            self._transport.sendto(data, address)

    def _list_sides(self):
        return [
            SessionSides(
                service,
                [key for key, on_target in exceptions.items() if on_target],
                [key for key, on_target in exceptions.items() if not on_target],
            )
            for service, exceptions in self._rollouts.list_exceptions().items()
            if exceptions
        ]

    def stop(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def encode_load(server_id, load):
    """Return the ServerLoad that tells of a SharedLoad."""
    heard_ago_ms = None
    if load.heard_ago < MAX_TOLD_AGO_S:
        heard_ago_ms = int(load.heard_ago * MS_PER_S)
    return ServerLoad(
        hash_server(server_id),
        load.in_flight,
        int(load.tokens),
        int(load.silence * MS_PER_S) or None,
        heard_ago_ms,
    )


def decode_load(load):
    """Return the SharedLoad that a ServerLoad tells of."""
    heard_ago = float("inf")
    if load.heard_ago_ms is not None:
        heard_ago = load.heard_ago_ms / MS_PER_S
    silence = (load.silence_ms or 0) / MS_PER_S
    return SharedLoad(load.in_flight, load.tokens, silence, heard_ago)


def encode_tally(service, order, tally):
    """Return the TrialTally that tells of a Tally."""
    nothing = SideCount()
    routes = []
    for route in tally.target.keys() | tally.base.keys():
        target = tally.target.get(route, nothing)
        base = tally.base.get(route, nothing)
        counts = (target.answers, target.bad, base.answers, base.bad)
        routes.append(RouteTally(route, *counts))
    return TrialTally(service, order, routes)


def decode_tally(told):
    """Return the Tally that a TrialTally tells of."""
    tally = Tally()
    for counts in told.routes:
        route = RouteName(counts.route)
        target = SideCount(counts.target_answers, counts.target_bad)
        tally.target[route] = target
        tally.base[route] = SideCount(counts.base_answers, counts.base_bad)
    return tally
