"""One attempt: sends a request to one backend server and relays the answer."""

import asyncio
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from expression import Error, Ok

from ..decisions.events import EventSplitter
from ..decisions.paces import PaceSample
from ..manifest import Repeatability
from .attempts import Attempt, AttemptResult, ClassifiedHead, Outcome, ResponseKind
from .requests import GatewayRequest


@dataclass(slots=True)
class StreamProgress:
    """What the client has of a stream.

    Parameters
    ----------
    last_event : int or None
        Number of the last whole event that it received.
    head_sent : bool
        Whether it has received the head.
    first_event_at : float or None
        Monotonic time of its first event.
    max_gap : float
        Longest pause between two events, in seconds.
    """

    last_event: int | None = None
    head_sent: bool = False
    first_event_at: float | None = None
    last_event_at: float = field(default=0.0)
    max_gap: float = 0.0

    def record_events(self, now):
        """Note that events were passed on."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.max_gap = max(self.max_gap, now - self.last_event_at)
        self.last_event_at = now


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """How long one attempt may be silent, in seconds.

    Parameters
    ----------
    unresponsive : float
        Until the head of the answer from a server that answers nobody.
    idle : float
        Between two pieces of the body.
    head : float
        Until the head of the answer from a server that answers others.
    """

    unresponsive: float
    idle: float
    head: float


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """One attempt, and what the request asks of it.

    Parameters
    ----------
    request : GatewayRequest
        The request.
    attempt : Attempt
        Where it goes.
    timeouts : AttemptTimeouts
        When to give it up.
    accepts_head : callable
        Takes a ClassifiedHead and returns whether that answer is good enough.
    progress : StreamProgress
        What the client has received.
    """

    request: GatewayRequest
    attempt: Attempt
    timeouts: AttemptTimeouts
    accepts_head: Callable[[ClassifiedHead], bool]
    progress: StreamProgress


class AttemptRunner:
    """Runs attempts over kept connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    servers : ServerPool
        Learns of the use of the servers.
    codec : PlatformCodec
        Encodes requests and judges answers.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, pool, servers, codec, clock):
        self._pool = pool
        self._servers = servers
        self._codec = codec
        self._clock = clock

    async def run(self, plan):
        """Run one attempt.

        Parameters
        ----------
        plan : AttemptPlan
            The attempt.

        Returns
        -------
        AttemptResult
        """
        request, attempt = plan.request, plan.attempt
        # Counted before the first wait, so that requests that come together spread.
        self._servers.note_sent(attempt.server, attempt.work)
        connection = None
        timer = _ResponseTimer(self._clock())
        try:
            opened = await self._connect(attempt)
            if opened.is_error():
                return AttemptResult(Outcome.NOT_SENT, opened.error)
            connection = opened.ok
            connection.send(
                self._codec.encode_attempt(request, attempt),
                bodiless=request.raw.method == b"HEAD",
                is_mine=partial(self._codec.is_answer_to, request),
            )
            result, head = await self._read_response(connection, plan, timer)
            result = dataclasses.replace(
                result, pace=timer.build_sample(request), load=timer.load
            )
            if head is not None and result.outcome is not Outcome.DECLINED:
                self._pool.keep(attempt.server, connection, head)
                connection = None
            return result
        finally:
            self._servers.note_ended(attempt.server, attempt.work)
            if connection is not None:
                connection.abort()

    async def _connect(self, attempt):
        kept = self._pool.take_idle(attempt.server)
        if kept is not None:
            return Ok(kept)
        return await self._pool.open(attempt.server, attempt.time_left)

    async def _read_response(self, connection, plan, timer):
        """Return the AttemptResult, and the head if the connection is intact."""
        attempt = plan.attempt
        found = await self._wait_for_head(connection, attempt, plan.timeouts)
        if found.is_error():
            return _build_failure(found.error), None
        raw, head = found.ok
        timer.record_head(self._clock())
        timer.load = head.load
        if attempt.work is not None:
            # The head comes with the first token: the prompt has been read.
            attempt.work.reading = 0.0
        self._servers.note_answer(attempt.server, head.load, self._clock())
        if head.kind is ResponseKind.UNSIGNED:
            return AttemptResult(Outcome.LOST, f"status {raw.status} unsigned"), None
        is_stream = plan.request.route.repeatability is Repeatability.STREAM
        if head.kind is ResponseKind.ANSWERED and head.is_success:
            if not plan.accepts_head(head):
                detail = f"confidence {head.confidence}"
                return AttemptResult(Outcome.DECLINED, detail), None
            if is_stream:
                result = await self._relay_stream(connection, plan, raw, head, timer)
                return result, raw if result.outcome is Outcome.DELIVERED else None
        body = await _wait_at_most(connection.read_body(), plan.timeouts.idle)
        if body.is_error():
            return _build_failure(body.error), None
        return _build_result(raw, head, body.ok), raw

    async def _wait_for_head(self, connection, attempt, timeouts):
        """Wait for the head as long as the server answers at all.

        A server with a long queue answers others meanwhile; one that is cut off
        answers nobody.
        """
        sent_at = self._clock()
        while True:
            wait_started_at = self._clock()
            left = timeouts.head - (wait_started_at - sent_at)
            limit = min(timeouts.unresponsive, left)
            result = await self._read_head(connection, limit)
            is_silent = result.is_error() and result.error is None
            if not is_silent or limit >= left:
                return result
            if not self._servers.is_heard(attempt.server, wait_started_at):
                return result

    async def _read_head(self, connection, seconds):
        """Return the head of this request's own answer."""
        async with _TimeLimit(seconds) as limit:
            result = await connection.read_head()
            if result.is_error():
                return result
            return Ok((result.ok, self._codec.judge_head(result.ok)))
        return Error(limit.cause)

    async def _relay_stream(self, connection, plan, raw, head, timer):
        """Pass a stream on event by event."""
        request, progress, timeouts = plan.request, plan.progress, plan.timeouts
        splitter = EventSplitter()
        wait = timeouts.idle if progress.head_sent else timeouts.head
        while True:
            result = await _wait_at_most(connection.read_chunk(), wait)
            if result.is_error():
                return _build_failure(result.error)
            if not result.ok:
                break
            events = splitter.feed(result.ok)
            if not events:
                continue
            wait = timeouts.idle
            self._servers.note_heard(plan.attempt.server, self._clock())
            data = _join_consecutive(events, progress)
            if data is None:
                return AttemptResult(Outcome.LOST, "events out of order")
            timer.count_events(len(events), self._clock())
            await self._forward_events(request, raw, head, data, progress)
        if splitter.has_partial:
            return AttemptResult(Outcome.LOST, "ended inside an event")
        if not progress.head_sent:
            await self._forward_events(request, raw, head, b"", progress)
        request.responder.finish()
        return AttemptResult(Outcome.DELIVERED, status=raw.status)

    async def _forward_events(self, request, raw, head, data, progress):
        if data:
            progress.record_events(self._clock())
        if not progress.head_sent:
            progress.head_sent = True
            request.responder.start(raw.status, raw.reason, head.headers, data)
            return
        await request.responder.write(data)


