"""Exchanges backend server loads and roll-out data with the other instances."""

import asyncio

import structlog

from ..decisions.release_rollouts import SideCount, Tally
from ..decisions.shared_loads import SharedLoad, compute_period, hash_server
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
# An older response says nothing about a server's current health.
MAX_REPORTED_AGE_S = 10.0


class LoadSharing(asyncio.DatagramProtocol):
    """Sends and receives load messages as UDP datagrams.

    Parameters
    ----------
    incarnation : str
        Id of this instance, new at every start.
    servers : ServerPool
        Provides the load that this instance puts on the servers.
    shared : SharedLoadTable
        Stores the loads reported by the other instances.
    quarantine : QuarantineFilter
        Provides and merges crash records.
    rollouts : ReleaseRolloutController
        Provides and merges side overrides and tallies.
    list_peers : callable
        Returns the addresses of the other instances.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        incarnation,
        servers,
        shared,
        quarantine,
        rollouts,
        list_peers,
        clock,
        random,
    ):
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._incarnation = incarnation
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
            If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    @property
    def address(self):
        """The (IP, port) tuple of the bound socket."""
        return self._transport.get_extra_info("sockname")

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Process a load message of another instance."""
        result = decode(LoadMessage, data)
        if result.is_error() or not result.ok.sender:
            self.malformed += 1
            log.warning(
                "ignored malformed load message", sender=addr[0], count=self.malformed
            )
            return
        message = result.ok
        loads = {load.server: decode_load(load) for load in message.loads or ()}
        now = self._clock()
        if self._shared.update(message.sender, message.sequence, loads, now):
            self._apply_other_sections(message)

    def _apply_other_sections(self, message):
        """Process crash records, side overrides and tallies of a message."""
        if message.blames:
            self._quarantine.merge_blames(
                {Fingerprint(b.fingerprint): b.servers for b in message.blames}
            )
        for sides in message.sides or ():
            overrides = dict.fromkeys(sides.on_target, True)
            overrides |= dict.fromkeys(sides.on_base, False)
            self._rollouts.merge_side_overrides(
                ServiceName(sides.service_name), overrides
            )
        for encoded in message.tallies or ():
            service = ServiceName(encoded.service_name)
            tally = decode_tally(encoded)
            self._rollouts.record_peer_tally(
                message.sender, service, encoded.order, tally
            )

    def error_received(self, exc):
        """Ignore unreachable peers; their entries expire with their leases."""

    async def run(self):
        """Send load messages until cancelled."""
        while True:
            peers = self._list_peers()
            period = compute_period(len(peers))
            await asyncio.sleep(period * (0.75 + 0.5 * self._random.random()))
            self._broadcast(peers)
            self._shared.expire_peers(self._clock())

    def _broadcast(self, peers):
        loads = [
            encode_load(server_id, load)
            for server_id, load in self._servers.list_own_loads(self._clock()).items()
        ]
        blames = [
            CrashBlame(fingerprint, sorted(servers))
            for fingerprint, servers in self._quarantine.list_recent_blames().items()
        ]
        sides = self._encode_sides()
        if not loads and not blames and not sides and self._was_idle:
            return
        self._was_idle = not loads
        self._sequence += 1
        tallies = [
            encode_tally(service, order, tally)
            for (service, order), tally in self._rollouts.list_own_tallies().items()
        ]
        message = LoadMessage(
            self._incarnation,
            self._sequence,
            loads,
            blames or None,
            sides or None,
            tallies or None,
        )
        data = encode(message)
        for address in peers:
            self._transport.sendto(data, address)

    def _encode_sides(self):
        return [
            SessionSides(
                service,
                [key for key, on_target in overrides.items() if on_target],
                [key for key, on_target in overrides.items() if not on_target],
            )
            for service, overrides in self._rollouts.list_side_overrides().items()
            if overrides
        ]

    def stop(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def encode_load(server_id, load):
    """Convert a SharedLoad to a ServerLoad message."""
    heard_ago_ms = None
    if load.heard_ago < MAX_REPORTED_AGE_S:
        heard_ago_ms = int(load.heard_ago * MS_PER_S)
    return ServerLoad(
        hash_server(server_id),
        load.in_flight,
        int(load.tokens),
        int(load.silence * MS_PER_S) or None,
        heard_ago_ms,
    )


def decode_load(load):
    """Convert a ServerLoad message to a SharedLoad."""
    heard_ago = float("inf")
    if load.heard_ago_ms is not None:
        heard_ago = load.heard_ago_ms / MS_PER_S
    silence = (load.silence_ms or 0) / MS_PER_S
    return SharedLoad(load.in_flight, load.tokens, silence, heard_ago)


def encode_tally(service, order, tally):
    """Convert a Tally to a TrialTally message."""
    empty = SideCount()
    routes = []
    for route in tally.target.keys() | tally.base.keys():
        target = tally.target.get(route, empty)
        base = tally.base.get(route, empty)
        counts = (target.answers, target.bad, base.answers, base.bad)
        routes.append(RouteTally(route, *counts))
    return TrialTally(service, order, routes)


def decode_tally(encoded):
    """Convert a TrialTally message to a Tally."""
    tally = Tally()
    for counts in encoded.routes:
        route = RouteName(counts.route)
        target = SideCount(counts.target_answers, counts.target_bad)
        tally.target[route] = target
        tally.base[route] = SideCount(counts.base_answers, counts.base_bad)
    return tally
