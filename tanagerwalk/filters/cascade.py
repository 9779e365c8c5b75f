"""Runs the steps of a plan until one gives an acceptable answer."""

from dataclasses import replace

from expression import Error, Ok

from ..decisions.cascades import KeptAnswer, may_escalate
from ..decisions.quality import estimate_quality, is_tolerable
from ..decisions.versions import find_next_step
from ..messages import Sink, Usage
from ..outcomes import EscalationReason, Refusal, RefusalReason, RunState

OK_STATUS = 200


class CascadeRunner:
    """Runs a request's plan.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutController
        Rates answers.
    durations : DurationEstimates
        Expected duration of attempts.
    rating_cost : float
        Cost of rating one answer.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, configuration, rollouts, durations, rating_cost, metrics, clock):
        self._configuration = configuration
        self._rollouts = rollouts
        self._durations = durations
        self._rating_cost = rating_cost
        self._metrics = metrics
        self._clock = clock

    async def run(self, context, proceed):
        """Run the steps of the context's plan.

        Returns
        -------
        Result of Answer, or of Refusal
        """
        sink = context.sink
        context.sink = Sink()
        kept = None
        index = 0
        last = len(context.plan.steps) - 1
        while True:
            due = index
            index = self._find_step(context, due)
            if index is None and kept is not None:
                return await self._settle(context, kept, sink, _refuse_quality())
            # Without any answer yet it is admission that refuses, with its reason.
            index = last if index is None else index
            if index > due:
                self._count(context, EscalationReason.NO_TIME)
            if index == last:
                return await self._run_last(context, proceed, sink, kept)
            result = await self._run_step(context, proceed, index)
            if result.is_error():
                if not may_escalate(result.error, context.work_class.idempotent):
                    return await self._settle(context, kept, sink, result.error)
                self._count(context, EscalationReason.STEP_FAILED)
            else:
                judged = await self._judge(context, result.ok)
                if judged is None:
                    return await self._give(sink, result.ok)
                kept = max(kept or judged, judged, key=lambda known: known.value)
            index += 1

    def _find_step(self, context, index):
        work_class = context.work_class
        return find_next_step(
            context.plan.steps,
            index,
            context.deadline - self._clock(),
            lambda version: self._durations.estimate(
                work_class.name, version, work_class.lateness
            ),
            self._rollouts.rating_gate.time,
        )

    async def _run_last(self, context, proceed, sink, kept):
        context.sink = sink
        result = await self._run_step(context, proceed, len(context.plan.steps) - 1)
        if result.is_ok():
            if result.ok.status == OK_STATUS:
                self._rollouts.sample(context, result.ok)
            return result
        if context.generated:
            # The caller has a part of this answer; another one can't follow it.
            return result
        return await self._settle(context, kept, sink, result.error)

    async def _run_step(self, context, proceed, index):
        context.version = context.plan.steps[index]
        context.generated = []
        context.tried = set()
        result = await proceed(context)
        if result.is_ok():
            # No later refusal of this request may say that it did not run.
            context.sent = True
            self._charge(context, result.ok.usage or Usage())
        return result

    def _charge(self, context, usage):
        context.usage = context.usage.add(usage)
        version = self._configuration.declaration.versions.get(context.version)
        if version is not None:
            context.cost += version.cost * usage.completion_tokens / 1000.0

    async def _judge(self, context, answer):
        """Return None for an acceptable answer, else the answer with its value."""
        if answer.status != OK_STATUS:
            return None
        rating = await self._rollouts.rate_now(context, answer)
        if rating is None:
            return self._judge_unrated(context, answer)
        context.cost += self._rating_cost
        if rating >= context.work_class.quality:
            return None
        self._count(context, EscalationReason.BELOW_TARGET)
        return KeptAnswer(answer, rating)

    def _judge_unrated(self, context, answer):
        work_class = context.work_class
        version = self._configuration.declaration.versions.get(answer.version)
        if version is None:
            self._count(context, EscalationReason.UNRATED)
            return KeptAnswer(answer, 0.0)
        counts = self._rollouts.tracker.sum_evidence(work_class.name, answer.version)
        lower = estimate_quality(version, work_class, counts).lower
        if lower >= work_class.quality:
            return None
        self._count(context, EscalationReason.UNRATED)
        return KeptAnswer(answer, lower)

    def _count(self, context, reason):
        name = context.work_class.name
        self._metrics.escalations.labels(name, reason.value).inc()

    async def _settle(self, context, kept, sink, refusal):
        """Give the best answer there is if it is better than the refusal."""
        if kept is None:
            return Error(refusal)
        if not is_tolerable(kept.value, context.work_class):
            return Error(replace(refusal, run_state=RunState.RAN))
        self._metrics.below_target.labels(context.work_class.name).inc()
        context.version = kept.answer.version
        return await self._give(sink, kept.answer)

    async def _give(self, sink, answer):
        if answer.status == OK_STATUS and answer.content:
            await sink.write(answer.content.decode())
        return Ok(answer)


def _refuse_quality():
    return Refusal(
        RefusalReason.QUALITY_UNREACHABLE,
        "no answer of the quality that the class needs was to be had in time",
        RunState.RAN,
    )
