"""Records the failures of attempts at the servers that failed them."""

from ..decisions.leaving import Suspicion
from ..decisions.retries import classify_failure
from ..outcomes import RetryReason


class FailureRecorder:
    """Records failed attempts, so that the next ones use other servers.

    Parameters
    ----------
    table : ServerTable
        Takes the failures of servers.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    def record(self, context, failure):
        """Record an AttemptFailure of a request; one without a server is ignored.

        Parameters
        ----------
        context : RequestContext
            The request; it won't try the server again.
        failure : AttemptFailure
            The failure.
        """
        if failure.server is None:
            return
        context.tried.add(failure.server)
        if failure.reason is RetryReason.VERSION_MISSING:
            self._table.forget_version(failure.server, context.version)
            return
        now = self._clock()
        grant = context.grant
        is_granted = grant is not None and grant.server == failure.server
        self._table.record_failure(
            failure.server,
            now,
            classify_failure(failure.reason),
            failure.retry_after,
            grant.incarnation if is_granted else None,
        )
        suspicion = infer_suspicion(failure)
        if suspicion is not None and is_granted:
            self._table.suspect_leaving(grant.incarnation, suspicion, now)


def infer_suspicion(failure):
    """Return why a failure suggests that its server is leaving, or None."""
    if failure.closing:
        return Suspicion.CLOSING_REFUSAL
    if failure.reason is RetryReason.CONNECT_FAILED:
        return Suspicion.CONNECT_FAILED
    return None
