"""Quarantine of requests that crash backend servers."""

from expression import Error

from ..decisions.backends import FailureKind
from ..decisions.facts import Topic
from ..decisions.part_records import is_part_key
from ..decisions.quarantine import QuarantineState, refuse_quarantined
from ..messages import AttemptFailure
from ..outcomes import RetryReason

INCARNATION_SEPARATOR = "\n"


class QuarantineFilter:
    """Blames requests that were in flight during a crash and refuses quarantined ones.

    Parameters
    ----------
    quarantine : Quarantine
        Tracks the requests that are blamed for crashes.
    facts : FactTable
        Exchanges blame with the peers.
    table : ServerTable
        Backend servers; failures are recorded there.
    part_blames : PartBlames
        Tracks the messages that requests share.
    settings : QuarantineSettings
        Lifetime of blame records.
    notify_peers : callable
        Coroutine function that sends new facts to the peers immediately.
    refuses_connections : callable
        Coroutine function that returns whether an address refuses connections.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        quarantine,
        part_blames,
        facts,
        table,
        settings,
        notify_peers,
        refuses_connections,
        metrics,
        clock,
    ):
        self._quarantine = quarantine
        self._part_blames = part_blames
        self._facts = facts
        self._table = table
        self._settings = settings
        self._notify_peers = notify_peers
        self._refuses_connections = refuses_connections
        self._metrics = metrics
        self._clock = clock
        facts.subscribe(Topic.BLAME, self._handle_fact)

    async def handle(self, context, proceed):
        """Run an attempt unless the request is quarantined."""
        state = self._quarantine.get_state(context.fingerprint, self._clock())
        if state is QuarantineState.QUARANTINED or self._part_blames.refuses(context):
            return Error(refuse_quarantined(context.sent))
        context.suspect = state is QuarantineState.SUSPECT
        context.grant = None
        result = await proceed(context)
        if result.is_ok():
            self._quarantine.record_answer(context.fingerprint, self._clock())
            self._part_blames.record_answer(context)
            return result
        failure = result.error
        if not isinstance(failure, AttemptFailure) or not failure.crashed:
            return result
        await self._attribute_crash(context, failure)
        state = self._quarantine.get_state(context.fingerprint, self._clock())
        is_guilty = self._part_blames.is_guilty(context)
        if state is QuarantineState.QUARANTINED or is_guilty:
            return Error(refuse_quarantined(sent=True))
        return result

    async def _attribute_crash(self, context, failure):
        server = self._table.servers.get(context.grant.server)
        if server is None or self._table.leaving_tracker.is_confirmed(
            server.record.incarnation
        ):
            # The platform is stopping this server, so its requests are not to blame.
            return
        if not await self._refuses_connections(context.grant.address):
            # The server is up or the network is partitioned; neither is a crash.
            self._metrics.blames.labels("unconfirmed").inc()
            return
        record = server.record
        domain_size = sum(
            other.record.failure_domain == record.failure_domain
            for other in self._table.servers.values()
        )
        now = self._clock()
        self._table.record_failure(record.id, now, FailureKind.UNREACHABLE)
        self._part_blames.record_crash(context, failure, record, domain_size)
        self._quarantine.set_explained(self._part_blames.explained)
        incarnations = self._quarantine.record_crash(
            context.fingerprint, record, domain_size, now
        )
        if incarnations is None:
            self._metrics.blames.labels("correlated").inc()
            return
        self._metrics.blames.labels("blamed").inc()
        value = INCARNATION_SEPARATOR.join(sorted(incarnations)).encode()
        self._facts.publish(
            Topic.BLAME, context.fingerprint, value, now, self._settings.lifetime
        )
        # The caller may resend immediately to another instance, which must know of the
        # blame by then.
        await self._notify_peers()

    def _handle_fact(self, fact):
        if is_part_key(fact.key):
            return
        incarnations = fact.value.decode(errors="replace").split(INCARNATION_SEPARATOR)
        self._quarantine.add_crashes(fact.key, incarnations, self._clock())


class QuarantineGuardFilter:
    """Checks the quarantine state of a request again after admission.

    Parameters
    ----------
    quarantine : Quarantine
        Tracks the requests that are blamed for crashes.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, quarantine, clock):
        self._quarantine = quarantine
        self._clock = clock

    async def handle(self, context, proceed):
        """Run the attempt unless the request was blamed for a crash while it waited."""
        state = self._quarantine.get_state(context.fingerprint, self._clock())
        if state is QuarantineState.QUARANTINED:
            return Error(refuse_quarantined(context.sent))
        if state is QuarantineState.SUSPECT and not context.grant.ticket.suspect:
            # Queue it again as a suspect, for a server without other suspects.
            return Error(AttemptFailure(RetryReason.SUSPECTED, sent=False))
        return await proceed(context)
