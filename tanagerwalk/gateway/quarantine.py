"""Keeps requests that crash backend servers away from further ones."""

import hashlib
from dataclasses import dataclass

import structlog
from expression import Error

from ..decisions.quarantine import Quarantine, QuarantineState, refuse_quarantined
from ..ids import FailureDomain, Fingerprint, Incarnation
from ..settings import QuarantineSettings
from .attempts import Outcome

log = structlog.get_logger(__name__)

DIGEST_BYTES = 12
MAX_TOLD = 32
LIMITS = QuarantineSettings(crashes=3, lifetime=60.0, capacity=512)


@dataclass(frozen=True, slots=True)
class _Crashed:
    failure_domain: FailureDomain
    incarnation: Incarnation


class QuarantineFilter:
    """Blames requests that lost their server, and refuses those that did so often.

    Parameters
    ----------
    servers : ServerPool
        Knows the servers of a service.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, servers, clock):
        self._servers = servers
        self._clock = clock
        self._quarantine = Quarantine(LIMITS)
        self._told = {}

    async def handle(self, request, proceed):
        """Refuse a request that has crashed several servers; pass the rest on."""
        request.fingerprint = find_fingerprint(request)
        standing = self._quarantine.get_state(request.fingerprint, self._clock())
        if standing is QuarantineState.QUARANTINED:
            return Error(refuse_quarantined(False))
        result = await proceed(request)
        if result.is_ok():
            self._quarantine.clear(request.fingerprint)
        return result

    def note_attempt(self, request, attempt, end):
        """Blame a request whose server broke off the connection."""
        if end.outcome is not Outcome.LOST:
            return
        server = attempt.server
        crashed = _Crashed(server.failure_domain, Incarnation(server.id))
        peers = self._servers.list_uses(server.service)
        size = sum(u.server.failure_domain == server.failure_domain for u in peers)
        blamed = self._quarantine.record_crash(
            request.fingerprint, crashed, size, self._clock()
        )
        if blamed:
            self._told[request.fingerprint] = (blamed, self._clock())
            log.info(
                "crash blamed", id=request.id.decode("latin-1"), servers=sorted(blamed)
            )

    def is_quarantined(self, request):
        """Return whether a request has crashed enough servers by now."""
        standing = self._quarantine.get_state(request.fingerprint, self._clock())
        return standing is QuarantineState.QUARANTINED

    def list_blames(self):
        """Return the newest blames by fingerprint, to be told to the others."""
        now = self._clock()
        lifetime = LIMITS.lifetime
        self._told = {f: b for f, b in self._told.items() if now - b[1] < lifetime}
        newest = list(self._told.items())[-MAX_TOLD:]
        return {fingerprint: blame[0] for fingerprint, blame in newest}

    def take_blames(self, blames):
        """Take what another instance holds against requests.

        Parameters
        ----------
        blames : dict of Fingerprint to collection of Incarnation
            Servers that crashed under each request.
        """
        for fingerprint, incarnations in blames.items():
            self._quarantine.add_crashes(fingerprint, incarnations, self._clock())


def find_fingerprint(request):
    """Return what stays the same when a request comes again."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    raw = request.raw
    for part in (raw.method, raw.target, (request.key or "").encode(), raw.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
