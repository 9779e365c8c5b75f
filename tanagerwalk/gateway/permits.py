"""Permits of this instance to send requests to the servers of brittle services."""

import asyncio
from dataclasses import dataclass
from functools import partial

import structlog
from expression import Error, Ok

from ..decisions.permits import (
    RENEWAL_INTERVAL_S,
    Denied,
    Granted,
    PermitKey,
    PermitLedger,
)
from ..decisions.rendezvous import find_rank, rank_members
from ..decisions.server_room import Ending
from ..decisions.server_usage_table import hash_life
from ..ids import ServiceName
from .permit_coordinator import PermitCoordinator
from .permit_notes import ANSWER_KINDS, PermitNote, PermitNoteKind

log = structlog.get_logger(__name__)

# A question is asked again after this time, and given up after ANSWER_TIMEOUT_S; a
# coordinator that has answered once may be silent for longer.
REPEAT_S = 0.05
ANSWER_TIMEOUT_S = 0.15
MAX_SILENCE_S = 0.45
SUSPICION_S = 3.0
MAX_ASKED_COORDINATORS = 3
# The coordinator and the one that takes over.
INFORMED_COORDINATORS = 2
# Until the others have told the coordinator of what is at the servers.
NOTICE_S = 0.5
# One that has just started may come into a time when servers reject already.
START_S = 5.0
ADVANCE_INTERVAL_S = 0.05
MAX_RENEWED = 50


@dataclass(frozen=True, slots=True)
class Hold:
    """A request of this instance that is at a server.

    Parameters
    ----------
    service : ServiceName
        The service.
    life : int
        `hash_life` of the server.
    number : int
        Number that this instance gave the request.
    """

    service: ServiceName
    life: int
    number: int


class _Inquiry:
    """What a coordinator has said of a request so far."""

    def __init__(self, asked_at):
        self.heard_at = asked_at
        self.is_queued = False
        self.decision = asyncio.get_running_loop().create_future()

    def decide(self, decision):
        if not self.decision.done():
            self.decision.set_result(decision)


