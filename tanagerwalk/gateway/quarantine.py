"""Refuses requests that crashed backend servers, or that share what crashes them."""

import hashlib
from dataclasses import dataclass

import structlog
from expression import Error

from ..decisions.crash_news import CrashNews
from ..decisions.crash_records import CrashRecords
from ..decisions.crash_suspicions import (
    DECLINED_LIFETIME_S,
    CrashSuspicions,
    Suspicion,
)
from ..decisions.part_quarantine import PartQuarantine
from ..decisions.part_records import CrashWeight, is_part_key, list_shared_keys
from ..decisions.quarantine import Quarantine, QuarantineState, refuse_quarantined
from ..decisions.server_usage_table import hash_life
from ..ids import FailureDomain, Fingerprint, Incarnation
from ..registry import ServerState
from ..settings import QuarantineSettings
from .attempts import Outcome
from .running_requests import RunningRequests

log = structlog.get_logger(__name__)

DIGEST_BYTES = 12
LIMITS = QuarantineSettings(crashes=3, lifetime=60.0, capacity=512)
# A server that has been writing an answer for longer did not crash on its prompt.
JUST_BEGUN_S = 0.5
OUTCOMES_WITHOUT_ANSWER = frozenset({Outcome.LOST, Outcome.SILENT, Outcome.DECLINED})


@dataclass(frozen=True, slots=True)
class _CrashedServer:
    """The attributes of a ServerRecord that `Quarantine.record_crash` uses."""

    failure_domain: FailureDomain
    incarnation: Incarnation


