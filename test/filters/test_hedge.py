"""Hedged calls: the winning attempt, cancellation, and whether the request was sent."""

import asyncio

import pytest
from expression import Error, Ok

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.admission import Grant, Ticket
from tanagerwalk.decisions.hedges import HedgeDelays
from tanagerwalk.decisions.retries import RetryBudget
from tanagerwalk.declarations import WorkClass
from tanagerwalk.filters.hedge import HedgeFilter
from tanagerwalk.messages import AttemptFailure, RequestContext
from tanagerwalk.metrics import Metrics
from tanagerwalk.outcomes import Interface, RetryReason

DELAY_S = 0.01
SLOW_S = 5 * DELAY_S
NEVER_S = 1000.0
UNSENT = Error(AttemptFailure(RetryReason.CONNECT_FAILED, sent=False))
SENT = Error(AttemptFailure(RetryReason.CONNECTION_LOST, sent=True))

# Duration and result of the first and of the second attempt; the expected result, the
# counted outcome, whether the request may have run, and the number of cancelled calls.
CASES = {
    "first is slow": ((NEVER_S, Ok(1)), (0, Ok(2)), Ok(2), "won", False, 1),
    "second is slow": ((SLOW_S, Ok(1)), (NEVER_S, Ok(2)), Ok(1), "lost", False, 1),
    "second fails": ((SLOW_S, Ok(1)), (0, SENT), Ok(1), "lost", False, 0),
    "first fails": ((SLOW_S, SENT), (2 * SLOW_S, Ok(2)), Ok(2), "won", False, 0),
    "both fail, second sent": ((SLOW_S, UNSENT), (0, SENT), UNSENT, "failed", True, 0),
    "both fail unsent": ((SLOW_S, UNSENT), (0, UNSENT), UNSENT, "failed", False, 0),
}


def fail(server):
    """Return the result of an attempt that a server failed."""
    return Error(AttemptFailure(RetryReason.SERVER_ERROR, sent=True, server=server))


class ScriptedChain:
    """The rest of the chain: runs scripted attempts, each on its own server."""

    def __init__(self, *script):
        self.script = list(script)
        self.cancelled = 0
        self.excluded = []

    async def __call__(self, context):
        number = len(self.excluded) + 1
        self.excluded.append(set(context.tried))
        ticket = Ticket("a", "lookup", 10.0)
        context.grant = Grant(ticket, f"s{number}", "s:1", f"s{number}.1")
        seconds, result = self.script[number - 1]
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return result


def make_context():
    work_class = WorkClass("lookup", Interface.SERVICE, 0, 1, 3, 0, True, hedge=True)
    context = RequestContext("r1", {}, "", "lookup", Interface.SERVICE)
    context.work_class = work_class
    return context


def ignore_failure(context, failure):
    del context, failure


def make_filter(metrics, tokens=1, on_failure=ignore_failure):
    delays = HedgeDelays()
    for _ in range(20):
        delays.record("lookup", DELAY_S)
    return HedgeFilter(
        delays, RetryBudget(0.0, tokens), metrics, lambda: 0.0, on_failure
    )


@pytest.mark.parametrize("case", CASES)
async def test_hedge_outcome(case):
    first, second, result, outcome, sent, cancelled = CASES[case]
    metrics, calls, context = Metrics(), ScriptedChain(first, second), make_context()
    actual = await make_filter(metrics).handle(context, calls)
    assert actual == result
    assert context.sent is sent
    assert calls.cancelled == cancelled
    assert calls.excluded == [set(), {"s1"}]
    count = metrics.registry.get_sample_value(
        "tanagerwalk_hedges_total", {"outcome": outcome}
    )
    assert count == 1.0


async def test_no_hedge_without_budget():
    calls = ScriptedChain((SLOW_S, Ok(1)))
    actual = await make_filter(Metrics(), tokens=0).handle(make_context(), calls)
    assert actual == Ok(1)
    assert len(calls.excluded) == 1


async def test_disconnect_of_the_caller_cancels_both_calls():
    calls = ScriptedChain((NEVER_S, Ok(1)), (NEVER_S, Ok(2)))
    running = asyncio.create_task(make_filter(Metrics()).handle(make_context(), calls))
    assert await poll_until(lambda: len(calls.excluded) == 2, DELAY_S, SLOW_S * 100)
    running.cancel()
    await asyncio.wait([running])
    assert calls.cancelled == 2


# Guards against a server that fails every hedge and is chosen again and again.
@pytest.mark.parametrize(
    "script",
    [
        ((NEVER_S, Ok(1)), (0, fail("s2"))),
        ((SLOW_S, Ok(1)), (0, fail("s2"))),
        ((2 * SLOW_S, fail("s1")), (0, fail("s2"))),
    ],
)
async def test_failure_of_the_second_server_is_recorded(script):
    recorded = []
    hedge = make_filter(Metrics(), on_failure=lambda *each: recorded.append(each))
    context = make_context()
    running = asyncio.create_task(hedge.handle(context, ScriptedChain(*script)))
    assert await poll_until(lambda: recorded, DELAY_S, SLOW_S * 100)
    running.cancel()
    await asyncio.wait([running])
    ((second, failure),) = recorded
    assert failure.server == "s2"
    assert second.grant.server == "s2"


# Guards against an exception that discards the answer of the other attempt.
@pytest.mark.parametrize("raising", [0, 1])
@pytest.mark.parametrize("error", [RuntimeError, asyncio.CancelledError])
async def test_success_is_kept_when_the_other_attempt_raises_with_it(raising, error):
    barrier = asyncio.Event()
    waiting = []

    async def proceed(context):
        number = len(waiting)
        waiting.append(context)
        server = f"s{number}"
        context.grant = Grant(Ticket("a", "lookup", 10.0), server, "s:1", server)
        await barrier.wait()
        if number == raising:
            raise error
        return Ok(number)

    context = make_context()
    running = asyncio.create_task(make_filter(Metrics()).handle(context, proceed))
    assert await poll_until(lambda: len(waiting) == 2, DELAY_S, SLOW_S * 100)
    barrier.set()
    assert await running == Ok(1 - raising)
    assert context.grant.server == f"s{1 - raising}"