class ServerPermits:
    """Asks coordinators for permits, and tells them which requests are at servers.

    Parameters
    ----------
    own_id : str
        Incarnation of this instance.
    servers : ServerPool
        The servers, and what they say of themselves.
    metrics : GatewayMetrics
        Counts the decisions on requests.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Numbers the requests.

    Attributes
    ----------
    send_notes : callable
        Takes the incarnation of another instance and PermitNotes, and sends them.
    """

    def __init__(self, own_id, servers, metrics, clock, random):
        self._own_id = own_id
        self._servers = servers
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._started_at = clock()
        self._members = (own_id,)
        self._ranked = {}
        self._suspected_until = {}
        self._brittle_since = {}
        self._holds = {}
        # Services whose last renewal named requests.
        self._holding = set()
        self._inquiries = {}
        self._isolated = {}
        self._heard_at = {}
        self._coordinator = PermitCoordinator(
            servers, self._send, self._is_deputy, clock
        )
        self.send_notes = _drop

    def set_peers(self, peers):
        """Replace the known instances, given as Peer by incarnation."""
        able = [peer_id for peer_id, peer in peers.items() if peer.grants_permits]
        self._members = (self._own_id, *able)
        self._heard_at = {p: at for p, at in self._heard_at.items() if p in able}
        self._ranked.clear()

    def is_needed(self, service):
        """Return whether requests need a permit for the servers of a service."""
        now = self._clock()
        since = self._brittle_since.get(service)
        if self._servers.find_bearable(service, now) is None:
            if since is not None:
                del self._brittle_since[service]
                log.info("service not brittle any more", service=service)
            return False
        if since is None:
            since = self._brittle_since[service] = now
            log.info("service brittle", service=service)
            self._renew(service)
        has_just_started = now - self._started_at < START_S
        return has_just_started or now - since >= NOTICE_S

    async def acquire(self, service, request):
        """Wait for a permit.

        Parameters
        ----------
        service : ServiceName
            The service.
        request : PermitRequest
            What the request needs.

        Returns
        -------
        Result of Hold, or of Denied
        """
        number = self._random.getrandbits(48)
        decision = await self._find_decision(service, number, request)
        outcome = type(decision).__name__.lower()
        self._metrics.permits.labels(outcome).inc()
        if isinstance(decision, Denied):
            return Error(decision)
        hold = self._holds[number] = Hold(service, decision.life, number)
        self._renew_one(hold)
        return Ok(hold)

    def begin(self, server):
        """Return the Hold of a request that needs no permit."""
        number = self._random.getrandbits(48)
        hold = Hold(server.service, hash_life(server), number)
        self._holds[number] = hold
        return hold

    def end(self, hold, ending):
        """Record the Ending of a request that was at a server, or was to be sent."""
        self._holds.pop(hold.number, None)
        if hold.service not in self._brittle_since:
            return
        isolated = self._isolated.get(hold.service)
        if isolated is not None:
            isolated.end(PermitKey(self._own_id, hold.number), ending, self._clock())
        self._tell_end(hold.service, hold.number, ending)

    async def run(self):
        """Renew the permits, and grant those of other instances, until cancelled."""
        next_renewal = 0.0
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            self._coordinator.advance()
            for service in self._servers.list_services():
                self.is_needed(service)
            now = self._clock()
            if now < next_renewal:
                continue
            next_renewal = now + RENEWAL_INTERVAL_S
            for service in list(self._brittle_since):
                if self._servers.find_bearable(service, now) is not None:
                    self._renew(service)

    def receive(self, sender, note):
        """Process a PermitNote of an instance, be it this one."""
        self._heard_at[sender] = self._clock()
        if note.kind not in ANSWER_KINDS:
            self._coordinator.receive(sender, note)
            return
        self._suspected_until.pop(sender, None)
        number = note.requests[0]
        inquiry = self._inquiries.get(number)
        if inquiry is None:
            is_late = note.kind is PermitNoteKind.GRANTED and number not in self._holds
            if is_late:
                self._send(sender, _build_end(note.service, number, Ending.UNUSED))
            return
        inquiry.heard_at = self._clock()
        inquiry.is_queued = True
        if note.kind is PermitNoteKind.GRANTED:
            inquiry.decide(Granted(note.lives[0]))
        elif note.kind is PermitNoteKind.DENIED:
            inquiry.decide(Denied(note.wait))

    async def _find_decision(self, service, number, request):
        """Return Granted or Denied, by the first coordinator that answers."""
        began = self._clock()
        decision = None
        try:
            for coordinator in self._list_coordinators(service, MAX_ASKED_COORDINATORS):
                waited = self._clock() - began
                note = _build_question(service, number, request, waited)
                decision = await self._ask(coordinator, note)
                if decision is not None:
                    return decision
            log.warning("no coordinator answers", service=service)
            decision = self._decide_alone(service, number, request)
        finally:
            if not isinstance(decision, Granted):
                self._tell_end(service, number, Ending.UNUSED)
        return decision

    async def _ask(self, coordinator, note):
        """Return the decision of a coordinator, or None if it is silent."""
        inquiry = self._inquiries[note.requests[0]] = _Inquiry(self._clock())
        try:
            while True:
                self._send(coordinator, note)
                pause = RENEWAL_INTERVAL_S if inquiry.is_queued else REPEAT_S
                await asyncio.wait([inquiry.decision], timeout=pause)
                if inquiry.decision.done():
                    return inquiry.decision.result()
                silence = self._clock() - inquiry.heard_at
                limit = MAX_SILENCE_S if inquiry.is_queued else ANSWER_TIMEOUT_S
                if silence >= limit:
                    break
        finally:
            del self._inquiries[note.requests[0]]
        log.info("coordinator did not answer", peer=coordinator, service=note.service)
        self._send(
            coordinator, _build_end(note.service, note.requests[0], Ending.UNUSED)
        )
        self._suspected_until[coordinator] = self._clock() + SUSPICION_S
        return None

    def _decide_alone(self, service, number, request):
        """Decide by this instance's own part of the places."""
        now = self._clock()
        ledger = self._isolated.get(service)
        if ledger is None:
            ledger = self._isolated[service] = PermitLedger(
                partial(self._find_own_part, service),
                partial(self._find_own_bearable, service),
                (),
                now,
                queued_share=0.0,
                warm_up=0.0,
            )
        key = PermitKey(self._own_id, number)
        ledger.advance(now)
        decision = ledger.ask(key, request, now)
        if isinstance(decision, Granted):
            return decision
        ledger.end(key, Ending.UNUSED, now)
        return Denied(ledger.estimate_wait(now) + SUSPICION_S)

    def _find_own_part(self, service, life):
        """Return the places of a server that belong to this instance, or None."""
        usage = self._servers.find_life(life)
        if usage is None or usage.server.service != service:
            return None
        others = [member for member in self._members if member != self._own_id]
        each, rest = divmod(usage.server.slots, len(self._members))
        rank = find_rank(b"%d" % life, self._own_id, others)
        return each + (rank < rest) or None

    def _find_own_bearable(self, service):
        bearable = self._servers.find_bearable(service, self._clock())
        return 0.0 if bearable is None else bearable / len(self._members)

    def _renew(self, service):
        """Tell the coordinators which requests of this instance are at servers."""
        holds = [hold for hold in self._holds.values() if hold.service == service]
        is_first = self._rank_members(service)[0] == self._own_id
        if not holds and service not in self._holding and not is_first:
            return
        if not holds:
            # The last word that the requests named before have ended.
            self._holding.discard(service)
        else:
            self._holding.add(service)
        coordinators = self._list_informed(service)
        is_complete = len(holds) <= MAX_RENEWED
        for start in range(0, len(holds) or 1, MAX_RENEWED):
            part = holds[start : start + MAX_RENEWED]
            note = _build_renewal(service, part, is_complete)
            for coordinator in coordinators:
                self._send(coordinator, note)
        isolated = self._isolated.get(service)
        if isolated is not None:
            now = self._clock()
            for hold in holds:
                key = PermitKey(self._own_id, hold.number)
                isolated.renew(key, hold.life, now)
            isolated.advance(now)

    def _renew_one(self, hold):
        self._holding.add(hold.service)
        note = _build_renewal(hold.service, [hold], is_complete=False)
        for coordinator in self._list_informed(hold.service):
            self._send(coordinator, note)

    def _tell_end(self, service, number, ending):
        note = _build_end(service, number, ending)
        for coordinator in self._list_informed(service):
            self._send(coordinator, note)

    def _is_deputy(self, service):
        """Return whether an instance before this one in order is heard."""
        ranked = self._rank_members(service)
        before = ranked[: ranked.index(self._own_id)]
        since = self._clock() - MAX_SILENCE_S
        return any(self._heard_at.get(member, since) > since for member in before)

    def _list_informed(self, service):
        """Return the instances that count the requests of this one.

        The first in order may only be suspected by this instance, and grant permits to
        the others.
        """
        first = self._rank_members(service)[:INFORMED_COORDINATORS]
        answering = self._list_coordinators(service, INFORMED_COORDINATORS)
        return dict.fromkeys([*first, *answering])

    def _list_coordinators(self, service, count):
        """Return the first instances in order that are not suspected."""
        now = self._clock()
        answering = [
            member
            for member in self._rank_members(service)
            if self._suspected_until.get(member, now) <= now
        ]
        return answering[:count]

    def _rank_members(self, service):
        ranked = self._ranked.get(service)
        if ranked is None:
            key = f"permits {service}".encode()
            ranked = self._ranked[service] = rank_members(key, self._members)
        return ranked

    def _send(self, receiver, note):
        if receiver == self._own_id:
            asyncio.get_running_loop().call_soon(self.receive, self._own_id, note)
            return
        self.send_notes(receiver, [note])


def _build_question(service, number, request, waited):
    return PermitNote(
        PermitNoteKind.ASK,
        service,
        (number,),
        request.lives,
        max(0.0, request.patience - waited),
        request.is_urgent,
    )


def _build_renewal(service, holds, is_complete):
    numbers = tuple(hold.number for hold in holds)
    lives = tuple(hold.life for hold in holds)
    return PermitNote(
        PermitNoteKind.RENEW, service, numbers, lives, is_complete=is_complete
    )


def _build_end(service, number, ending):
    return PermitNote(PermitNoteKind.END, service, (number,), ending=ending)


def _drop(receiver, notes):
    del receiver, notes
