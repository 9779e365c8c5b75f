"""Refuses requests that repeatedly crashed backend servers."""

import hashlib
from dataclasses import dataclass

import structlog
from expression import Error

from ..decisions.crash_news import CrashNews
from ..decisions.crash_suspicions import CrashSuspicions
from ..decisions.quarantine import Quarantine, QuarantineState, refuse_quarantined
from ..decisions.server_usage_table import hash_life
from ..ids import FailureDomain, Fingerprint, Incarnation
from ..registry import ServerState
from ..settings import QuarantineSettings
from .attempts import Outcome

log = structlog.get_logger(__name__)

DIGEST_BYTES = 12
LIMITS = QuarantineSettings(crashes=3, lifetime=60.0, capacity=512)


@dataclass(frozen=True, slots=True)
class _CrashedServer:
    """The attributes of a ServerRecord that `Quarantine.record_crash` uses."""

    failure_domain: FailureDomain
    incarnation: Incarnation


class QuarantineFilter:
    """Counts the crashes that a request caused and refuses it after several.

    Parameters
    ----------
    servers : ServerPool
        Lists the servers of a service.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Chooses which older records the others are reminded of.
    """

    def __init__(self, servers, clock, random):
        self._servers = servers
        self._clock = clock
        self._quarantine = Quarantine(LIMITS)
        self._suspicions = CrashSuspicions()
        self._news = CrashNews(self._quarantine, random)

    async def handle(self, request, proceed):
        """Refuse a quarantined request; pass other requests to the next filter."""
        request.fingerprint = compute_fingerprint(request)
        if self.refuses(request.fingerprint):
            return Error(refuse_quarantined(False))
        return await proceed(request)

    def refuses(self, fingerprint):
        """Return whether a request that has come is refused; it then stays so."""
        now = self._clock()
        state = self._quarantine.get_state(fingerprint, now)
        if state is not QuarantineState.QUARANTINED:
            return False
        self._quarantine.renew(fingerprint, now)
        return True

    def record_attempt(self, request, attempt, result):
        """Record an attempt: its server answered, crashed, or may have crashed."""
        if result.outcome is Outcome.DELIVERED:
            self._quarantine.record_answer(request.fingerprint, self._clock())
        elif result.outcome is Outcome.LOST and result.broke_off and result.via is None:
            self._record_crash(request.fingerprint, attempt.server)
        elif result.outcome in (Outcome.LOST, Outcome.SILENT):
            self.suspect(request, attempt)

    def suspect(self, request, attempt):
        """Record an attempt that got no answer, for whatever reason."""
        usage = self._servers.find(attempt.server.id)
        if usage is None or usage.is_leaving or attempt.was_silent:
            return
        life = _name_life(attempt.server)
        self._suspicions.record(request.fingerprint, life, self._clock())

    def record_end(self, server):
        """Blame what a server left unanswered that ended without saying so.

        Parameters
        ----------
        server : RegisteredServer
            The server, as it was last registered.
        """
        fingerprints = self._suspicions.pop(_name_life(server), self._clock())
        if server.state is ServerState.DRAINING:
            return
        for fingerprint in fingerprints:
            self._record_crash(fingerprint, server)

    def _record_crash(self, fingerprint, server):
        crashed = _CrashedServer(server.failure_domain, _name_life(server))
        usages = self._servers.list_usages(server.service)
        domain_size = sum(
            usage.server.failure_domain == server.failure_domain for usage in usages
        )
        blamed = self._quarantine.record_crash(
            fingerprint, crashed, domain_size, self._clock()
        )
        if blamed is None:
            return
        self._news.record(fingerprint)
        log.info(
            "crash blamed",
            request=fingerprint,
            server=server.id,
            crashes=len(blamed),
        )

    def is_quarantined(self, request):
        """Return whether a request has crashed enough servers to be refused."""
        state = self._quarantine.get_state(request.fingerprint, self._clock())
        return state is QuarantineState.QUARANTINED

    def choose_news(self):
        """Return the crash records to tell the others in this round of messages.

        Returns
        -------
        dict of Fingerprint to CrashRecord
        """
        return self._news.choose(self._clock())

    def merge_records(self, records, passes_on):
        """Merge the crash records of another instance.

        Parameters
        ----------
        records : dict of Fingerprint to CrashRecord
            The records.
        passes_on : bool
            Whether to tell what was not known here, as a relay does.
        """
        now = self._clock()
        for fingerprint, record in records.items():
            is_news = self._quarantine.merge_record(fingerprint, record, now)
            if passes_on and is_news:
                self._news.record(fingerprint)


def _name_life(server):
    """Return a short name of one start of a server, which may keep its id."""
    return Incarnation(f"{hash_life(server):08x}")


def compute_fingerprint(request):
    """Return a hash of method, target, key and body, equal for resent requests."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    raw = request.raw
    for part in (raw.method, raw.target, (request.key or "").encode(), raw.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
