"""Encodes attempts as HTTP requests to backend servers and classifies responses."""

from ..decisions.server_notices import ServerNotice, find_hold
from ..decisions.server_statements import BRITTLENESS_RANGE, LIMIT_RANGE
from ..gateway.attempts import ClassifiedHead, ResponseKind
from ..number_ranges import NumberRange
from .load_headers import parse_load
from .names import (
    ACCOUNT,
    ATTEMPT_ID,
    CONFIDENCE,
    DEADLINE_MS,
    ENGINE_LOAD,
    EXPECTED_SERVER,
    LAST_EVENT_ID,
    MODEL,
    NOT_RUN,
    PRIORITY,
    RESERVED_HEADERS,
    RETRY_AFTER,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SIGNATURE,
)

MS_PER_S = 1000.0
# A year; a server that names more doesn't mean it.
MAX_RETRY_AFTER_S = 365 * 86_400.0
RETRY_AFTER_RANGE = NumberRange("Retry-After of a server", "s", 0.0, MAX_RETRY_AFTER_S)
CONFIDENCE_RANGE = NumberRange("confidence of a server", "%", 0, 100)
# Not forwarded in either direction.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
UNAVAILABLE_STATUS = 503
LEAVING = b"1"
# Another server now listens at the address.
MISDIRECTED_STATUS = 421
# To clients these promise that the request has not run; only a mark proves it.
PROMISE_STATUSES = frozenset({408, 429, UNAVAILABLE_STATUS})
MIN_SERVER_ERROR_STATUS = 500
SUCCESS_STATUSES = range(200, 300)


def encode_attempt(request, attempt):
    """Encode the head of an attempt's HTTP request; the body is the client's.

    Reserved and hop-by-hop headers of the client are dropped; the gateway sets its
    own account, priority, deadline and expected server.

    Parameters
    ----------
    request : GatewayRequest
        The request of the client.
    attempt : Attempt
        Backend server, remaining time and the headers to override.

    Returns
    -------
    bytes
    """
    dropped = RESERVED_HEADERS | HOP_BY_HOP_HEADERS | _list_connection_headers(request)
    model = attempt.model
    last_event = attempt.last_event
    lines = [b"%s %s HTTP/1.1" % (request.raw.method, request.raw.target)]
    for name, value in request.raw.headers:
        key = name.lower()
        if key in dropped or (key == MODEL and model is not None):
            continue
        if key == LAST_EVENT_ID and last_event is not None:
            continue
        lines.append(b"%s: %s" % (name, value))
    if model is not None:
        lines.append(b"%s: %s" % (MODEL, model.encode()))
    if last_event is not None:
        lines.append(b"%s: %d" % (LAST_EVENT_ID, last_event))
    if request.account is not None:
        lines.append(b"%s: %s" % (ACCOUNT, request.account.encode()))
    if attempt.priority is not None:
        lines.append(b"%s: %d" % (PRIORITY, attempt.priority))
    lines.append(b"%s: %d" % (DEADLINE_MS, max(1, int(attempt.time_left * MS_PER_S))))
    lines.append(b"%s: %s" % (EXPECTED_SERVER, attempt.server.id.encode()))
    if request.raw.body or request.raw.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(request.raw.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _list_connection_headers(request):
    """Return the header names listed in the Connection header of a request."""
    named = set()
    for name, value in request.raw.headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named - {b""}


def is_response_to(request, is_kept, head):
    """Return whether a response belongs to a request.

    A response with another attempt id does not. One without an attempt id does only on
    a new connection: on a kept one it may be to an earlier request, of which a faulty
    server writes the answer once more.

    Parameters
    ----------
    request : GatewayRequest
        The request that was sent.
    is_kept : bool
        Whether the connection had carried another request before.
    head : ResponseHead
        Status and headers of the response.
    """
    echoed_ids = {value for name, value in head.headers if name == ATTEMPT_ID}
    if not echoed_ids:
        return not is_kept
    return echoed_ids == {request.id}


def classify_head(head):
    """Classify a backend server's response by its status and headers.

    A not-executed header or status 421 takes precedence over the rest of the head,
    except for a success status, which contradicts it. Without either, a status that
    promises clients that their request has not run is not passed on. Any other status
    below 500 counts only with an echoed attempt id and a signature: a server signs its
    answers, and another system may listen at the address.

    Parameters
    ----------
    head : ResponseHead
        Status and headers of the response.

    Returns
    -------
    ClassifiedHead
    """
    echoed_id = head.get_header(ATTEMPT_ID)
    is_marked = head.get_header(NOT_RUN) is not None
    not_run = is_marked or head.status == MISDIRECTED_STATUS
    is_signed = head.get_header(SIGNATURE) is not None
    is_success = head.status in SUCCESS_STATUSES
    if not_run and not is_success:
        kind = ResponseKind.REJECTED
    elif head.status in PROMISE_STATUSES:
        kind = ResponseKind.UNTRUSTED
    elif head.status >= MIN_SERVER_ERROR_STATUS:
        kind = ResponseKind.FAILED
    elif echoed_id is None or not is_signed or is_marked:
        kind = ResponseKind.UNTRUSTED
    else:
        kind = ResponseKind.ANSWERED
    return ClassifiedHead(
        kind=kind,
        is_success=is_success,
        misdirected=head.status == MISDIRECTED_STATUS,
        confidence=CONFIDENCE_RANGE.read_count(head.get_header(CONFIDENCE)),
        load=parse_load(head.get_header(ENGINE_LOAD)),
        headers=_list_end_to_end_headers(head),
        notice=_parse_notice(head),
    )


def _parse_notice(head):
    """Parse what the server says about itself, in whatever answer."""
    is_leaving = (head.get_header(SERVER_LEAVING) or b"").strip() == LEAVING
    hold = 0.0
    if head.status == UNAVAILABLE_STATUS:
        hold = find_hold(RETRY_AFTER_RANGE.read(head.get_header(RETRY_AFTER)))
    return ServerNotice(
        is_leaving,
        hold,
        LIMIT_RANGE.read(head.get_header(SERVER_LIMIT)),
        BRITTLENESS_RANGE.read(head.get_header(SERVER_BRITTLE)),
    )


def _list_end_to_end_headers(head):
    """Return the headers of a response that are forwarded to the client."""
    named = {
        part.strip().lower()
        for part in (head.get_header(b"connection") or b"").split(b",")
    }
    return [
        (n, v)
        for n, v in head.headers
        if n not in HOP_BY_HOP_HEADERS and n not in named
    ]
