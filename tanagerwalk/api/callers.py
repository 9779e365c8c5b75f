"""Public API for callers: chat completions and calls to plain services."""

import asyncio
import math
import time
import uuid

import msgspec
from expression import Error
from sanic.exceptions import SanicException
from sanic.response import json as json_response
from sanic.response import raw

from ..decisions.submissions import correct_run_state
from ..filters.submission import describe_submission
from ..ids import RequestId
from ..memory import ANSWER_COPIES, RequestMemory, estimate_decoded_bytes
from ..messages import RequestContext, Sink
from ..outcomes import Interface, Refusal, RefusalReason, RunState
from .connections import RefusedError, make_memory_refusal
from .listener import Listener
from .payloads import read_body

REQUEST_ID_HEADER = "X-Request-Id"
SESSION_HEADER = "X-Session"
VERSION_HEADER = "X-Version"
IDEMPOTENCY_HEADER = "Idempotency-Key"
FIRST_SUBMISSION_HEADER = "X-First-Submission"
NEW_SESSION = "new"
OK_STATUS = 200
END_MARKER = "data: [DONE]\n\n"
STOPPING_RETRY_AFTER_S = 1.0


class StreamSink(Sink):
    """Streams an answer to the caller as server-sent events.

    The response is started by the first chunk, so that a refusal before that can still
    set the HTTP status.

    Parameters
    ----------
    request : sanic.Request
        HTTP request of the caller.
    context : RequestContext
        Context of the request in the filter chain.
    """

    def __init__(self, request, context):
        self._request = request
        self._context = context
        self.response = None

    async def write(self, text):
        """Send a piece of generated text."""
        await self.send({"delta": {"content": text}, "finish_reason": None})

    async def send(self, choice, usage=None):
        """Send a chat-completions chunk, starting the response if necessary."""
        if self.response is None:
            self.response = await self._request.respond(
                content_type="text/event-stream",
                headers=make_headers(self._context, self._context.version),
            )
        chunk = {
            "id": self._context.request_id,
            "object": "chat.completion.chunk",
            "model": self._context.version,
            "choices": [{"index": 0, **choice}],
        }
        if usage is not None:
            chunk["usage"] = usage
        await self.send_event(chunk)

    async def send_event(self, event):
        """Send one server-sent event.

        Raises
        ------
        ConnectionResetError
            If the caller has disconnected.
        """
        data = msgspec.json.encode(event).decode()
        try:
            await self.response.send(f"data: {data}\n\n")
        except SanicException as error:
            raise ConnectionResetError("the caller has disconnected") from error


class CallersApi:
    """Serves the public API.

    Parameters
    ----------
    handler : Handler
        Filter chain that handles the requests.
    is_ready : callable
        Returns whether the load balancer may send requests to this instance.
    metrics : Metrics
        Counters of refusals and disconnects.
    clock : callable
        Returns monotonic time in seconds.
    request_size : int
        Maximum size of a request body in bytes.
    bounds : ConnectionBounds
        Limits of the connections.
    durations : DurationEstimates
        What is known of the durations of requests.

    Attributes
    ----------
    draining : bool
        Whether a planned stop has begun.
    drain_deadline : float
        Monotonic time at which it cuts what runs.
    stopping : bool
        Whether no further request is accepted.
    """

    def __init__(
        self, handler, is_ready, metrics, clock, request_size, bounds, durations
    ):
        self._durations = durations
        self.drain_deadline = math.inf
        self._handler = handler
        self._is_ready = is_ready
        self._metrics = metrics
        self._clock = clock
        self.in_flight = 0
        self.draining = False
        self.stopping = False
        self._cuts = set()
        self.listener = Listener("callers", bounds)
        app = self.listener.app
        app.config.REQUEST_MAX_SIZE = request_size
        app.add_route(self._handle_chat, "/v1/chat/completions", methods=["POST"])
        app.add_route(
            self._handle_service_call, "/v1/classes/<name:str>", methods=["POST"]
        )
        app.exception(RefusedError)(self._handle_refused)
        app.add_route(self._handle_ready, "/health/ready", methods=["GET"])

    async def _handle_ready(self, request):
        ready = self._is_ready() and not self.draining
        return json_response({"ready": ready}, status=OK_STATUS if ready else 503)

    async def _handle_chat(self, request):
        return await self._serve(request, _read_request(request, Interface.CHAT))

    async def _handle_service_call(self, request, name):
        body = _read_request(request, Interface.SERVICE, name)
        return await self._serve(request, body, Interface.SERVICE)

    async def _handle_refused(self, request, error):
        del request
        return self._refuse(error.refusal)

    async def _serve(self, request, checked, interface=Interface.CHAT):
        if checked.is_error():
            return self._refuse(checked.error)
        context = self._make_context(request, checked.ok, interface)
        if self.draining:
            # Close the connection so that the next request goes to another instance.
            request.stream.keep_alive = False
        if self.stopping or self._outlasts_stop(context):
            submission = describe_submission(context)
            return self._refuse(correct_run_state(_make_stopping_refusal(), submission))
        context.memory = RequestMemory(request.stream.memory)
        sink = None
        if checked.ok.stream:
            sink = StreamSink(request, context)
            context.sink = sink
        self.in_flight += 1
        try:
            result = await self._run(context)
            if result.is_ok():
                request.stream.reserve(len(result.ok.content) * ANSWER_COPIES)
            if sink is not None:
                return await _finish_stream(sink, context, result)
            return _render_result(result, context, interface)
        except asyncio.CancelledError:
            self._metrics.hang_ups.inc()
            raise
        finally:
            context.memory.end()
            self.in_flight -= 1

    def _outlasts_stop(self, context):
        """Return whether a request is known to take longer than a planned stop."""
        if not self.draining:
            return False
        shortest = self._durations.find_shortest(context.class_name)
        return self._clock() + shortest > self.drain_deadline

    async def _run(self, context):
        """Run a request to its end, or until `cut_running` is called."""
        try:
            async with asyncio.timeout(None) as cut:
                self._cuts.add(cut)
                return await self._handler(context)
        except TimeoutError:
            if not cut.expired():
                raise
            refusal = _make_cut_refusal(context)
            self._metrics.refusals.labels(refusal.reason.value).inc()
            return Error(correct_run_state(refusal, describe_submission(context)))
        finally:
            self._cuts.discard(cut)

    def cut_running(self):
        """End the requests that run, each with a final answer."""
        now = asyncio.get_running_loop().time()
        for cut in self._cuts:
            cut.reschedule(now)

    def _refuse(self, refusal):
        """Refuse a request before the filter chain, and count it as the chain would."""
        self._metrics.refusals.labels(refusal.reason.value).inc()
        return _render_refusal(refusal, {})

    def _make_context(self, request, body, interface):
        session = request.headers.get(SESSION_HEADER, "")
        request_id = request.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        return RequestContext(
            request_id=RequestId(request_id),
            payload=body.payload,
            credential=request.token or "",
            class_name=body.class_name,
            interface=interface,
            idempotency_key=request.headers.get(IDEMPOTENCY_HEADER),
            first_submission=request.headers.get(FIRST_SUBMISSION_HEADER) == "true",
            session_token=session if session != NEW_SESSION else None,
            wants_session=session == NEW_SESSION,
            arrived=self._clock(),
        )


