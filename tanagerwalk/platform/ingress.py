"""Parses client requests and encodes refusals as HTTP responses."""

from expression import Error, Ok

from ..gateway.requests import GatewayRequest, PromptInfo
from ..number_ranges import NumberRange
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

MS_PER_S = 1000.0
# The largest that clients write in 64 bits, which some do for "no deadline".
MAX_DEADLINE_MS = 2.0**63
DEADLINE_RANGE = NumberRange("deadline of a client", "ms", 0.0, MAX_DEADLINE_MS)
# More than the memory of any engine holds.
MAX_TOKENS = 10_000_000
TOKEN_RANGE = NumberRange("token count of a client", "tokens", 0, MAX_TOKENS)
LENGTH_HINT_RANGE = NumberRange("length hint of a client", "tokens", 0, MAX_TOKENS)
MAX_EVENT = 10**15
EVENT_RANGE = NumberRange("last event of a client", "events", 0, MAX_EVENT)
DEFAULT_CLIENT_TIMEOUT_S = 30.0
HOST = b"host"
# A request that repeats one of these is invalid.
UNREPEATABLE_HEADERS = frozenset(
    {HOST, ATTEMPT_ID, DEADLINE_MS, API_KEY, MODEL, LAST_EVENT_ID}
)


def parse_request(raw):
    """Parse the headers of a client request.

    Host and attempt id are required. A number that is malformed or out of its range is
    treated as absent.

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
    timeout_ms = DEADLINE_RANGE.read(headers.get(DEADLINE_MS))
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
        last_event=EVENT_RANGE.read_count(headers.get(LAST_EVENT_ID)),
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

    Token counts are `prompt,max_output`; prefix parts are `id:tokens,...`. Counts that
    are malformed or out of range become 0, and such parts are skipped.
    """
    numbers = _split(headers.get(TOKEN_COUNT))[:2]
    counts = [TOKEN_RANGE.read_count(number) or 0 for number in numbers]
    prompt, output = (counts + [0, 0])[:2]
    parts = []
    for entry in _split(headers.get(PROMPT_PREFIX)):
        part, _, tokens = entry.strip().partition(b":")
        count = TOKEN_RANGE.read_count(tokens)
        if count is not None:
            parts.append((part.decode("latin-1"), count))
    hint = LENGTH_HINT_RANGE.read(headers.get(LENGTH_HINT))
    expected = None if hint is None else int(hint)
    return PromptInfo(prompt, output, tuple(parts), expected)


def _split(value):
    """Return the comma-separated fields of a header; none if it is absent."""
    return [] if value is None else value.split(b",")


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
