"""Last check before the bytes of an attempt leave for a backend server."""

from expression import Error

from ..decisions.versions import is_allowed
from ..messages import AttemptFailure
from ..outcomes import Interface, Refusal, RefusalReason, RetryReason


class GuardFilter:
    """Checks version and server once more, after every wait.

    Every path to a backend server passes here: first attempts, retries, cascade
    steps and resumed streams.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutController
        Halts.
    table : ServerTable
        Servers that are leaving.
    """

    def __init__(self, configuration, rollouts, table):
        self._configuration = configuration
        self._rollouts = rollouts
        self._table = table

    async def handle(self, context, proceed):
        """Pass the attempt on if it is still allowed."""
        if context.work_class.interface is Interface.CHAT:
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
        return await proceed(context)

    def _check_version(self, context):
        allowed = is_allowed(
            self._configuration.declaration,
            context.account.name,
            context.version,
            in_session=context.session is not None,
        )
        halted = self._rollouts.is_halted((context.work_class.name, context.version))
        if allowed and not halted:
            return None
        return Refusal(
            RefusalReason.VERSION_WITHDRAWN,
            f'version "{context.version}" takes no more work of the account',
            retry_after=None if context.session else 0.0,
        )
