"""Slots of the limits of servers that the instances grant each other."""

import asyncio
import dataclasses
import math

import structlog

from ..decisions.send_slots import SEND_WINDOW_S, SendSlot
from .permit_notes import PermitNote, PermitNoteKind
from .slot_holders import SlotHolders

log = structlog.get_logger(__name__)

# Seconds; a later answer would hardly leave time to send the request.
ANSWER_TIMEOUT_S = 0.08
# Instances that are asked for one request.
MAX_ASKED = 4
# Servers that one question names; a note has to fit a packet.
MAX_SERVERS_ASKED_FOR = 64


class LimitSlots:
    """Asks instances that have a part of a server's limit for slots, and grants them.

    Each instance grants only slots of its own part, which it then doesn't use itself,
    and none while a request of its own waits for one.
    The one that asks counts the time in which it may send from its question on: however
    long the messages take, the request is sent within the slot or not at all.

    Parameters
    ----------
    own_id : str
        Incarnation of this instance.
    servers : ServerPool
        The servers and their limits.
    metrics : GatewayMetrics
        Counts the questions.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Numbers the questions, and spreads them over the instances.

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
        self._granting = frozenset()
        self._answers = {}
        self._holders = SlotHolders()
        self.send_notes = _drop

    def set_peers(self, peers):
        """Replace the known instances, given as Peer by incarnation."""
        self._granting = frozenset(p for p, peer in peers.items() if peer.grants_slots)
        self._holders.retain(self._granting)

    async def acquire(self, service, lives, patience):
        """Ask other instances for a slot, one after the other.

        Parameters
        ----------
        service : ServiceName
            The service of the servers.
        lives : list of int
            `hash_life` of the servers that the request may be sent to.
        patience : float
            Seconds until the slot has to begin.

        Returns
        -------
        SendSlot or None
        """
        lives = tuple(lives[:MAX_SERVERS_ASKED_FOR])
        latest_at = self._clock() + patience
        for holder in self._choose_holders(lives, latest_at):
            time_left = latest_at - self._clock()
            if time_left <= 0.0:
                break
            slot = await self._ask(holder, service, lives, time_left)
            if slot is not None:
                return slot
        return None

    def _choose_holders(self, lives, latest_at):
        """Return the instances to ask that may have a slot in time, in random order."""
        now = self._clock()
        limits = self._servers.limits
        holders = {h for life in lives for h in limits.list_holders(life, now)}
        able = [
            holder
            for holder in sorted(holders & self._granting)
            if self._holders.may_ask(holder, lives, latest_at, now)
        ]
        return self._random.sample(able, min(len(able), MAX_ASKED))

    async def _ask(self, holder, service, lives, patience):
        """Return the SendSlot that an instance grants, or None."""
        number = self._random.getrandbits(48)
        answer = self._answers[number] = asyncio.get_running_loop().create_future()
        asked_at = self._clock()
        question = PermitNote(
            PermitNoteKind.ASK_SLOT, service, (number,), lives, patience
        )
        self.send_notes(holder, [question])
        try:
            await asyncio.wait([answer], timeout=min(ANSWER_TIMEOUT_S, patience))
        finally:
            del self._answers[number]
        slot = None
        if answer.done():
            slot = self._read_answer(holder, answer.result(), lives, asked_at)
        else:
            self._metrics.limit_slots.labels("unanswered").inc()
            self._holders.record_failure(holder, asked_at, self._clock())
        return slot

    def _read_answer(self, holder, note, lives, asked_at):
        """Return the SendSlot in an answer, or None if it has none that can be used."""
        now = self._clock()
        self._metrics.limit_slots.labels(note.kind.name.lower()).inc()
        if note.kind is PermitNoteKind.SLOT_DENIED:
            self._holders.record_denied(holder, lives, note.wait, now)
            return None
        slot = None
        if note.lives[0] in lives:
            slot = self._build_slot(note, asked_at)
        if slot is None:
            self._holders.record_failure(holder, asked_at, now)
            return None
        self._holders.record_granted(holder)
        return slot

    def _build_slot(self, note, asked_at):
        """Return the slot that was granted, as this instance's clock shows it.

        The holder has answered after the question and before now, so that its slot
        contains the time between these two ends.
        """
        begins_at = self._clock() + note.wait
        ends_at = asked_at + note.wait + SEND_WINDOW_S
        if ends_at < begins_at:
            return None
        return SendSlot(note.lives[0], begins_at, ends_at)

    def receive(self, sender, note):
        """Process a PermitNote of one of the SLOT_KINDS."""
        if note.kind is PermitNoteKind.ASK_SLOT:
            self.send_notes(sender, [self._answer(note)])
            return
        answer = self._answers.get(note.requests[0])
        if answer is not None and not answer.done():
            answer.set_result(note)

    def _answer(self, question):
        """Grant the first slot of the own parts, or tell how long there is none."""
        now = self._clock()
        limits = self._servers.limits
        limited = [life for life in question.lives if limits.has_limit(life, now)]
        waits = {life: limits.find_wait(life, now) for life in limited}
        life = min(waits, key=waits.get, default=None)
        slot = None
        if life is not None and limits.waiting[question.service] == 0:
            horizon = limits.booking_horizon.find(question.service, now)
            slot = limits.take_slot(life, now, min(question.wait, horizon))
        if slot is None:
            wait = waits.get(life, math.inf)
            return dataclasses.replace(
                question, kind=PermitNoteKind.SLOT_DENIED, lives=(), wait=wait
            )
        return dataclasses.replace(
            question,
            kind=PermitNoteKind.SLOT_GRANTED,
            lives=(slot.life,),
            wait=slot.begins_at - now,
        )


def _drop(receiver, notes):
    del receiver, notes
