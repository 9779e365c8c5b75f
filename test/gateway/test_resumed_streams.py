"""Streams that break off, and what the next server answers to their rest."""

import asyncio
import secrets

import pytest

from tanagerwalk.standins.backend import EVENT_COUNT
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

IDS = "X-Tanagerwalk-Attempt-Id: @id\r\nX-Tanagerwalk-Response-Seal: s.@id\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
NOT_EXECUTED = "X-Tanagerwalk-Not-Executed: 1\r\n"
ERROR_TEXT = "no such\n\nstream\n\n"
ERROR_STATUSES = [
    *(300, 301, 302, 303, 307, 308, 304),
    *(400, 401, 403, 404, 405, 406, 408, 409, 410, 412, 413, 415, 416, 418, 422),
    *(429, 431, 451, 499, 500, 501, 502, 503, 504, 507, 520, 599, 600, 999),
]
OTHER_SUCCESSES = [201, 202, 203, 204, 205, 206, 207, 226, 299]
MAX_ANSWER_S = 0.5
PREFIX = "id: %d\r\ndata: x\r\n\r\n"


def build_answer(status, body="", headers="", framing="length"):
    """Return an answer with one of the ways in which a body may be delimited."""
    head = f"HTTP/1.1 {status} Status\r\n{IDS}{headers}"
    if framing == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
    if framing == "chunked":
        chunk = f"{len(body):x}\r\n{body}\r\n" if body else ""
        return f"{head}{CHUNKED}\r\n{chunk}0\r\n\r\n".encode()
    return f"{head}connection: close\r\n\r\n{body}".encode()


ANSWERS = {}
for framing in ("length", "chunked", "close"):
    for status in ERROR_STATUSES:
        name = f"{status} by {framing}"
        ANSWERS[name] = build_answer(status, ERROR_TEXT, "", framing)
    for status in OTHER_SUCCESSES:
        ANSWERS[f"{status} by {framing}"] = build_answer(status, "", EVENTS, framing)
    ANSWERS[f"text by {framing}"] = build_answer(
        200, ERROR_TEXT, "Content-Type: text/plain\r\n", framing
    )
    ANSWERS[f"untyped by {framing}"] = build_answer(200, ERROR_TEXT, "", framing)
    ANSWERS[f"unnumbered by {framing}"] = build_answer(
        200, "data: error\n\n", EVENTS, framing
    )
    ANSWERS[f"error event by {framing}"] = build_answer(
        200, "event: error\ndata: x\n\n", EVENTS, framing
    )
    ANSWERS[f"json by {framing}"] = build_answer(
        200, '{"error": 1}\n\n', "Content-Type: application/json\r\n", framing
    )
    ANSWERS[f"empty text by {framing}"] = build_answer(
        200, "", "Content-Type: text/plain\r\n", framing
    )
    ANSWERS[f"comments by {framing}"] = build_answer(
        200, ": nothing\n\n" * 3, EVENTS, framing
    )
    ANSWERS[f"nothing by {framing}"] = build_answer(200, "", EVENTS, framing)
    ANSWERS[f"from the start by {framing}"] = build_answer(
        200, "id: 1\ndata: x\n\n", EVENTS, framing
    )
    ANSWERS[f"gap by {framing}"] = build_answer(
        200, "id: 3\ndata: x\n\nid: 5\ndata: x\n\n", EVENTS, framing
    )
    ANSWERS[f"huge number by {framing}"] = build_answer(
        200, "id: " + "9" * 5000 + "\ndata: x\n\n", EVENTS, framing
    )
    ANSWERS[f"full by {framing}"] = build_answer(503, "", NOT_EXECUTED, framing)
    ANSWERS[f"unsigned by {framing}"] = build_answer(
        200, PREFIX % 3, EVENTS, framing
    ).replace(b"Response-Seal", b"Other")
# Last, as a server that answers it is not used again.
ANSWERS["421"] = build_answer(421, ERROR_TEXT)


async def read_all(reader):
    """Return the bytes of a response up to its last chunk or the connection's end."""
    data = b""
    try:
        async with asyncio.timeout(MAX_ANSWER_S):
            while not data.endswith(b"\r\n0\r\n\r\n"):
                part = await reader.read(65536)
                if not part:
                    break
                data += part
    except (ConnectionError, TimeoutError):
        pass
    return data


