"""Parses client requests and encodes refusals as HTTP responses."""

from expression import Error, Ok

from ..gateway.requests import GatewayRequest, PromptInfo
from ..outcomes import Refusal, RefusalReason, RunState
from .names import (
    ANY_MODEL,
    API_KEY,
    ATTEMPT_ID,
    DEADLINE_MS,
    LAST_EVENT_ID,
    LENGTH_HINT,
    MODEL,
    NOT_RUN_STATUS,
    PROMPT_PREFIX,
    SESSION,
    STATUS_BY_REASON,
    TIMEOUT_STATUS,
    TOKEN_COUNT,
    UNKNOWN_RUN_STATUS,
)
from .numbers import parse_count, parse_number

MS_PER_S = 1000.0
DEFAULT_CLIENT_TIMEOUT_S = 30.0
HOST = b"host"
# A request that repeats one of these is invalid.
UNREPEATABLE_HEADERS = frozenset(
    {HOST, ATTEMPT_ID, DEADLINE_MS, API_KEY, MODEL, LAST_EVENT_ID}
)


def parse_request(raw):
    """Parse the headers of a client request.

    Host and attempt id are required. A malformed number is treated as absent.

    Parameters
    ----------
    raw : RawRequest
        The request as received.

    Returns
    -------
    Result of GatewayRequest, or of Refusal
    """
    headers = {}
    for name, value in raw.headers:
        key = name.lower()
        if key in headers and key in UNREPEATABLE_HEADERS:
            return _reject(f"header {key.decode()} is repeated")
        headers[key] = value
    if HOST not in headers:
        return _reject("header host is missing")
    if not headers.get(ATTEMPT_ID):
        return _reject(f"header {ATTEMPT_ID.decode()} is missing")
    timeout_ms = parse_number(headers.get(DEADLINE_MS))
    last_event = parse_number(headers.get(LAST_EVENT_ID))
    key = headers.get(API_KEY)
    request = GatewayRequest(
        raw=raw,
        id=headers[ATTEMPT_ID],
        host=_strip_port(headers[HOST].decode("latin-1")).lower(),
        path=raw.target.partition(b"?")[0].decode("latin-1"),
        key=None if key is None else key.decode("latin-1"),
        client_timeout=DEFAULT_CLIENT_TIMEOUT_S
        if timeout_ms is None
        else timeout_ms / MS_PER_S,
        any_model=headers.get(MODEL) == ANY_MODEL.encode(),
        last_event=None if last_event is None else int(last_event),
        prompt_info=_parse_prompt_info(headers),
        session=headers.get(SESSION),
    )
    return Ok(request)


def _reject(message):
    return Error(Refusal(RefusalReason.INVALID_REQUEST, message))


def _strip_port(host):
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _parse_prompt_info(headers):
    """Parse the headers that describe the prompt.

    Token counts are `prompt,max_output`; prefix parts are `id:tokens,...`. Malformed
    counts become 0 and malformed parts are skipped.
    """
    numbers = headers.get(TOKEN_COUNT, b"").split(b",")
    counts = [parse_count(number) or 0 for number in numbers]
    parts = []
    for entry in headers.get(PROMPT_PREFIX, b"").split(b","):
        part, _, tokens = entry.strip().partition(b":")
        count = parse_count(tokens)
        if count is not None:
            parts.append((part.decode("latin-1"), count))
    output = counts[1] if len(counts) > 1 else 0
    hint = parse_number(headers.get(LENGTH_HINT))
    expected = None if hint is None else int(hint)
    return PromptInfo(counts[0], output, tuple(parts), expected)


def refuse(responder, refusal):
    """Send a refusal to the client.

    After status 400, 408, 413 or 431 the connection is closed.

    Parameters
    ----------
    responder : Responder
        Writes the response.
    refusal : Refusal
        The reason, the message and, if known, the time to retry after.
    """
    headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if refusal.retry_after is not None:
        headers.append((b"Retry-After", b"%.3f" % refusal.retry_after))
    status = get_refusal_status(refusal)
    if status in (400, 408, 413, 431):
        responder.keep_alive = False
    responder.send(status, b"", headers, refusal.message.encode() + b"\n")


def get_refusal_status(refusal):
    """Return the HTTP status code of a refusal.

    A request that may have run gets 504 if its deadline passed, else 502; no other
    status may be used, since the others promise that it did not run.

    Parameters
    ----------
    refusal : Refusal
        The refusal.
    """
    if refusal.run_state is RunState.NOT_RUN:
        return STATUS_BY_REASON.get(refusal.reason, NOT_RUN_STATUS)
    if refusal.reason is RefusalReason.DEADLINE_EXCEEDED:
        return TIMEOUT_STATUS
    return UNKNOWN_RUN_STATUS
