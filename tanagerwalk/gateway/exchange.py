"""Sends a request to one backend server and relays the response."""

import asyncio
import dataclasses
from functools import partial

import structlog
from expression import Error

from ..decisions.event_order import join_consecutive
from ..decisions.events import EventSplitter
from ..manifest import Repeatability
from .attempts import AttemptResult, Outcome, ResponseKind
from .connect_faults import ConnectFault, ReadFault
from .connections import ConnectionFailure
from .response_timer import ResponseTimer
from .stream_wait import StreamWait
from .time_limits import has_timed_out, wait_at_most

log = structlog.get_logger(__name__)

# How often to ask whether an attempt at a silent server goes on.
SILENCE_POLL_S = 0.25


class AttemptRunner:
    """Runs attempts over pooled connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    servers : ServerPool
        Receives the load and health observations on the servers.
    codec : PlatformCodec
        Encodes requests and classifies responses.
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
            The attempt, its timeouts and the progress of the stream.

        Returns
        -------
        AttemptResult
        """
        request, attempt = plan.request, plan.attempt
        # Counted before the first await, so that requests that arrive at the same
        # time choose different servers.
        self._servers.record_sent(attempt.server, attempt.work)
        connection = None
        started_at = self._clock()
        timer = ResponseTimer(started_at, request, plan.on_latency)
        try:
            if not attempt.was_rejected:
                connection = self._pool.acquire_idle(attempt.server, plan.allows_peer)
            kept = connection is not None
            if not kept:
                opened = await self._pool.open(
                    attempt.server, attempt.time_left, plan.allows_peer
                )
                if opened.is_error():
                    return _build_unsent(opened.error)
                connection = opened.ok
            via = connection.via
            if not plan.may_send(via):
                self._pool.put_back(attempt.server, connection)
                connection = None
                return AttemptResult(Outcome.WITHHELD, "may not be sent any more")
            sent = connection.send(
                self._codec.encode_attempt(request, attempt),
                request.raw.body,
                has_no_body=request.raw.method == b"HEAD",
                matches_request=partial(self._codec.is_response_to, request, kept),
                memory=request.raw.memory,
            )
            if sent.is_error():
                return AttemptResult(Outcome.CLOSED, "lost before it was used")
            plan.claim.record_sent()
            result, head = _build_replaced(), None
            async with plan.claim.guard():
                result, head = await self._read_response(connection, plan, timer)
            if result.outcome not in (Outcome.DELIVERED, Outcome.DECLINED):
                plan.claim.fail()
            has_waited = connection.has_waited
            if not has_waited:
                timer.report()
            result = dataclasses.replace(
                result,
                detail=_describe_loss(result, connection),
                latency_sample=None if has_waited else timer.build_sample(),
                load=timer.load,
                kept=kept,
                via=via,
                connected_at=connection.opened_at,
                written_for=timer.measure_writing(self._clock()),
            )
            if head is not None and result.outcome is not Outcome.DECLINED:
                self._pool.release(attempt.server, connection, head)
                connection = None
            return result
        except asyncio.CancelledError:
            if connection is not None and not plan.claim.is_lost:
                plan.on_abandoned()
            raise
        finally:
            seconds = self._clock() - started_at
            self._servers.record_ended(attempt.server, attempt.work, seconds)
            if connection is not None:
                connection.abort()

    async def _read_response(self, connection, plan, timer):
        """Return the AttemptResult, and the raw head if the connection is reusable."""
        attempt = plan.attempt
        head_result = await self._wait_for_head(connection, plan)
        head_result = await self._wait_for_memory(
            connection, plan, head_result, partial(self._read_head, connection)
        )
        if head_result.is_error():
            return _build_failure(head_result.error), None
        raw, head = head_result.ok
        # An error has no place in a stream that has begun.
        is_error = not head.is_success and plan.progress.head_sent
        if is_error or head.kind is not ResponseKind.ANSWERED:
            plan.claim.fail()
        timer.record_head(self._clock())
        timer.load = head.load
        if attempt.work is not None:
            # Engines send the head with the first token, after prompt processing.
            attempt.work.prefill = 0.0
        self._servers.record_answer(attempt.server, head.load, self._clock())
        self._record_notice(connection, attempt.server, head.notice)
        if head.kind is ResponseKind.UNTRUSTED:
            return AttemptResult(Outcome.LOST, f"status {raw.status} untrusted"), None
        is_stream = plan.request.route.repeatability is Repeatability.STREAM
        if head.kind is ResponseKind.ANSWERED and head.is_success:
            if not plan.progress.is_continued_by(raw):
                detail = f"status {raw.status} does not continue the stream"
                return AttemptResult(Outcome.LOST, detail), None
            if not await plan.claim.take():
                return _build_replaced(), None
            if not await plan.accepts_head(head):
                detail = f"confidence {head.confidence}"
                return AttemptResult(Outcome.DECLINED, detail), None
            if is_stream:
                result = await self._relay_stream(connection, plan, raw, head, timer)
                return result, raw if result.outcome is Outcome.DELIVERED else None
        body = await self._read_body(connection, plan)
        if body.is_error():
            return _build_failure(body.error), None
        result = _build_result(raw, head, body.ok, plan.progress)
        if result.outcome is Outcome.DELIVERED and not await plan.claim.take():
            return _build_replaced(), None
        return result, raw

    async def _read_body(self, connection, plan):
        time_left = plan.request.deadline - self._clock()
        seconds = plan.timeouts.idle
        result = await wait_at_most(connection.read_body(), seconds, time_left)
        while self._must_wait_on(result, connection, plan):
            time_left = plan.request.deadline - self._clock()
            seconds = min(SILENCE_POLL_S, time_left)
            result = await wait_at_most(connection.read_body(), seconds, time_left)
        return await self._wait_for_memory(
            connection, plan, result, connection.read_body
        )

    def _must_wait_on(self, result, connection, plan):
        """Return whether a wait has timed out, but the attempt goes on."""
        is_over = plan.request.deadline <= self._clock()
        if is_over or not has_timed_out(result):
            return False
        return plan.outlasts_silence(connection.via)

    async def _wait_for_memory(self, connection, plan, result, read):
        """Return `result`, or that of another `read` if it waited here and timed out.

        Time in which an answer waits for memory is not the server's: it may still come
        until the deadline of the request.
        """
        if not has_timed_out(result) or not connection.has_waited:
            return result
        time_left = plan.request.deadline - self._clock()
        result = await wait_at_most(read(), time_left, time_left)
        return Error(ReadFault.MEMORY_FULL) if has_timed_out(result) else result

    def _record_notice(self, connection, server, notice):
        """Take notice of what a server says; so must the instance that reaches it."""
        if self._servers.record_limit(server, notice.limit, self._clock()):
            log.info("server limit", server=server.id, requests_per_s=notice.limit)
        now = self._clock()
        if self._servers.record_brittleness(server, notice.bearable, now):
            log.info("server brittle", server=server.id, bearable_per_s=notice.bearable)
        if not notice.asks_for_rest:
            return
        connection.send_notice(notice)
        if notice.is_leaving:
            connection.retire()
        if self._servers.record_notice(server.id, notice, self._clock()):
            self._pool.close_idle_to(server)
            log.info("server leaving", server=server.id, told_by=None)
        if notice.hold > 0.0:
            log.info("server on hold", server=server.id, seconds=notice.hold)

    async def _wait_for_head(self, connection, plan):
        """Wait for the response head while the server may still send it.

        A server with a long queue responds to other requests in the meantime; an
        unreachable server responds to none, and one that responds to others without
        a queue has dropped this one. Even so the holder of the answer waits on, until
        another attempt replaces it.
        """
        server, timeouts = plan.attempt.server, plan.timeouts
        sent_at = silent_since = self._clock()
        is_overdue = False
        while True:
            now = self._clock()
            remaining = timeouts.head - (now - sent_at)
            slowdown = self._servers.find_reported_slowdown(server, now)
            limit = min(timeouts.unresponsive * max(1.0, slowdown), remaining)
            if is_overdue:
                limit = min(SILENCE_POLL_S, remaining)
            else:
                silent_since = now
            result = await wait_at_most(self._read_head(connection), limit, remaining)
            if not has_timed_out(result) or limit >= remaining:
                return result
            is_overdue = not self._servers.is_worth_waiting_for(
                server, silent_since, self._clock(), is_direct=connection.via is None
            )
            if is_overdue and not self._must_wait_on(result, connection, plan):
                return result

    async def _read_head(self, connection):
        """Return the raw and the classified head of the response to this request."""
        result = await connection.read_head()
        return result.map(lambda raw: (raw, self._codec.classify_head(raw)))

    async def _relay_stream(self, connection, plan, raw, head, timer):
        """Forward a stream to the client in whole events."""
        request, progress = plan.request, plan.progress
        splitter = EventSplitter()
        is_resumed = progress.head_sent
        resumed_after = progress.last_event
        wait = StreamWait(plan.timeouts, is_resumed, self._clock)
        while True:
            time_left = request.deadline - self._clock()
            result = await wait_at_most(
                connection.read_chunk(), wait.seconds, time_left
            )
            if wait.has_client and self._must_wait_on(result, connection, plan):
                wait.prolong(min(SILENCE_POLL_S, request.deadline - self._clock()))
                continue
            if result.is_error():
                is_held_up = result.error is not None and wait.is_held_up
                cause = ReadFault.CLIENT_SLOW if is_held_up else result.error
                return _build_failure(cause)
            if not result.ok:
                break
            events = splitter.feed(result.ok)
            if splitter.is_overlong:
                return AttemptResult(Outcome.LOST, "event too long")
            if not events:
                continue
            has_content = any(event.has_content for event in events)
            if plan.claim.is_lost or (has_content and not await plan.claim.take()):
                return _build_replaced()
            wait.begin_forwarding()
            self._servers.record_activity(plan.attempt.server, self._clock())
            joined = join_consecutive(events, progress.last_event, is_resumed)
            progress.record_joined(joined)
            if joined.data:
                timer.count_events(len(events), self._clock())
                await self._forward_events(request, raw, head, joined.data, progress)
            wait.end_forwarding(has_content)
            if not joined.is_whole:
                return AttemptResult(Outcome.LOST, "events out of order")
        if is_resumed and progress.last_event == resumed_after:
            # An empty rest does not prove that nothing is missing.
            return AttemptResult(Outcome.LOST, "no event of the rest")
        if splitter.has_partial:
            return AttemptResult(Outcome.LOST, "ended inside an event", broke_off=True)
        if not await plan.claim.take():
            return _build_replaced()
        if not progress.head_sent:
            await self._forward_events(request, raw, head, b"", progress)
        request.responder.finish_stream()
        return AttemptResult(Outcome.DELIVERED, status=raw.status)

    async def _forward_events(self, request, raw, head, data, progress):
        if data:
            progress.record_events(self._clock())
        if not progress.head_sent:
            progress.record_head(raw)
            request.responder.start_stream(raw.status, raw.reason, head.headers, data)
            return
        await request.responder.write(data)


