"""Final check of an attempt before it is sent to a backend server."""

from expression import Error

from ..decisions.cascades import FaultAttribution
from ..decisions.versions import is_allowed
from ..messages import AttemptFailure
from ..outcomes import Interface, Refusal, RefusalReason, RetryReason
from .plan import RETRY_AFTER_EXPOSURE_S

OK_STATUS = 200


class DispatchGuardFilter:
    """Checks the version and the server again after all waiting is done.

    Every attempt passes through this filter: first attempts, retries, cascade steps and
    resumed streams. The results are recorded as evidence about the version.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutController
        Provides halts and exposure and records the evidence.
    table : ServerTable
        Shows which servers are leaving.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, configuration, rollouts, table, clock):
        self._configuration = configuration
        self._rollouts = rollouts
        self._table = table
        self._clock = clock
        self._fault_attribution = FaultAttribution()

    async def handle(self, context, proceed):
        """Run the attempt if its version and server are still allowed."""
        is_chat = context.work_class.interface is Interface.CHAT
        if is_chat:
            refusal = self._check_version(context)
            if refusal is not None:
                return Error(refusal)
        server = self._table.servers.get(context.grant.server)
        if server is None or server.leaving:
            return Error(
                AttemptFailure(
                    RetryReason.SERVER_LEAVING, sent=False, server=context.grant.server
                )
            )
        started = self._clock()
        result = await proceed(context)
        if is_chat:
            self._record_evidence(context, result, started)
        return result

    def _check_version(self, context):
        allowed = is_allowed(
            self._configuration.declaration,
            context.account.name,
            context.version,
            in_session=context.session is not None,
        )
        key = (context.work_class.name, context.version)
        halted = self._rollouts.is_halted(key, context.account.versions)
        if allowed and not halted:
            return self._check_exposure(context)
        return Refusal(
            RefusalReason.VERSION_WITHDRAWN,
            f'version "{context.version}" takes no more work of the account',
            retry_after=None if context.session else 0.0,
        )

    def _check_exposure(self, context):
        if self._rollouts.holds_required_exposure(context):
            return None
        return Refusal(
            RefusalReason.EXPOSURE_SPENT,
            f'version "{context.version}" is on trial and has to wait',
            retry_after=RETRY_AFTER_EXPOSURE_S,
        )

    def _record_evidence(self, context, result, started):
        key = (context.work_class.name, context.version)
        now = self._clock()
        seconds = now - started
        if result.is_ok():
            answer = result.ok
            if answer.status == OK_STATUS:
                tokens = answer.usage.completion_tokens
                self._rollouts.record_answer(key, tokens, seconds)
            return
        lateness = context.work_class.lateness
        if self._fault_attribution.blames_version(
            context.version, result.error, seconds, lateness, now
        ):
            self._rollouts.record_error(key)
