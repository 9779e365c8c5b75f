"""Keeps requests that crash servers away from further ones."""

from expression import Error

from ..decisions.backends import FailureKind
from ..decisions.facts import Topic
from ..decisions.quarantine import QuarantineState, refuse_quarantined
from ..messages import AttemptFailure
from ..outcomes import RetryReason

SEPARATOR = "\n"


class QuarantineFilter:
    """Blames the requests that were in flight in a crash, and refuses repeaters.

    Parameters
    ----------
    quarantine : Quarantine
        Decides.
    facts : FactTable
        Carries blame to and from the peers.
    table : ServerTable
        Servers.
    settings : QuarantineSettings
        Lifetime of blame.
    spread : callable
        Coroutine function that tells the peers at once.
    probe : callable
        Coroutine function that returns whether an address refuses connections.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self, quarantine, facts, table, settings, spread, probe, metrics, clock
    ):
        self._quarantine = quarantine
        self._facts = facts
        self._table = table
        self._settings = settings
        self._spread = spread
        self._probe = probe
        self._metrics = metrics
        self._clock = clock
        facts.subscribe(Topic.BLAME, self._take_fact)

    async def handle(self, context, proceed):
        """Run an attempt unless the request is quarantined."""
        state = self._quarantine.get_state(context.fingerprint, self._clock())
        if state is QuarantineState.QUARANTINED:
            return Error(refuse_quarantined(context.sent))
        context.suspect = state is QuarantineState.SUSPECT
        context.grant = None
        result = await proceed(context)
        if result.is_ok():
            self._quarantine.clear(context.fingerprint)
            return result
        failure = result.error
        if not isinstance(failure, AttemptFailure) or not failure.crashed:
            return result
        await self._blame(context)
        state = self._quarantine.get_state(context.fingerprint, self._clock())
        if state is QuarantineState.QUARANTINED:
            return Error(refuse_quarantined(sent=True))
        return result

    async def _blame(self, context):
        server = self._table.servers.get(context.grant.server)
        if server is None or self._table.leaving_tracker.is_confirmed(
            server.record.incarnation
        ):
            # A server that the platform stops does not crash by its requests.
            return
        if not await self._probe(context.grant.address):
            # The server lives, or the network is cut: no crash either way.
            self._metrics.blames.labels("unconfirmed").inc()
            return
        record = server.record
        domain_size = sum(
            other.record.failure_domain == record.failure_domain
            for other in self._table.servers.values()
        )
        now = self._clock()
        self._table.record_failure(record.id, now, FailureKind.UNREACHABLE)
        incarnations = self._quarantine.record_crash(
            context.fingerprint, record, domain_size, now
        )
        if incarnations is None:
            self._metrics.blames.labels("correlated").inc()
            return
        self._metrics.blames.labels("blamed").inc()
        value = SEPARATOR.join(sorted(incarnations)).encode()
        self._facts.publish(
            Topic.BLAME, context.fingerprint, value, now, self._settings.lifetime
        )
        # The caller may resend at once, to an instance that must know by then.
        await self._spread()

    def _take_fact(self, fact):
        incarnations = fact.value.decode(errors="replace").split(SEPARATOR)
        self._quarantine.add_crashes(fact.key, incarnations, self._clock())


class QuarantineGuardFilter:
    """Checks the state of a request once more, after its wait for room.

    Parameters
    ----------
    quarantine : Quarantine
        Decides.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, quarantine, clock):
        self._quarantine = quarantine
        self._clock = clock

    async def handle(self, context, proceed):
        """Pass the attempt on unless news of a crash came while it waited."""
        state = self._quarantine.get_state(context.fingerprint, self._clock())
        if state is QuarantineState.QUARANTINED:
            return Error(refuse_quarantined(context.sent))
        if state is QuarantineState.SUSPECT and not context.grant.ticket.suspect:
            # It must wait again, for a server without other suspects.
            return Error(AttemptFailure(RetryReason.SUSPECTED, sent=False))
        return await proceed(context)