def _read_request(request, interface, class_name=""):
    """Return the checked body of a request, if there is memory to decode it."""
    body = request.body
    amount = estimate_decoded_bytes(body) - len(body)
    if not request.stream.try_reserve(max(0, amount)):
        return Error(make_memory_refusal(request.stream.memory, amount))
    # What is received is not needed any more once it is decoded.
    request.body = b""
    return read_body(body, interface, class_name)


def make_headers(context, version):
    """Return the headers common to all responses.

    Parameters
    ----------
    context : RequestContext
        Context of the request.
    version : VersionName or None
        Version that generates the answer.
    """
    headers = {REQUEST_ID_HEADER: context.request_id}
    if context.session is not None:
        headers[SESSION_HEADER] = context.session.token
    if version is not None:
        headers[VERSION_HEADER] = version
    return headers


def _render_result(result, context, interface):
    if result.is_error():
        return _render_refusal(result.error, make_headers(context, None))
    answer = result.ok
    headers = make_headers(context, answer.version)
    if interface is Interface.SERVICE or answer.status != OK_STATUS:
        return raw(answer.content, answer.status, headers, answer.content_type)
    return json_response(_make_completion(answer, context), headers=headers)


def _make_completion(answer, context):
    message = {"role": "assistant", "content": answer.content.decode()}
    return {
        "id": context.request_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": answer.version,
        "choices": [
            {"index": 0, "message": message, "finish_reason": answer.finish_reason}
        ],
        "usage": _make_usage(context),
    }


def _make_usage(context):
    usage = context.usage
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


async def _finish_stream(sink, context, result):
    if result.is_error():
        if sink.response is None:
            return _render_refusal(result.error, make_headers(context, None))
        await sink.send_event(_make_error_body(result.error))
        await sink.response.eof()
        return None
    answer = result.ok
    if answer.status != OK_STATUS:
        return _render_result(result, context, Interface.CHAT)
    finish = {"delta": {}, "finish_reason": answer.finish_reason}
    await sink.send(finish, _make_usage(context))
    await sink.response.send(END_MARKER)
    await sink.response.eof()
    return None


def _make_error_body(refusal):
    return {
        "error": {
            "type": "refused",
            "code": refusal.reason.value,
            "message": refusal.message,
            "run_state": refusal.run_state.value,
            "retry_after": refusal.retry_after,
        }
    }


def _render_refusal(refusal, headers):
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after)))
    return json_response(
        _make_error_body(refusal), status=refusal.http_status, headers=headers
    )


def _make_cut_refusal(context):
    """Return the refusal of a request that runs at the end of a planned stop."""
    # A claimed request goes on without its caller.
    is_claimable = context.idempotency_key is not None
    if not context.sent and context.grant is None and not is_claimable:
        return _make_stopping_refusal()
    return Refusal(
        RefusalReason.DEADLINE_EXCEEDED,
        "this instance stopped before the answer came; the request may have run",
        RunState.UNKNOWN,
    )


def _make_stopping_refusal():
    return Refusal(
        RefusalReason.STOPPING,
        "this instance is stopping",
        retry_after=STOPPING_RETRY_AFTER_S,
    )
