"""DispatchFilter: text that reaches the caller and timeouts of silent servers."""

import asyncio
import time

import pytest
from expression import Error, Ok

from tanagerwalk.clients.engines import ChatOutcome
from tanagerwalk.decisions.admission import Grant
from tanagerwalk.declarations import parse_declaration
from tanagerwalk.filters.dispatch import DispatchFilter
from tanagerwalk.messages import AttemptFailure, RequestContext, Sink
from tanagerwalk.outcomes import RetryReason

DECLARATION = parse_declaration("[class label]\nlateness = 1 s\n").ok


class ListSink(Sink):
    def __init__(self):
        self.pieces = []

    async def write(self, text):
        self.pieces.append(text)


class LateTextEngines:
    """Times out the first attempt and delivers its text during the second one."""

    def __init__(self):
        self.late = None
        self.attempts = []

    async def complete(self, attempt, deadline, on_text):
        self.attempts.append(attempt)
        if self.late is None:
            self.late = on_text
            await on_text("a ")
            return Error(AttemptFailure(RetryReason.ATTEMPT_TIMEOUT, sent=True))
        await on_text("b ")
        await self.late("late ")
        await on_text("c")
        return Ok(ChatOutcome(200))


def make_context(text="x"):
    context = RequestContext("r1", {"messages": [text]}, "key", "label")
    context.sink = ListSink()
    context.work_class = DECLARATION.classes["label"]
    context.deadline = time.monotonic() + 10
    context.version = "m1"
    context.grant = Grant(None, "engine-1", "127.0.0.1:1", "engine-1.1")
    return context


async def test_late_text_of_an_abandoned_attempt_is_dropped():
    engines = LateTextEngines()
    dispatch = DispatchFilter(engines, None, time.monotonic)
    context = make_context()
    assert (await dispatch.handle(context, None)).is_error()
    answer = (await dispatch.handle(context, None)).ok
    assert engines.attempts[1].generated == "a "
    assert answer.content == b"a b c"
    assert "".join(context.sink.pieces) == "a b c"


class InterleavingEngines:
    """Interleaves the answers of concurrent requests; the last request ends first."""

    async def complete(self, attempt, deadline, on_text):
        number = attempt.payload["messages"][0]
        await on_text(f"{number} ")
        await asyncio.sleep(0.001 * (9 - number))
        await on_text(f"{number}")
        return Ok(ChatOutcome(200))


async def test_answers_out_of_order_go_to_their_own_request():
    dispatch = DispatchFilter(InterleavingEngines(), None, time.monotonic)
    contexts = [make_context(number) for number in range(9)]
    results = await asyncio.gather(*(dispatch.handle(c, None) for c in contexts))
    for number, (context, result) in enumerate(zip(contexts, results, strict=True)):
        assert result.ok.content == f"{number} {number}".encode()
        assert "".join(context.sink.pieces) == f"{number} {number}"


class SilentEngines:
    """Sends one piece of text and then stays silent."""

    async def complete(self, attempt, deadline, on_text):
        await on_text("a ")
        await asyncio.Event().wait()


@pytest.mark.parametrize(("idempotent", "share"), [("yes", 0.5), ("no", 1.0)])
async def test_attempt_on_a_silent_server_times_out(idempotent, share):
    declared = f"[class label]\nlateness = 1 s\nidempotent = {idempotent}\n"
    context = make_context()
    context.work_class = parse_declaration(declared).ok.classes["label"]
    started = time.monotonic()
    context.deadline = started + 1.0
    result = await DispatchFilter(SilentEngines(), None, time.monotonic).handle(
        context, None
    )
    assert result.error.reason is RetryReason.ATTEMPT_TIMEOUT
    assert result.error.sent
    # An attempt must not time out before its share of the remaining time has passed.
    assert time.monotonic() - started >= share * 0.9
