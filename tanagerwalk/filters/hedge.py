"""Hedging of slow service calls with a second backend server."""

import asyncio
import dataclasses

import structlog

from ..decisions.hedges import may_hedge
from ..messages import AttemptFailure
from ..outcomes import Interface

log = structlog.get_logger(__name__)


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
        Takes the RequestContext and the AttemptFailure of a failed attempt whose result
        isn't returned.
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
            winner = _find_success(done, first)
            if winner is None:
                _raise_error(done)
            # A failure of the first attempt is returned unless another one succeeds,
            # and the RetryFilter records what is returned.
            for task in done - {first}:
                self._record_failure(context, tasks[task], task)
            if winner is not None:
                self._count_outcome(winner is not first, done)
                if first.done():
                    self._record_failure(context, context, first)
                _copy_attempt(context, tasks[winner])
                return winner.result()
        self._metrics.hedges.labels("failed").inc()
        context.sent = context.sent or any(_was_sent(task.result()) for task in tasks)
        return first.result()

    def _record_failure(self, context, attempt_context, task):
        """Record a failure of an attempt whose result is dropped.

        An exception is logged.
        """
        if _has_raised(task):
            error = None if task.cancelled() else task.exception()
            log.error("attempt of a hedged call raised", exc_info=error)
            return
        if task.result().is_ok():
            return
        failure = task.result().error
        if isinstance(failure, AttemptFailure):
            self._on_failure(attempt_context, failure)
            context.tried |= attempt_context.tried

    def _count_outcome(self, won, done):
        self._metrics.hedges.labels("won" if won else "lost").inc()
        if len(done) > 1:
            self._metrics.hedges.labels("dropped").inc()


def _has_raised(task):
    return task.cancelled() or task.exception() is not None


def _find_success(done, first):
    """Return an attempt that succeeded, preferably the first one, or None."""
    succeeded = [
        task for task in done if not _has_raised(task) and task.result().is_ok()
    ]
    if first in succeeded:
        return first
    return succeeded[0] if succeeded else None


def _raise_error(done):
    """Raise what an attempt has raised, if one has."""
    for task in done:
        task.result()


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
