"""Dispatch of attempts to backend servers."""

import asyncio
import dataclasses
import uuid
from functools import singledispatchmethod

from expression import Error, Ok

from ..clients.engines import ChatAttempt, ChatOutcome
from ..clients.services import ServiceAttempt, ServiceOutcome
from ..ids import AttemptId
from ..messages import Answer, AttemptFailure, Usage
from ..outcomes import Interface, RetryReason

OK_STATUS = 200
MILLISECONDS_PER_SECOND = 1000
MIN_SILENCE_S = 0.25
SILENCE_FRACTION = 0.5


class DispatchFilter:
    """Calls an engine or a plain service; the innermost filter of the chain.

    Parameters
    ----------
    engines : EngineClient
        Calls engines.
    services : ServiceClient
        Calls plain services.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, engines, services, clock):
        self._engines = engines
        self._services = services
        self._clock = clock

    async def handle(self, context, proceed):
        """Run one attempt; the error is an AttemptFailure."""
        del proceed
        context.attempt = AttemptId(f"{context.request_id}.{uuid.uuid4().hex[:8]}")
        max_silence = self._get_max_silence(context)
        resumed_pieces = len(context.generated)
        if context.work_class.interface is Interface.SERVICE:
            result = await self._services.call(
                _make_service_attempt(context), max_silence
            )
        else:
            result = await self._call_engine(context, max_silence)
        if result.is_error():
            return Error(_name_server(result.error, context))
        answer = self._make_answer(result.ok, context)
        if context.memory is not None:
            context.memory.keep_answer(len(answer.content))
        return Ok(
            dataclasses.replace(
                answer, usage=_compute_usage(answer, context, resumed_pieces)
            )
        )

    def _get_max_silence(self, context):
        """Return how many seconds the server may send nothing before a timeout.

        A server cut off from the network may accept a request and never respond. If the
        request is idempotent, the attempt times out early enough to leave time for
        another server.
        """
        remaining = max(0.0, context.deadline - self._clock())
        if not context.work_class.idempotent:
            return remaining
        return min(remaining, max(MIN_SILENCE_S, remaining * SILENCE_FRACTION))

    async def _call_engine(self, context, max_silence):
        attempt = context.attempt
        remaining = max(0.0, context.deadline - self._clock())
        loop = asyncio.get_running_loop()
        is_writing = False
        try:
            async with asyncio.timeout(max_silence) as silence_timeout:

                async def handle_text(text):
                    nonlocal is_writing
                    # Late text of an abandoned attempt must not reach the caller.
                    if context.attempt != attempt:
                        return
                    silence_timeout.reschedule(
                        loop.time() + self._get_max_silence(context)
                    )
                    context.generated.append(text)
                    is_writing = True
                    await context.sink.write(text)
                    is_writing = False

                return await self._engines.complete(
                    _make_chat_attempt(context), remaining, handle_text
                )
        except TimeoutError:
            # A caller that doesn't read on is no fault of the engine.
            own = is_writing
            reason = RetryReason.OWN_LIMIT if own else RetryReason.ATTEMPT_TIMEOUT
            return Error(AttemptFailure(reason, sent=True))

    @singledispatchmethod
    def _make_answer(self, outcome, context):
        raise AssertionError(f"unknown outcome {outcome!r}")

    @_make_answer.register
    def _(self, outcome: ChatOutcome, context):
        if outcome.status != OK_STATUS:
            return Answer(outcome.status, outcome.error, version=context.version)
        return Answer(
            OK_STATUS,
            "".join(context.generated).encode(),
            "text/plain",
            context.version,
            outcome.usage,
            outcome.finish_reason,
        )

    @_make_answer.register
    def _(self, outcome: ServiceOutcome, context):
        return Answer(outcome.status, outcome.content, outcome.content_type)


def _name_server(failure, context):
    """Return a failure with its server, unless the server has no part in it."""
    if failure.reason is RetryReason.OWN_LIMIT:
        return failure
    return dataclasses.replace(failure, server=context.grant.server)


def _compute_usage(answer, context, resumed_pieces):
    """Return the usage of all attempts that generated the answer.

    If an attempt ended before the engine reported token counts, each piece of its text
    counts as one token.
    """
    usage = answer.usage
    if usage.completion_tokens == 0 and answer.status == OK_STATUS:
        usage = usage.add(Usage(0, len(context.generated) - resumed_pieces))
    return usage.add(Usage(0, resumed_pieces))


def _make_chat_attempt(context):
    return ChatAttempt(
        attempt=context.attempt,
        address=context.grant.address,
        version=context.version,
        payload=context.payload,
        generated="".join(context.generated),
        priority=int(context.work_class.lateness * MILLISECONDS_PER_SECOND),
    )


def _make_service_attempt(context):
    return ServiceAttempt(
        attempt=context.attempt,
        address=context.grant.address,
        work_class=context.work_class.name,
        payload=context.payload,
        idempotent=context.work_class.idempotent,
        idempotency_key=context.idempotency_key,
    )
