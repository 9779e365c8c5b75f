"""Handles the requests of clients from their parsing to their refusal."""

import asyncio

import structlog
from expression import Error

from ..outcomes import Refusal, RefusalReason, RunState
from .cancellations import is_task_cancelled

log = structlog.get_logger(__name__)

# Cap for logs and metrics; the age is infinite until the first confirmation.
MAX_REPORTED_AGE_S = 1e6
STOPPING_REFUSAL = Refusal(
    RefusalReason.STOPPING, "this instance is stopping", retry_after=0.05
)

DEFECT_REFUSAL = Refusal(
    RefusalReason.INTERNAL_ERROR, "the request failed by a defect", RunState.UNKNOWN
)

UNPARSED_REFUSAL = Refusal(
    RefusalReason.INTERNAL_ERROR, "not run: the request was not read, by a defect"
)
# Of a refusal that can't be encoded.
PLAIN_STATUS = {RunState.NOT_RUN: 503, RunState.UNKNOWN: 502, RunState.RAN: 502}


class RequestHandler:
    """Parses requests, runs the filter chain and sends refusals.

    Parameters
    ----------
    chain : callable
        Coroutine function that takes a GatewayRequest and returns a Result of None, or
        of Refusal.
    codec : PlatformCodec
        Decodes requests and encodes refusals.
    freshness : Freshness
        Age of the manifest, for the log.
    metrics : GatewayMetrics
        Counts the refusals.

    Attributes
    ----------
    is_stopping : bool
        Whether every request is refused because the instance stops.
    """

    def __init__(self, chain, codec, freshness, metrics):
        self._chain = chain
        self._codec = codec
        self._freshness = freshness
        self._metrics = metrics
        self.is_stopping = False

    async def handle(self, raw, responder):
        """Answer one request.

        Parameters
        ----------
        raw : RawRequest
            Request as received from the client.
        responder : Responder
            Writes the response.
        """
        if self.is_stopping:
            self.refuse(responder, STOPPING_REFUSAL)
            return
        parsed = self._parse(raw)
        if parsed.is_error():
            self.refuse(responder, parsed.error)
            return
        request = parsed.ok
        request.responder = responder
        responder.request_id = request.id
        responder.client_waits_until = raw.received_at + request.client_timeout
        result = await self._run_chain(request)
        if result.is_error() and not responder.started:
            self.refuse(responder, result.error)
            self._log_refusal(request, result.error)

    def _parse(self, raw):
        """Return the Result of the parser; a defect costs one request its answer."""
        try:
            return self._codec.parse_request(raw)
        except Exception:
            log.exception("request not parsed")
            return Error(UNPARSED_REFUSAL)

    async def _run_chain(self, request):
        """Return the Result of the chain; a defect costs one request its answer.

        So does a cancelled step, unless the client has left.
        """
        try:
            return await self._chain(request)
        except asyncio.CancelledError:
            if is_task_cancelled():
                raise
            log.exception("request cancelled", id=request.id.decode("latin-1"))
        except Exception:
            log.exception("request failed", id=request.id.decode("latin-1"))
        return Error(DEFECT_REFUSAL)

    def refuse(self, responder, refusal):
        """Count and send a refusal, without headers or a body if that fails.

        Parameters
        ----------
        responder : Responder
            Writes the response.
        refusal : Refusal
            The refusal.
        """
        self._metrics.refusals.labels(refusal.reason.value).inc()
        try:
            self._codec.refuse(responder, refusal)
        except Exception:
            log.exception("refusal not encoded", reason=refusal.reason.value)
            if not responder.started:
                responder.send(PLAIN_STATUS[refusal.run_state], b"", [], b"")

    def _log_refusal(self, request, refusal):
        log.info(
            "refused",
            id=request.id.decode("latin-1"),
            reason=refusal.reason.value,
            message=refusal.message,
            retry_after=refusal.retry_after,
            manifest_age=round(min(self._freshness.age, MAX_REPORTED_AGE_S), 2),
        )
