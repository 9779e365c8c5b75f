"""Execution of a plan's steps until one gives an acceptable answer."""

from dataclasses import replace

from expression import Error, Ok

from ..decisions.cascades import KeptAnswer, may_escalate
from ..decisions.quality import estimate_quality, is_tolerable
from ..decisions.versions import find_next_step
from ..messages import Sink, Usage
from ..outcomes import EscalationReason, Refusal, RefusalReason, RunState

OK_STATUS = 200


class CascadeRunner:
    """Runs the steps of a request's plan, from the cheapest to the most costly version.

    Answers of all steps but the last are withheld from the caller until they are found
    acceptable. If no step gives an acceptable answer, the best one so far is returned
    if the class tolerates its quality.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    rollouts : RolloutController
        Rates answers and holds the evidence about versions.
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
        best_answer = None
        index = 0
        last = len(context.plan.steps) - 1
        while True:
            first_index = index
            index = self._find_step(context, first_index)
            if index is None and best_answer is not None:
                return await self._fall_back(
                    context, best_answer, sink, _make_quality_refusal()
                )
            # Without any answer so far, run the last step anyway, so that admission
            # refuses it with a specific reason.
            index = last if index is None else index
            if index > first_index:
                self._count_escalation(context, EscalationReason.NO_TIME)
            if index == last:
                return await self._run_last(context, proceed, sink, best_answer)
            result = await self._run_step(context, proceed, index)
            if result.is_error():
                if not may_escalate(result.error, context.work_class.idempotent):
                    return await self._fall_back(
                        context, best_answer, sink, result.error
                    )
                self._count_escalation(context, EscalationReason.STEP_FAILED)
            else:
                kept_answer = await self._assess_answer(context, result.ok)
                if kept_answer is None:
                    return await self._deliver(sink, result.ok)
                best_answer = max(
                    best_answer or kept_answer, kept_answer, key=lambda kept: kept.value
                )
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

    async def _run_last(self, context, proceed, sink, best_answer):
        context.sink = sink
        result = await self._run_step(context, proceed, len(context.plan.steps) - 1)
        if result.is_ok():
            if result.ok.status == OK_STATUS:
                self._rollouts.sample(context, result.ok)
            return result
        if context.generated:
            # The caller has already received part of this answer, so no other answer
            # can be sent.
            return result
        return await self._fall_back(context, best_answer, sink, result.error)

    async def _run_step(self, context, proceed, index):
        context.version = context.plan.steps[index]
        context.generated = []
        context.tried = set()
        result = await proceed(context)
        if result.is_ok():
            # From here on, no refusal of this request may report that it did not run.
            context.sent = True
            self._charge(context, result.ok.usage or Usage())
        return result

    def _charge(self, context, usage):
        context.usage = context.usage.add(usage)
        version = self._configuration.declaration.versions.get(context.version)
        if version is not None:
            context.cost += version.cost * usage.completion_tokens / 1000.0

    async def _assess_answer(self, context, answer):
        """Return None for an acceptable answer, else a KeptAnswer with its quality."""
        if answer.status != OK_STATUS:
            return None
        rating = await self._rollouts.rate_now(context, answer)
        if rating is None:
            return self._assess_unrated_answer(context, answer)
        context.cost += self._rating_cost
        if rating >= context.work_class.quality:
            return None
        self._count_escalation(context, EscalationReason.BELOW_TARGET)
        return KeptAnswer(answer, rating)

    def _assess_unrated_answer(self, context, answer):
        work_class = context.work_class
        version = self._configuration.declaration.versions.get(answer.version)
        if version is None:
            self._count_escalation(context, EscalationReason.UNRATED)
            return KeptAnswer(answer, 0.0)
        counts = self._rollouts.tracker.sum_evidence(work_class.name, answer.version)
        quality_lower_bound = estimate_quality(version, work_class, counts).lower
        if quality_lower_bound >= work_class.quality:
            return None
        self._count_escalation(context, EscalationReason.UNRATED)
        return KeptAnswer(answer, quality_lower_bound)

    def _count_escalation(self, context, reason):
        name = context.work_class.name
        self._metrics.escalations.labels(name, reason.value).inc()

    async def _fall_back(self, context, best_answer, sink, refusal):
        """Return the best answer if the class tolerates it, else the refusal."""
        if best_answer is None:
            return Error(refusal)
        if not is_tolerable(best_answer.value, context.work_class):
            return Error(replace(refusal, run_state=RunState.RAN))
        self._metrics.below_target.labels(context.work_class.name).inc()
        context.version = best_answer.answer.version
        return await self._deliver(sink, best_answer.answer)

    async def _deliver(self, sink, answer):
        if answer.status == OK_STATUS and answer.content:
            await sink.write(answer.content.decode())
        return Ok(answer)


def _make_quality_refusal():
    return Refusal(
        RefusalReason.QUALITY_UNREACHABLE,
        "no answer of the quality that the class needs was to be had in time",
        RunState.RAN,
    )
