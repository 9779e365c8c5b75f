"""Admission of attempts to backend servers."""

from ..decisions.admission import Ticket
from ..outcomes import Interface

# Fraction of its lateness target that a long request waits for a busy local region
# before servers of other regions may be used.
REMOTE_WAIT_FRACTION = 0.2


class AdmissionFilter:
    """Holds each attempt until the gate grants it capacity on a backend server.

    Parameters
    ----------
    gate : Gate
        Queues attempts and grants capacity.
    durations : DurationEstimates
        Records how long successful attempts take.
    table : ServerTable
        Lists the backend servers and records successes.
    is_long : callable
        Returns whether a class of work is long compared with the shortest one.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, gate, durations, table, is_long, clock):
        self._gate = gate
        self._durations = durations
        self._table = table
        self._is_long = is_long
        self._clock = clock

    async def handle(self, context, proceed):
        """Wait for a grant, run the attempt and release the grant."""
        ticket = self._make_ticket(context)
        acquired = await self._gate.acquire(ticket)
        if acquired.is_error():
            return acquired
        grant = acquired.ok
        context.grant = grant
        started = self._clock()
        try:
            result = await proceed(context)
        finally:
            self._gate.release(grant)
        if result.is_ok():
            seconds = self._clock() - started
            self._record_success(ticket, grant, seconds, context.work_class.lateness)
        return result

    def _record_success(self, ticket, grant, seconds, lateness):
        expected = self._durations.estimate(ticket.work_class, ticket.version, lateness)
        ratio = seconds / expected if expected > 0.0 else 1.0
        self._durations.record(ticket.work_class, ticket.version, seconds)
        self._table.record_success(
            grant.server, self._clock(), ratio, grant.incarnation
        )

    def _make_ticket(self, context):
        work_class = context.work_class
        is_service = work_class.interface is Interface.SERVICE
        version = None if is_service else context.version
        service = work_class.service if is_service else None
        serving = self._table.list_serving(version, service)
        if all(server.record.id in context.tried for server in serving):
            # Every server has failed this request once. Allow all of them again,
            # since each may have recovered after its pause.
            context.tried.clear()
        long = self._is_long(work_class)
        remote_allowed_at = float("-inf")
        if long:
            remote_allowed_at = (
                self._clock() + work_class.lateness * REMOTE_WAIT_FRACTION
            )
        return Ticket(
            account=context.account.name,
            work_class=work_class.name,
            deadline=context.deadline,
            version=version,
            service=service,
            long=long,
            exclude=frozenset(context.tried),
            suspect=context.suspect,
            remote_allowed_at=remote_allowed_at,
        )