def parse_chunks(data):
    """Return the body of a chunked response, and whether it is complete.

    Fails if it holds anything but chunks.
    """
    _, _, rest = data.partition(b"\r\n\r\n")
    body = b""
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        size = int(line, 16)
        if size == 0:
            assert rest == b"\r\n"
            return body, True
        assert rest[size : size + 2] in (b"\r\n", b"")
        body += rest[:size]
        rest = rest[size + 2 :]
    return body, False


async def stream_from(cluster, answer, first_fault, then="raw"):
    """Send a stream, whose parts are answered with a fault and with fixed bytes."""
    first, second = cluster.servers.values()
    for server, other in ((first, second), (second, first)):
        server.requests.clear()
        server.behaviour = Behaviour("raw", raw=answer)
        other.behaviour = Behaviour("raw", raw=answer)
    # Whichever server gets the request first breaks it off.
    faults = iter([first_fault])
    for server in (first, second):
        server.take_fault = lambda: next(faults, then)
    reader, writer = await cluster.connect()
    # Parts of their own keep one broken stream from speaking against the next.
    part = secrets.token_hex(4)
    writer.write(cluster.encode_plan(X_Tanagerwalk_Prompt_Prefix=f"{part}:99,b:9"))
    data = await read_all(reader)
    writer.transport.abort()
    return data


# Guards against an error of the next server, or its head, in the middle of a stream,
# and against a stream that ends as if it were complete.
@pytest.mark.parametrize("first_fault", ["cut", "torn"])
async def test_rest_of_a_stream_is_its_events_or_nothing(first_fault):
    wrong = {}
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=2, desks=0)
        for name, answer in ANSWERS.items():
            for server in cluster.servers.values():
                cluster.instances[0].servers.end_pause(
                    cluster.instances[0].servers.find(server.id).server
                )
            data = await stream_from(cluster, answer, first_fault)
            fault = find_fault(data)
            if fault:
                wrong[name] = fault
    assert wrong == {}


def find_fault(data):
    """Return what is wrong with a stream that a client received, or None."""
    if not data.startswith(b"HTTP/1.1 200 "):
        return data[:80]
    try:
        body, is_complete = parse_chunks(data)
    except (AssertionError, ValueError):
        return b"no chunks: " + data[-200:]
    events = [event for event in body.replace(b"\r\n", b"\n").split(b"\n\n") if event]
    numbers = [event.partition(b"\n")[0] for event in events]
    if numbers != [b"id: %d" % n for n in range(1, len(events) + 1)]:
        return b"not the stream's events: " + body[-200:]
    if is_complete and len(events) != EVENT_COUNT:
        return b"complete after %d events" % len(events)
    return None


# Guards against events that count as delivered although they were dropped with a later
# one of the same read, so that the next server went on behind them.
async def test_events_before_a_gap_are_delivered_once():
    gap = build_answer(
        200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 4\ndata: d\n\n", EVENTS
    )
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=2, desks=0)
        data = await stream_from(cluster, gap, "raw", then="")
    assert find_fault(data) is None
    assert parse_chunks(data)[1]


# Guards against a stream without numbers that begins anew within itself.
async def test_unnumbered_stream_is_broken_off():
    head = build_answer(200, "", EVENTS, "close")
    events = head + b"data: a\n\ndata: b\n\ndata: c"
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=2, desks=0)
        data = await stream_from(cluster, events, "raw", then="raw")
    body, is_complete = parse_chunks(data)
    assert body == b"data: a\n\ndata: b\n\n"
    assert not is_complete


# Guards against a whole rest that is refused for how its type is written.
async def test_type_with_a_parameter_continues_the_stream():
    rest = "".join(PREFIX % number for number in range(3, EVENT_COUNT + 1))
    typed = "Content-Type: Text/Event-Stream; charset=utf-8\r\n"
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=2, desks=0)
        data = await stream_from(cluster, build_answer(200, rest, typed), "cut")
    assert find_fault(data) is None
    assert parse_chunks(data)[1]
