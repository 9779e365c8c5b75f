"""Metrics and log lines for the outcome of every request."""

import structlog
from expression import Error

from ..outcomes import Refusal, RefusalReason, RunState

log = structlog.get_logger(__name__)


class CountFilter:
    """Counts and logs answers, refusals, late answers and cost.

    This is the outermost filter of the chain.

    Parameters
    ----------
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock

    async def handle(self, context, proceed):
        """Run the request and count its outcome."""
        result = await _run_chain(context, proceed)
        seconds = self._clock() - context.arrived
        if result.is_ok():
            self._count_answer(context, result.ok, seconds)
        else:
            self._count_refusal(context, result.error, seconds)
        return result

    def _count_answer(self, context, answer, seconds):
        name = context.work_class.name
        self._metrics.requests.labels(name).inc()
        self._metrics.latency.labels(name).observe(seconds)
        self._metrics.cost.labels(name).inc(context.cost)
        if seconds > context.work_class.lateness:
            self._metrics.late.labels(name).inc()
        log.info(
            "request answered",
            request_id=context.request_id,
            work_class=name,
            version=answer.version,
            seconds=round(seconds, 4),
            cost=context.cost,
        )

    def _count_refusal(self, context, refusal, seconds):
        self._metrics.refusals.labels(refusal.reason.value).inc()
        log.info(
            "request refused",
            request_id=context.request_id,
            work_class=context.class_name,
            reason=refusal.reason.value,
            run_state=refusal.run_state.value,
            seconds=round(seconds, 4),
        )


async def _run_chain(context, proceed):
    """Run the rest of the chain and turn an exception into a refusal."""
    try:
        return await proceed(context)
    except Exception:
        log.exception("request failed", request_id=context.request_id)
        return Error(
            Refusal(
                RefusalReason.INTERNAL_ERROR,
                "the router failed while it handled the request",
                RunState.UNKNOWN,
            )
        )