class QuarantineFilter:
    """Counts the crashes of requests and their parts, and refuses the guilty ones.

    Parameters
    ----------
    servers : ServerPool
        Lists the servers of a service.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Chooses which older records the others are reminded of.

    Attributes
    ----------
    on_news : callable
        Called without arguments when the others should be told at once.
    is_first_in_line : callable
        Takes a key and returns whether this instance tries it again, of all instances.
    """

    def __init__(self, servers, clock, random):
        self._servers = servers
        self._clock = clock
        self._quarantine = Quarantine(LIMITS)
        self._parts = PartQuarantine()
        self._suspicions = CrashSuspicions()
        self._records = CrashRecords(self._quarantine, self._parts)
        self._news = CrashNews(self._records, random)
        self._running = RunningRequests()
        self._known_guilty = frozenset()
        self.on_news = _ignore_news
        self.is_first_in_line = _deny_trial

    async def handle(self, request, proceed):
        """Refuse a quarantined request; pass other requests to the next filter."""
        request.fingerprint = compute_fingerprint(request)
        parts = request.prompt_info.parts
        request.shared_parts = list_shared_keys([part for part, _ in parts])
        if self.refuses(request):
            return Error(refuse_quarantined(False))
        return await proceed(request)

    def refuses(self, request):
        """Return whether a request that has come is refused; it then stays so."""
        now = self._clock()
        state = self._quarantine.get_state(request.fingerprint, now)
        if state is QuarantineState.QUARANTINED:
            self._quarantine.renew(request.fingerprint, now)
            return True
        part = self._find_guilty_part(request)
        if part is None:
            return False
        self._parts.renew(part, now)
        request.is_trial = self.is_first_in_line(part) and self._parts.take_trial(
            part, now
        )
        if request.is_trial:
            log.info("trial of a quarantined part", part=part)
        return not request.is_trial

    def _find_guilty_part(self, request):
        now = self._clock()
        for part in request.shared_parts:
            if self._parts.get_state(part, now) is QuarantineState.QUARANTINED:
                return part
        return None

    def is_quarantined(self, request):
        """Return whether a request must not be sent to servers any more."""
        state = self._quarantine.get_state(request.fingerprint, self._clock())
        if state is QuarantineState.QUARANTINED:
            return True
        return not request.is_trial and self._find_guilty_part(request) is not None

    def may_be_guilty(self, request):
        """Return whether a part of a request may be what servers crash on."""
        now = self._clock()
        return not all(
            self._parts.is_answered(part, now) for part in request.shared_parts
        )

    def guard(self, request, progress):
        """Return a context manager that ends an attempt once its part is quarantined.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        progress : StreamProgress
            What the client has received; an answer under way is not ended.
        """
        return self._running.guard(request, progress)

    def record_attempt(self, request, attempt, result):
        """Record an attempt: its server answered, crashed, or may have crashed."""
        if result.has_answered:
            self._refute_crash(attempt.server, result)
        if result.outcome is Outcome.DELIVERED:
            self._record_answer(request, result)
        elif result.outcome in OUTCOMES_WITHOUT_ANSWER:
            self._suspect_attempt(request, attempt, result)
        if result.outcome is Outcome.LOST and result.broke_off and result.via is None:
            self._record_crash(request.fingerprint, attempt.server)

    def _refute_crash(self, server, result):
        if self._parts.refute(_name_life(server), result.connected_at):
            self._apply_judgement()
            log.info("server has not crashed", server=server.id)

    def _record_answer(self, request, result):
        now = self._clock()
        self._quarantine.record_answer(request.fingerprint, now)
        if not result.is_success:
            return
        for part in self._parts.record_answer(request.shared_parts, now):
            self._news.record(part)
        self._apply_judgement()

    def _suspect_attempt(self, request, attempt, result):
        if result.outcome is Outcome.DECLINED:
            # Such a request goes on to another server, which may crash as well.
            suspicion = Suspicion(
                request.fingerprint,
                request.shared_parts,
                CrashWeight.BEGUN,
                DECLINED_LIFETIME_S,
            )
        else:
            suspicion = Suspicion(
                request.fingerprint, request.shared_parts, _weigh(result)
            )
        # A server that was silent before, but broke off the connection, was not dark.
        self._suspect(suspicion, attempt, attempt.was_silent and not result.broke_off)

    def suspect(self, request, attempt):
        """Record an attempt whose client left before the answer."""
        suspicion = Suspicion(request.fingerprint, request.shared_parts)
        self._suspect(suspicion, attempt, attempt.was_silent)

    def _suspect(self, suspicion, attempt, was_dark):
        usage = self._servers.find(attempt.server.id)
        if usage is None or usage.is_leaving or was_dark:
            return
        life = _name_life(attempt.server)
        self._suspicions.record(suspicion, life, attempt.server, self._clock())

    def record_end(self, server):
        """Blame what a server left unanswered that ended without saying so.

        Parameters
        ----------
        server : RegisteredServer
            The server, as it was last registered.
        """
        suspicions = self._suspicions.pop(_name_life(server), self._clock())
        if server.state is ServerState.DRAINING:
            return
        for suspicion in suspicions:
            self._record_crash(suspicion.fingerprint, server)
            self._blame_parts(suspicion, server)
        self._apply_judgement()
        if suspicions:
            self.on_news()

    def _blame_parts(self, suspicion, server):
        if suspicion.weight is None:
            return
        now = self._clock()
        blamed = self._parts.record_crash(
            suspicion.shared_parts,
            self._describe(server),
            self._count_domain(server),
            suspicion.weight,
            now,
        )
        for part in blamed:
            self._news.record(part)
            log.info(
                "crash blamed on a part",
                part=part,
                request=suspicion.fingerprint,
                server=server.id,
                weight=suspicion.weight.name.lower(),
                state=self._parts.get_state(part, now).value,
            )

    def _record_crash(self, fingerprint, server):
        blamed = self._quarantine.record_crash(
            fingerprint,
            self._describe(server),
            self._count_domain(server),
            self._clock(),
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

    def _describe(self, server):
        return _CrashedServer(server.failure_domain, _name_life(server))

    def _count_domain(self, server):
        """Return the number of servers of a service in a server's failure domain."""
        usages = self._servers.list_usages(server.service)
        return sum(
            usage.server.failure_domain == server.failure_domain for usage in usages
        )

    def _apply_judgement(self):
        """Log which parts are quarantined, and blame no whole request for them."""
        guilty = self._parts.guilty
        for part in guilty - self._known_guilty:
            log.info("part quarantined", part=part)
            self._running.end(part)
        for part in self._known_guilty - guilty:
            log.info("part released", part=part)
        self._known_guilty = guilty
        self._quarantine.set_explained(self._parts.explained)

    def choose_news(self):
        """Return the crash records to tell the others in this round of messages.

        Returns
        -------
        dict of Fingerprint to CrashRecord, and of PartKey to PartRecord
        """
        return self._news.choose(self._clock())

    def merge_records(self, records, passes_on):
        """Merge the crash records of another instance.

        Parameters
        ----------
        records : dict of Fingerprint to CrashRecord, and of PartKey to PartRecord
            The records.
        passes_on : bool
            Whether to tell what was not known here, as a relay does.
        """
        now = self._clock()
        for key, record in records.items():
            is_news = self._records.merge_record(key, record, now)
            if is_news and (passes_on or self._parts.is_answered(key, now)):
                self._news.record(key)
        known_guilty = self._known_guilty
        self._apply_judgement()
        if passes_on and self._known_guilty - known_guilty:
            self.on_news()
        # Only the records of parts are of servers that accept no connection any more.
        parts = [record for key, record in records.items() if is_part_key(key)]
        for life in {life for record in parts for life in record.incarnations}:
            server = self._suspicions.find_server(life)
            if server is not None:
                self.record_end(server)


def _weigh(result):
    """Return the CrashWeight of a lost attempt, or None if its answer was under way."""
    if result.written_for is None:
        return CrashWeight.PRESENT
    return CrashWeight.BEGUN if result.written_for <= JUST_BEGUN_S else None


def _ignore_news():
    pass


def _deny_trial(part):
    del part
    return False


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
