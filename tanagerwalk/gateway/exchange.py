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
from .attempts import Attempt, AttemptEnd, AttemptHead, Outcome, Verdict
from .requests import GatewayRequest


@dataclass(slots=True)
class Progress:
    """What the client has of a stream.

    Parameters
    ----------
    last_event : int or None
        Number of the last whole event that it received.
    started : bool
        Whether it has received the head.
    first_at : float or None
        Monotonic time of its first event.
    gap : float
        Longest pause between two events, in seconds.
    """

    last_event: int | None = None
    started: bool = False
    first_at: float | None = None
    last_at: float = field(default=0.0)
    gap: float = 0.0

    def note(self, now):
        """Note that events were passed on."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.gap = max(self.gap, now - self.last_at)
        self.last_at = now


@dataclass(frozen=True, slots=True)
class Patience:
    """How long one attempt may be silent, in seconds.

    Parameters
    ----------
    first : float
        Until the head of the answer from a server that answers nobody.
    between : float
        Between two pieces of the body.
    most : float
        Until the head of the answer from a server that answers others.
    """

    first: float
    between: float
    most: float


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """One attempt, and what the request asks of it.

    Parameters
    ----------
    request : GatewayRequest
        The request.
    attempt : Attempt
        Where it goes.
    patience : Patience
        When to give it up.
    accepts : callable
        Takes an AttemptHead and returns whether that answer is good enough.
    progress : Progress
        What the client has received.
    """

    request: GatewayRequest
    attempt: Attempt
    patience: Patience
    accepts: Callable[[AttemptHead], bool]
    progress: Progress


class Exchange:
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
        AttemptEnd
        """
        request, attempt = plan.request, plan.attempt
        # Counted before the first wait, so that requests that come together spread.
        self._servers.note_sent(attempt.server, attempt.work)
        connection = None
        pace = _PaceMeter(self._clock())
        try:
            opened = await self._open(attempt)
            if opened.is_error():
                return AttemptEnd(Outcome.NOT_SENT, opened.error)
            connection = opened.ok
            connection.send(
                self._codec.encode_attempt(request, attempt),
                has_no_body=request.raw.method == b"HEAD",
                matches_request=partial(self._codec.is_answer_to, request),
            )
            end, head = await self._read(connection, plan, pace)
            end = dataclasses.replace(end, pace=pace.read(request), load=pace.load)
            if head is not None and end.outcome is not Outcome.DECLINED:
                self._pool.release(attempt.server, connection, head)
                connection = None
            return end
        finally:
            self._servers.note_ended(attempt.server, attempt.work)
            if connection is not None:
                connection.abort()

    async def _open(self, attempt):
        kept = self._pool.acquire_idle(attempt.server)
        if kept is not None:
            return Ok(kept)
        return await self._pool.open(attempt.server, attempt.left)

    async def _read(self, connection, plan, pace):
        """Return the AttemptEnd, and the head if the connection is intact."""
        attempt = plan.attempt
        found = await self._wait_for_head(connection, attempt, plan.patience)
        if found.is_error():
            return _end_lost(found.error), None
        raw, head = found.ok
        pace.note_head(self._clock())
        pace.load = head.load
        if attempt.work is not None:
            # The head comes with the first token: the prompt has been read.
            attempt.work.reading = 0.0
        self._servers.note_answer(attempt.server, head.load, self._clock())
        if head.verdict is Verdict.UNSIGNED:
            return AttemptEnd(Outcome.LOST, f"status {raw.status} unsigned"), None
        is_stream = plan.request.route.repeatability is Repeatability.STREAM
        if head.verdict is Verdict.ANSWERED and head.is_success:
            if not plan.accepts(head):
                detail = f"confidence {head.confidence}"
                return AttemptEnd(Outcome.DECLINED, detail), None
            if is_stream:
                end = await self._relay(connection, plan, raw, head, pace)
                return end, raw if end.outcome is Outcome.DELIVERED else None
        body = await _limit(connection.read_body(), plan.patience.between)
        if body.is_error():
            return _end_lost(body.error), None
        return _end_whole(raw, head, body.ok), raw

    async def _wait_for_head(self, connection, attempt, patience):
        """Wait for the head as long as the server answers at all.

        A server with a long queue answers others meanwhile; one that is cut off
        answers nobody.
        """
        sent_at = self._clock()
        while True:
            asked_at = self._clock()
            left = patience.most - (asked_at - sent_at)
            limit = min(patience.first, left)
            result = await self._read_head(connection, limit)
            is_silent = result.is_error() and result.error is None
            if not is_silent or limit >= left:
                return result
            if not self._servers.is_heard(attempt.server, asked_at):
                return result

    async def _read_head(self, connection, seconds):
        """Return the head of this request's own answer."""
        async with _Limit(seconds) as limit:
            result = await connection.read_head()
            if result.is_error():
                return result
            return Ok((result.ok, self._codec.judge_head(result.ok)))
        return Error(limit.cause)

    async def _relay(self, connection, plan, raw, head, pace):
        """Pass a stream on event by event."""
        request, progress, patience = plan.request, plan.progress, plan.patience
        splitter = EventSplitter()
        wait = patience.between if progress.started else patience.most
        while True:
            result = await _limit(connection.read_chunk(), wait)
            if result.is_error():
                return _end_lost(result.error)
            if not result.ok:
                break
            events = splitter.feed(result.ok)
            if not events:
                continue
            wait = patience.between
            self._servers.note_heard(plan.attempt.server, self._clock())
            whole = _take_next(events, progress)
            if whole is None:
                return AttemptEnd(Outcome.LOST, "events out of order")
            pace.note_events(len(events), self._clock())
            await self._pass_on(request, raw, head, whole, progress)
        if splitter.has_partial:
            return AttemptEnd(Outcome.LOST, "ended inside an event")
        if not progress.started:
            await self._pass_on(request, raw, head, b"", progress)
        request.responder.finish_stream()
        return AttemptEnd(Outcome.DELIVERED, status=raw.status)

    async def _pass_on(self, request, raw, head, data, progress):
        if data:
            progress.note(self._clock())
        if not progress.started:
            progress.started = True
            request.responder.start_stream(raw.status, raw.reason, head.headers, data)
            return
        await request.responder.write(data)


