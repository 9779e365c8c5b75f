"""Hedging of slow service calls with a second backend server."""

import asyncio
import dataclasses

from ..decisions.hedges import may_hedge
from ..messages import AttemptFailure
from ..outcomes import Interface


class HedgeFilter:
    """Hedges idempotent calls of plain services whose class allows it.

    Parameters
    ----------
    delays : HedgeDelays
        Provides the delay before a call is hedged.
    budget : RetryBudget
        Limits the hedges of this instance.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    on_failure : callable
        Takes the RequestContext and the AttemptFailure of an attempt that failed
        beside another one.
    """

    def __init__(self, delays, budget, metrics, clock, on_failure):
        self._delays = delays
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._on_failure = on_failure

    async def handle(self, context, proceed):
        """Run an attempt, and a second one in parallel if the first is slow."""
        work_class = context.work_class
        if not work_class.hedge or work_class.interface is not Interface.SERVICE:
            return await proceed(context)
        self._budget.deposit()
        started = self._clock()
        result = await self._run_hedged(context, proceed)
        if result.is_ok():
            self._delays.record(work_class.name, self._clock() - started)
        return result

    async def _run_hedged(self, context, proceed):
        delay = self._delays.get_delay(context.work_class.name)
        if delay is None:
            return await proceed(context)
        first = asyncio.ensure_future(proceed(context))
        tasks = {first: context}
        try:
            done, _ = await asyncio.wait({first}, timeout=delay)
            sent = context.grant is not None
            if done or not sent or not self._may_hedge(context):
                return await first
            second = dataclasses.replace(
                context, tried=context.tried | {context.grant.server}, grant=None
            )
            tasks[asyncio.ensure_future(proceed(second))] = second
            return await self._wait_for_success(context, first, tasks)
        finally:
            await _cancel_tasks(tasks)

    def _may_hedge(self, context):
        return may_hedge(context.work_class, context.suspect, self._budget)

    async def _wait_for_success(self, context, first, tasks):
        pending = set(tasks)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done - {first}:
                if task.result().is_error():
                    self._record_failure(context, tasks[task], task.result())
            # If both have completed, prefer the first attempt.
            for task in sorted(done, key=lambda task: task is not first):
                if task.result().is_ok():
                    self._count_outcome(task is not first, done)
                    self._record_first_failure(context, first)
                    _copy_attempt(context, tasks[task])
                    return task.result()
        self._metrics.hedges.labels("failed").inc()
        context.sent = context.sent or any(_was_sent(task.result()) for task in tasks)
        return first.result()

    def _record_first_failure(self, context, first):
        """Record a failure of the first attempt, whose result is not returned."""
        if first.done() and first.result().is_error():
            self._record_failure(context, context, first.result())

    def _record_failure(self, context, attempted, result):
        failure = result.error
        if isinstance(failure, AttemptFailure):
            self._on_failure(attempted, failure)
            context.tried |= attempted.tried

    def _count_outcome(self, won, done):
        self._metrics.hedges.labels("won" if won else "lost").inc()
        if len(done) > 1:
            self._metrics.hedges.labels("dropped").inc()


def _was_sent(result):
    failure = result.error
    return isinstance(failure, AttemptFailure) and failure.sent


def _copy_attempt(context, winner):
    context.grant = winner.grant
    context.attempt = winner.attempt


async def _cancel_tasks(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