def _describe_loss(result, connection):
    """Return the detail of a result, with the error that broke its connection."""
    if not result.broke_off or connection.loss is None:
        return result.detail
    return f"{result.detail}: {connection.loss}"


def _build_result(raw, head, body, progress):
    if head.kind is ResponseKind.REJECTED:
        outcome = Outcome.MISDIRECTED if head.misdirected else Outcome.REJECTED
    elif head.kind is ResponseKind.FAILED or progress.head_sent:
        # An error has no place in a stream that has begun, whatever its status.
        outcome = Outcome.FAILED
    else:
        outcome = Outcome.DELIVERED
    detail = f"status {raw.status}"
    return AttemptResult(outcome, detail, raw.status, raw.reason, head, body)


def _build_replaced():
    """Return the result of an attempt whose answer came too late, or not at all."""
    return AttemptResult(Outcome.SILENT, "replaced by another attempt")


def _build_unsent(error):
    if isinstance(error, ConnectFault):
        return AttemptResult(Outcome.NOT_SENT, error.value, fault=error)
    return AttemptResult(Outcome.NOT_SENT, error)


def _build_failure(cause):
    """Return the AttemptResult for a ConnectionFailure or a fault of this instance.

    None stands for a timeout.
    """
    if cause is ReadFault.CLIENT_SLOW:
        return AttemptResult(Outcome.LOST, "held up by the client", fault=cause)
    if isinstance(cause, ReadFault):
        return AttemptResult(Outcome.SILENT, "no memory in time", fault=cause)
    if cause is None:
        return AttemptResult(Outcome.SILENT, "no answer in time")
    broke_off = cause is ConnectionFailure.CLOSED
    return AttemptResult(Outcome.LOST, f"connection {cause.value}", broke_off=broke_off)
