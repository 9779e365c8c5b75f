"""Retries of failed attempts."""

import asyncio
import dataclasses

from expression import Error

from ..decisions.retries import (
    RetryState,
    choose_backoff,
    decide_retry,
)
from ..outcomes import Refusal, RunState


class RetryFilter:
    """Retries failed attempts within the limits, or turns a failure into a refusal.

    Parameters
    ----------
    settings : RetrySettings
        Limits of retries.
    budget : RetryBudget
        Limits the retries of this instance.
    table : ServerTable
        Lists the backend servers.
    failures : FailureRecorder
        Records failed attempts.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(self, settings, budget, table, failures, metrics, clock, random):
        self._settings = settings
        self._budget = budget
        self._table = table
        self._failures = failures
        self._metrics = metrics
        self._clock = clock
        self._random = random

    async def handle(self, context, proceed):
        """Run attempts until one succeeds or no further one is allowed."""
        self._budget.deposit()
        attempts = 0
        while True:
            attempts += 1
            result = await proceed(context)
            if result.is_ok():
                # Remember that this step ran, since a later step of the cascade may be
                # refused.
                context.sent = True
                return result
            failure = result.error
            if isinstance(failure, Refusal):
                return Error(_correct_run_state(failure, context))
            refusal = self._record_and_decide(context, failure, attempts)
            if refusal is not None:
                return Error(refusal)
            self._metrics.retries.labels(failure.reason.value).inc()
            await self._back_off(context, attempts)

    def _record_and_decide(self, context, failure, attempts):
        now = self._clock()
        context.sent = context.sent or failure.sent
        self._failures.record(context, failure)
        state = RetryState(
            idempotent=context.work_class.idempotent,
            sent=context.sent,
            attempts=attempts,
            max_attempts=self._settings.max_attempts,
            now=now,
            deadline=context.deadline,
        )
        return decide_retry(failure, state, self._budget)

    async def _back_off(self, context, attempts):
        service = context.work_class.service
        serving = self._table.list_serving(context.version, service)
        all_failed = all(server.record.id in context.tried for server in serving)
        backoff = choose_backoff(attempts, all_failed, self._random.random())
        if backoff > 0.0:
            await asyncio.sleep(backoff)


def _correct_run_state(refusal, context):
    """Replace `NOT_RUN` by `UNKNOWN` if an earlier attempt was sent."""
    if context.sent and refusal.run_state is RunState.NOT_RUN:
        return dataclasses.replace(refusal, run_state=RunState.UNKNOWN)
    return refusal
