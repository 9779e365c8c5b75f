"""Choice of a request's plan, and of another plan if one is refused."""

from expression import Error, Ok

from ..decisions.cascades import may_replan
from ..decisions.versions import choose_plan, is_allowed
from ..messages import Plan
from ..outcomes import Interface, Refusal, RefusalReason, VersionState

RETRY_AFTER_EXPOSURE_S = 5.0


class PlanFilter:
    """Runs the cheapest plan that meets the targets of the class of work.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutController
        Provides halts and grants exposure.
    starter : SessionStarter
        Starts sessions.
    collect_inputs : callable
        Returns the PlanInputs for a request and a set of excluded versions.
    runner : CascadeRunner
        Runs plans.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self, configuration, rollouts, starter, collect_inputs, runner, metrics, clock
    ):
        self._configuration = configuration
        self._rollouts = rollouts
        self._starter = starter
        self._collect_inputs = collect_inputs
        self._runner = runner
        self._metrics = metrics
        self._clock = clock

    async def handle(self, context, proceed):
        """Choose a plan and run its steps."""
        if context.work_class.interface is Interface.SERVICE:
            context.plan = Plan(())
            return await proceed(context)
        if context.session is not None:
            return await self._continue_session(context, proceed)
        return await self._run_without_session(context, proceed)

    async def _run_without_session(self, context, proceed):
        excluded = frozenset()
        last_refusal = None
        sink = context.sink
        while True:
            chosen = self._choose_plan(context, excluded)
            if chosen.is_error():
                return last_refusal or chosen
            context.plan = chosen.ok
            if context.wants_session:
                started = await self._starter.start(context, context.plan.steps[0])
                if started != Ok(context.plan.steps[0]):
                    return await self._join_session(started, context, proceed)
            context.sink = sink
            result = await self._run_plan(context, proceed)
            if result.is_ok() or not self._may_replan(context, result.error):
                return result
            if context.session_id is not None:
                # The session id is already pinned to this version.
                return result
            last_refusal = result
            excluded |= {context.version}
            context.session = None
            self._metrics.replans.labels(result.error.reason.value).inc()

    def _may_replan(self, context, refusal):
        if context.generated:
            # The caller has already received part of this answer, so no other answer
            # can be sent.
            return False
        on_trial = context.plan.candidate is not None
        return may_replan(refusal, context.work_class.idempotent, on_trial)

    async def _join_session(self, started, context, proceed):
        """Continue the session that another request started first, or refuse."""
        if context.exposure is not None:
            context.exposure.end()
            context.exposure = None
        if started.is_error():
            return started
        return await self._continue_session(context, proceed)

    def _choose_plan(self, context, excluded):
        """Choose a plan; take a unit of exposure if it uses a candidate."""
        while True:
            chosen = choose_plan(
                self._configuration.declaration,
                context.account,
                context.work_class,
                self._collect_inputs(context, excluded),
            )
            if chosen.is_error() or chosen.ok.candidate is None:
                return chosen
            key = (context.work_class.name, chosen.ok.candidate)
            context.exposure = self._rollouts.acquire_exposure(key)
            if context.exposure is not None:
                return chosen
            excluded |= {chosen.ok.candidate}

    async def _continue_session(self, context, proceed):
        declaration = self._configuration.declaration
        name = context.session.version
        key = (context.work_class.name, name)
        allowed = is_allowed(declaration, context.account.name, name, in_session=True)
        halted = self._rollouts.is_halted(key, context.account.versions)
        if not allowed or halted:
            return _refuse(
                RefusalReason.VERSION_WITHDRAWN,
                "the version of this session takes no more work",
            )
        if declaration.versions[name].state is VersionState.CANDIDATE:
            context.exposure = self._rollouts.acquire_exposure(key)
            if context.exposure is None:
                return _refuse(
                    RefusalReason.EXPOSURE_SPENT,
                    "the version of this session is on trial and has to wait",
                    RETRY_AFTER_EXPOSURE_S,
                )
        context.plan = Plan((name,))
        return await self._run_plan(context, proceed)

    async def _run_plan(self, context, proceed):
        exposure = context.exposure
        if exposure is None:
            return await self._runner.run(context, proceed)
        is_answered = False
        try:
            result = await self._runner.run(context, proceed)
            is_answered = result.is_ok() and result.ok.status == 200
            return result
        finally:
            # The exposure of a complete answer ends when it is rated. A partial answer
            # that reached the caller cannot be rated.
            if not is_answered:
                self._end_exposure(exposure, context)
            context.exposure = None

    def _end_exposure(self, exposure, context):
        if context.generated:
            exposure.mark_lost(self._clock())
        else:
            exposure.end()


def _refuse(reason, message, retry_after=None):
    return Error(Refusal(reason, message, retry_after=retry_after))
