"""Grants the permits to send requests to the servers of brittle services."""

from functools import partial, singledispatch

import structlog

from ..decisions.permits import (
    Denied,
    Granted,
    PermitKey,
    PermitLedger,
    PermitRequest,
    Queued,
)
from .permit_notes import PermitNote, PermitNoteKind

log = structlog.get_logger(__name__)

# A ledger that nobody has used for this time is dropped; the next one begins anew.
IDLE_LIFETIME_S = 3.0
# Of the known room of a server.
DEPUTY_SHARE = 0.5
# Of a service that the coordinator doesn't know to be brittle yet.
UNKNOWN_BEARABLE_PER_S = 1.0


class PermitCoordinator:
    """Keeps a PermitLedger for each service that other instances ask for.

    Parameters
    ----------
    servers : ServerPool
        The servers, and what they say of themselves.
    send : callable
        Takes the incarnation of an instance and a PermitNote, and sends the note.
    is_deputy : callable
        Takes a service and returns whether another instance, which comes first, still
        grants its permits; this one then uses DEPUTY_SHARE of the places.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, servers, send, is_deputy, clock):
        self._servers = servers
        self._send = send
        self._is_deputy = is_deputy
        self._clock = clock
        self._ledgers = {}
        self._used_at = {}

    def receive(self, sender, note):
        """Process an ASK, a RENEW or an END of an instance."""
        now = self._clock()
        ledger = self._get_ledger(note.service, now)
        if note.kind is PermitNoteKind.RENEW:
            _renew(ledger, sender, note, now)
            return
        key = PermitKey(sender, note.requests[0])
        if note.kind is PermitNoteKind.END:
            ledger.end(key, note.ending, now)
            if ledger.has_waiting:
                self._advance(note.service, ledger, now)
            return
        ledger.share = DEPUTY_SHARE if self._is_deputy(note.service) else 1.0
        request = PermitRequest(note.lives, note.wait, note.is_urgent)
        self._answer(note.service, key, ledger.ask(key, request, now))

    def advance(self):
        """Let leases expire, answer requests that waited, and drop unused ledgers."""
        now = self._clock()
        for service, ledger in list(self._ledgers.items()):
            self._advance(service, ledger, now)
            unused = now - self._used_at[service]
            if ledger.is_idle and unused > IDLE_LIFETIME_S:
                del self._ledgers[service], self._used_at[service]
                log.info("permits ended", service=service)

    def _advance(self, service, ledger, now):
        ledger.share = DEPUTY_SHARE if self._is_deputy(service) else 1.0
        for key, decision in ledger.advance(now).items():
            self._answer(service, key, decision)

    def _answer(self, service, key, decision):
        self._send(key.holder, encode_decision(decision, service, key.request))

    def _get_ledger(self, service, now):
        self._used_at[service] = now
        ledger = self._ledgers.get(service)
        if ledger is None:
            log.info("permits begin", service=service)
            ledger = self._ledgers[service] = PermitLedger(
                partial(self._find_slots, service),
                partial(self._find_bearable, service),
                self._servers.list_lives(service),
                now,
            )
        return ledger

    def _find_slots(self, service, life):
        usage = self._servers.find_life(life)
        if usage is None or usage.server.service != service:
            return None
        return None if usage.is_evacuated else usage.server.slots

    def _find_bearable(self, service):
        bearable = self._servers.find_bearable(service, self._clock())
        return UNKNOWN_BEARABLE_PER_S if bearable is None else bearable


def _renew(ledger, sender, note, now):
    lives = dict(zip(note.requests, note.lives, strict=True))
    if note.is_complete:
        ledger.renew_all(sender, lives, now)
        return
    for number, life in lives.items():
        ledger.renew(PermitKey(sender, number), life, now)


@singledispatch
def encode_decision(decision, service, number):
    """Return the PermitNote that tells a holder what was decided of its request.

    Parameters
    ----------
    decision : Granted, Queued or Denied
        The decision.
    service : ServiceName
        The service.
    number : int
        Number that the holder gave its request.
    """
    raise TypeError(f"no decision: {decision!r}")


@encode_decision.register
def _(decision: Granted, service, number):
    return PermitNote(PermitNoteKind.GRANTED, service, (number,), (decision.life,))


@encode_decision.register
def _(decision: Queued, service, number):
    del decision
    return PermitNote(PermitNoteKind.QUEUED, service, (number,))


@encode_decision.register
def _(decision: Denied, service, number):
    return PermitNote(PermitNoteKind.DENIED, service, (number,), wait=decision.wait)
