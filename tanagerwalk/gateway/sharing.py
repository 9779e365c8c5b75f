"""Exchanges backend server loads and roll-out data with the other instances."""

import asyncio

import structlog

from ..decisions.relayed_items import RelayedItems, RelayedMaxima
from ..decisions.relays import Role, Scope
from ..decisions.replay_window import ReplayWindow
from ..decisions.shared_demands import SharedDemandTable
from ..decisions.shared_loads import hash_server
from ..peers.codec import encode
from ..repeated_warnings import RateLimitedWarning
from .datagram_sender import DatagramSender
from .load_message_builder import Contents, LoadMessageBuilder
from .load_message_receiver import LoadMessageReceiver
from .load_messages import MAC_BYTES, decode_message, sign
from .permit_notes import SLOT_KINDS, decode_permit_note
from .server_speed_sharing import SpeedSharing
from .session_notes import decode_note

log = structlog.get_logger(__name__)

MAX_LEAVING = 24
RELAYED_LIFETIME_S = 1.5


class LoadSharing(asyncio.DatagramProtocol):
    """Sends and receives load messages as UDP datagrams.

    Parameters
    ----------
    incarnation : str
        Id of this instance, new at every start.
    failure_domain : FailureDomain
        Where this instance runs.
    servers : ServerPool
        Provides the load that this instance puts on the servers.
    shared : SharedLoadTable
        Stores the loads reported by the other instances.
    relays : RelaySelection
        Tells to whom messages are sent.
    quarantine : QuarantineFilter
        Provides and merges crash records.
    rollouts : ReleaseRolloutController
        Provides and merges tallies.
    assigner : ReleaseAssigner
        Provides and merges side overrides, and receives notes about sessions.
    get_peers : callable
        Returns the Peer of each other instance, by incarnation.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.

    Attributes
    ----------
    on_permit_note : callable
        Takes the incarnation of the sender and a PermitNote.
    on_slot_note : callable
        The same for a note about slots of limits.
    demands : SharedDemandTable
        Provides and stores the demand for contended services.
    """

    def __init__(
        self,
        incarnation,
        failure_domain,
        servers,
        shared,
        relays,
        quarantine,
        rollouts,
        assigner,
        get_peers,
        clock,
        random,
    ):
        self._incarnation = incarnation
        self._servers = servers
        self._shared = shared
        self._relays = relays
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._assigner = assigner
        self._get_peers = get_peers
        self._clock = clock
        self._random = random
        self._relayed_sides = RelayedItems(RELAYED_LIFETIME_S)
        self._relayed_cold = RelayedMaxima(RELAYED_LIFETIME_S)
        self._secret = None
        self._sender = DatagramSender(get_peers)
        self._speeds = SpeedSharing(servers.speeds)
        self._builder = LoadMessageBuilder(incarnation, failure_domain, random)
        self._role = Role.FLAT
        self._was_idle = False
        self._replays = ReplayWindow()
        # Rate-limited, as anyone can send to the port.
        self._rejected = RateLimitedWarning("rejected load message", clock)
        self.on_permit_note = _ignore_note
        self.on_slot_note = _ignore_note
        self.demands = SharedDemandTable()
        self._receiver = LoadMessageReceiver(
            failure_domain,
            servers,
            shared,
            relays,
            quarantine,
            rollouts,
            assigner,
            self.demands,
            self._speeds,
            self._relayed_sides,
            self._relayed_cold,
        )

    def authenticate(self, secret):
        """Start to send and to believe messages, with the key of the fleet."""
        self._secret = secret.encode()

    @property
    def has_key(self):
        """Whether the key of the fleet is known."""
        return self._secret is not None

    async def serve(self, sock):
        """Receive datagrams on a bound socket; none can be sent before."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    @property
    def address(self):
        """The (IP, port) tuple of the bound socket."""
        return self._sender.transport.get_extra_info("sockname")

    def connection_made(self, transport):
        """Store the transport."""
        self._sender.transport = transport

    def datagram_received(self, data, addr):
        """Process a load message of another instance."""
        if self._secret is None:
            return
        result = decode_message(self._secret, data)
        if result.is_error():
            self._rejected.record(sender=addr[0], problem=result.error)
            return
        if not self._is_new(result.ok, data[:MAC_BYTES]):
            self._rejected.record(sender=addr[0], problem="replayed")
            return
        try:
            self._process(result.ok)
        except Exception:
            # The event loop would close the socket.
            log.exception("load message failed")
            self._rejected.record(sender=addr[0], problem="defect")

    def _is_new(self, message, mac):
        """Return whether a message is neither a replay nor this instance's own."""
        if message.sender == self._incarnation:
            return False
        return self._replays.accept(message.sender, message.sequence, mac)

    @property
    def rejected(self):
        """Number of datagrams that were refused or whose processing failed."""
        return self._rejected.count

    def _process(self, message):
        now = self._clock()
        self._relays.record_heard(message.sender, now)
        if message.notes:
            self._receive_notes(message)
            return
        if message.permits:
            self._receive_permit_notes(message)
            return
        self._receiver.receive(message, self._role, now)

    def _receive_notes(self, message):
        notes = [decode_note(encoded) for encoded in message.notes]
        readable = [note for note in notes if note is not None]
        self._assigner.receive(message.sender, readable)

    def _receive_permit_notes(self, message):
        notes = [decode_permit_note(encoded) for encoded in message.permits]
        for note in notes:
            if note is None:
                continue
            is_of_slot = note.kind in SLOT_KINDS
            handle = self.on_slot_note if is_of_slot else self.on_permit_note
            handle(message.sender, note)

    def send_permit_notes(self, receiver_id, notes):
        """Send PermitNotes to another instance at once."""
        self._send_at_once(self._builder.build_permit_notes(notes), receiver_id)

    def send_notes(self, receiver_id, notes):
        """Send SessionNotes to another instance at once."""
        self._send_at_once(self._builder.build_notes(notes), receiver_id)

    def _send_at_once(self, messages, receiver_id):
        if self._secret is not None:
            self._send_messages(messages, [receiver_id])

    def error_received(self, exc):
        """Ignore unreachable peers; their entries expire with their leases."""

    async def run(self):
        """Send load messages until cancelled."""
        while True:
            self._update_role()
            period = self._shared.period
            await asyncio.sleep(period * (0.75 + 0.5 * self._random.random()))
            if self._secret is not None:
                self._send_round(self._clock())
            self._shared.expire_reports(self._clock())
            self._speeds.expire_reports(self._clock())

    def _update_role(self):
        role = self._relays.find_role(self._clock())
        if role is not self._role:
            log.info("role in the exchange of loads", role=role.value)
        self._role = role
        peers = len(self._get_peers())
        self._shared.set_role(role, peers)
        self._speeds.set_role(role, peers)
        self._rollouts.set_role(role)
        self.demands.set_role(role)

    def tell_crashes(self):
        """Tell the others of crashes at once, ahead of the next round."""
        if self._secret is None:
            return
        now = self._clock()
        records = self._quarantine.choose_news()
        for scope, receiver_ids in self._list_receivers(now):
            messages = self._builder.build_blames(scope, records)
            self._send_messages(messages, receiver_ids)

    def _list_receivers(self, now):
        """Return to whom each scope is sent, as (Scope, list of str) tuples."""
        if self._role is Role.FLAT:
            return [(Scope.INSTANCE, list(self._get_peers()))]
        relays = self._relays.list_relays(now)
        if self._role is Role.MEMBER:
            return [(Scope.INSTANCE, relays)]
        return [
            (Scope.INSTANCE, relays),
            (Scope.DOMAIN, relays + self._relays.list_remote_relays(now)),
            (Scope.FLEET, self._relays.list_members()),
        ]

    def _send_round(self, now):
        self._speeds.begin_round(now)
        self._send_demands(now)
        own = self._collect_own(now)
        if self._role is Role.FLAT:
            self._send(own, self._get_peers())
            return
        relays = self._relays.list_relays(now)
        self._send(own, relays)
        if self._role is Role.MEMBER:
            self._shared.set_own_reported(own.loads)
            self._speeds.set_own_reported(own.speeds)
            return
        remote_relays = self._relays.list_remote_relays(now)
        self._send(self._collect_domain(own, now), relays + remote_relays)
        self._send(self._collect_fleet(own, now), self._relays.list_members())

    def _send_demands(self, now):
        """Tell of the demand for contended services; nothing while there is none."""
        for scope, receiver_ids in self._list_receivers(now):
            demands = self.demands.list_told(scope, now)
            self._send_messages(
                self._builder.build_demands(scope, demands), receiver_ids
            )

    def _collect_own(self, now):
        loads = {
            hash_server(server_id): load
            for server_id, load in self._servers.list_own_loads(now).items()
        }
        tallies = self._rollouts.list_own_tallies()
        return Contents(
            Scope.INSTANCE,
            loads,
            self._quarantine.choose_news(),
            self._list_own_sides(),
            tallies,
            self._choose_leaving(),
            self._servers.limits.list_news(now),
            self._servers.brittle.statements.list_news(now),
            self._speeds.list_totals((), now),
            self._servers.limits.cold.list_news(now),
        )

    def _list_own_sides(self):
        return {
            (service, session): on_target
            for service, overrides in self._assigner.list_side_overrides().items()
            for session, on_target in overrides.items()
        }

    def _collect_domain(self, own, now):
        tallies = self._rollouts.list_domain_tallies()
        return self._add_received(own, Scope.DOMAIN, {Scope.INSTANCE}, tallies, now)

    def _collect_fleet(self, own, now):
        tallies = self._rollouts.list_fleet_tallies()
        sources = {Scope.INSTANCE, Scope.DOMAIN}
        return self._add_received(own, Scope.FLEET, sources, tallies, now)

    def _add_received(self, own, scope, sources, tallies, now):
        """Return the own contents together with those received from `sources`."""
        loads = self._shared.sum_all(sources, now)
        for key, load in own.loads.items():
            loads[key] = loads[key].add(load) if key in loads else load
        return Contents(
            scope,
            loads,
            own.blames,
            self._relayed_sides.list(sources, now) | own.sides,
            tallies,
            own.leaving,
            own.limits,
            own.brittle,
            self._speeds.list_totals(sources, now),
            self._add_relayed_cold(own.cold, sources, now),
        )

    def _add_relayed_cold(self, own, sources, now):
        """Return the seconds for which each server stays cold, by life.

        The times that relays pass on are included.
        """
        cold = dict(own)
        for life, until in self._relayed_cold.list(sources, now).items():
            if until > now:
                cold[life] = max(until - now, cold.get(life, 0.0))
        return cold

    def _send(self, contents, receiver_ids):
        """Send contents, in as many messages as they need, to some instances."""
        if contents.scope is Scope.INSTANCE:
            if contents.is_empty and self._was_idle:
                return
            self._was_idle = not contents.loads
        self._send_messages(self._builder.build(contents), receiver_ids)

    def _send_messages(self, messages, receiver_ids):
        datagrams = (sign(self._secret, encode(message)) for message in messages)
        self._sender.send(datagrams, receiver_ids)

    def _choose_leaving(self):
        """Return leaving servers to tell of; a sample if there are many."""
        leaving = self._servers.list_leaving()
        return tuple(self._random.sample(leaving, min(len(leaving), MAX_LEAVING)))

    def stop(self):
        """Close the socket."""
        self._sender.close()


def _ignore_note(sender, note):
    del sender, note