class _PaceMeter:
    """Measures how fast one answer comes."""

    def __init__(self, sent_at):
        self.load = None
        self._sent_at = sent_at
        self._head_at = None
        self._first_at = None
        self._last_at = None
        self._events = 0

    def note_head(self, now):
        self._head_at = now

    def note_events(self, count, now):
        if self._first_at is None:
            self._first_at = now
        self._last_at = now
        self._events += count

    def read(self, request):
        """Return the PaceSample, or None if no answer came."""
        if self._head_at is None:
            return None
        gap = 0.0
        if self._events > 1:
            gap = (self._last_at - self._first_at) / (self._events - 1)
        first = self._head_at - self._sent_at
        return PaceSample(first, gap, self._events, request.prompt_info.prompt_tokens)


def _take_next(events, progress):
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


def _end_whole(raw, head, body):
    if head.verdict is Verdict.REJECTED:
        outcome = Outcome.MISDIRECTED if head.misdirected else Outcome.REJECTED
    elif head.verdict is Verdict.FAILED:
        outcome = Outcome.FAILED
    else:
        outcome = Outcome.DELIVERED
    detail = f"status {raw.status}"
    return AttemptEnd(outcome, detail, raw.status, raw.reason, head, body)


def _end_lost(cause):
    if cause is None:
        return AttemptEnd(Outcome.SILENT, "no answer in time")
    return AttemptEnd(Outcome.LOST, f"connection {cause.value}")


async def _limit(work, seconds):
    """Wait for `work`; the error is None if it takes too long."""
    async with _Limit(seconds) as limit:
        return await work
    return Error(limit.cause)


class _Limit:
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