class _ResponseTimer:
    """Measures how fast one answer comes."""

    def __init__(self, sent_at):
        self.load = None
        self._sent_at = sent_at
        self._head_at = None
        self._first_event_at = None
        self._last_event_at = None
        self._events = 0

    def record_head(self, now):
        self._head_at = now

    def count_events(self, count, now):
        if self._first_event_at is None:
            self._first_event_at = now
        self._last_event_at = now
        self._events += count

    def build_sample(self, request):
        """Return the PaceSample, or None if no answer came."""
        if self._head_at is None:
            return None
        gap = 0.0
        if self._events > 1:
            gap = (self._last_event_at - self._first_event_at) / (self._events - 1)
        first = self._head_at - self._sent_at
        return PaceSample(first, gap, self._events, request.shape.prompt_tokens)


def _join_consecutive(events, progress):
    """Return the bytes of events that follow what the client has, or None."""
    parts = []
    for event in events:
        if not _follows(event, progress.last_event):
            return None
        if event.number is not None:
            progress.last_event = event.number
        parts.append(event.data)
    return b"".join(parts)


def _follows(event, last):
    """Return whether an event is the next one after event number `last`."""
    return event.number is None or last is None or event.number == last + 1


def _build_result(raw, head, body):
    if head.kind is ResponseKind.REJECTED:
        outcome = Outcome.MISDIRECTED if head.misdirected else Outcome.REJECTED
    elif head.kind is ResponseKind.FAILED:
        outcome = Outcome.FAILED
    else:
        outcome = Outcome.DELIVERED
    detail = f"status {raw.status}"
    return AttemptResult(outcome, detail, raw.status, raw.reason, head, body)


def _build_failure(cause):
    if cause is None:
        return AttemptResult(Outcome.SILENT, "no answer in time")
    return AttemptResult(Outcome.LOST, f"connection {cause.value}")


async def _wait_at_most(work, seconds):
    """Wait for `work`; the error is None if it takes too long."""
    async with _TimeLimit(seconds) as limit:
        return await work
    return Error(limit.cause)


class _TimeLimit:
    """A time limit whose expiry is a value."""

    cause = None

    def __init__(self, seconds):
        self._timeout = asyncio.timeout(max(0.0, seconds))

    async def __aenter__(self):
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, kind, error, trace):
        try:
            return await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            return True
