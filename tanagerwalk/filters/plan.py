"""Chooses the versions of a request and runs them as a cascade."""

from dataclasses import replace

from expression import Error, Ok

from ..decisions.versions import choose_plan, is_allowed
from ..messages import Plan, Sink, Usage
from ..outcomes import Interface, Refusal, RefusalReason


class PlanFilter:
    """Runs the cheapest plan that meets the class's targets.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutController
        Ratings, exposure and halts.
    starter : SessionStarter
        Mints sessions.
    collect_inputs : callable
        Returns the PlanInputs for a class of work.
    metrics : Metrics
        Counters.
    """

    def __init__(self, configuration, rollouts, starter, collect_inputs, metrics):
        self._configuration = configuration
        self._rollouts = rollouts
        self._starter = starter
        self._collect_inputs = collect_inputs
        self._metrics = metrics

    async def handle(self, context, proceed):
        """Choose a plan and run its steps."""
        if context.work_class.interface is Interface.SERVICE:
            context.plan = Plan(())
            return await proceed(context)
        chosen = self._choose(context)
        if chosen.is_error():
            return chosen
        context.plan = chosen.ok
        if context.session is None and context.wants_session:
            started = await self._starter.start(context, context.plan.steps[0])
            if started.is_error():
                return started
            if started.ok != context.plan.steps[0]:
                chosen = self._choose(context)
                if chosen.is_error():
                    return chosen
                context.plan = chosen.ok
        if context.plan.candidate is None:
            return await self._run_steps(context, proceed)
        key = (context.work_class.name, context.plan.candidate)
        with self._rollouts.expose(key) as exposure:
            result = await self._run_steps(context, proceed)
            if result.is_ok():
                exposure.confirm()
            return result

    def _choose(self, context):
        declaration = self._configuration.declaration
        work_class = context.work_class
        if context.session is None:
            inputs = self._collect_inputs(work_class)
            if context.wants_session:
                # A session has one version, so it can't go through a cascade.
                inputs = replace(inputs, rating_up=False)
            return choose_plan(declaration, context.account, work_class, inputs)
        version = context.session.version
        halted = self._rollouts.is_halted((work_class.name, version))
        if halted or not is_allowed(
            declaration, context.account.name, version, in_session=True
        ):
            return Error(
                Refusal(
                    RefusalReason.VERSION_WITHDRAWN,
                    "the version of this session takes no more work",
                )
            )
        return Ok(Plan((version,)))

    async def _run_steps(self, context, proceed):
        sink = context.sink
        steps = context.plan.steps
        for version in steps[:-1]:
            result = await self._run_step(context, proceed, version, Sink())
            if result.is_ok() and await self._is_good(context, result.ok):
                if result.ok.content:
                    await sink.write(result.ok.content.decode())
                return result
            self._metrics.escalations.labels(context.work_class.name).inc()
        return await self._run_step(context, proceed, steps[-1], sink)

    async def _run_step(self, context, proceed, version, sink):
        context.version = version
        context.sink = sink
        context.generated = []
        context.tried = set()
        result = await proceed(context)
        if result.is_ok():
            self._charge(context, version, result.ok.usage)
            if result.ok.status == 200:
                self._rollouts.sample(context, result.ok)
        return result

    def _charge(self, context, version_name, usage):
        context.usage = context.usage.add(usage or Usage())
        version = self._configuration.declaration.versions.get(version_name)
        if version is not None:
            context.cost += version.cost * usage.completion_tokens / 1000.0

    async def _is_good(self, context, answer):
        if answer.status != 200:
            return False
        rating = await self._rollouts.rate_now(context, answer)
        return rating is not None and rating >= context.work_class.quality
