"""Servers that stop in the middle of an answer's head or body."""

import asyncio
import contextlib
import socket
import struct

import pytest
import uvloop

from tanagerwalk.clients.engines import ChatAttempt, EngineClient
from tanagerwalk.clients.http import build_session
from tanagerwalk.clients.services import ServiceAttempt, ServiceClient
from tanagerwalk.outcomes import RetryReason
from tanagerwalk.settings import parse_settings
from tanagerwalk.standins.addresses import find_address

RETRIES = parse_settings().ok.retries
LIMIT_S = 2.0
PAGES = {
    "/metrics": b"vllm:num_requests_running 0\nvllm:num_requests_waiting 0\n",
    "/v1/models": b'{"data":[{"id":"wren:1"},{"id":"heron:1"}]}',
}
CHAT = {"model": "label", "messages": [{"role": "user", "content": "deed"}]}
SERVICE_PAGES = {"/metrics": b"num_requests_running 0\n"}
CALLED_PLACES = ("in a name", "after the framing header", "in a body with a length")
RESET_LINGER = struct.pack("ii", 1, 0)
CHUNK = b'data: {"choices":[{"delta":{"content":"tern "},"finish_reason":"stop"}]}\n\n'
STREAM = CHUNK + b"data: [DONE]\n\n"
BODY = b'{"slot": "nine", "held": true}'
STATUS = b"HTTP/1.1 200 OK\r\n"
TYPE = b"Content-Type: application/json\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def frame(body):
    return b"Content-Length: %d\r\n" % len(body)


def encode_chunks(body, end=b"0\r\n\r\n"):
    middle = len(body) // 2
    parts = (body[:middle], body[middle:])
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + end


def build_stops(body):
    """Return what was sent of the answer for each place at which a server stops."""
    head = STATUS + TYPE + frame(body) + b"\r\n"
    chunked = STATUS + TYPE + b"Transfer-Encoding: chunked\r\n\r\n"
    stops = {
        "nothing": b"",
        "status line, version": b"HTTP/1",
        "status line, code": b"HTTP/1.1 20",
        "status line, reason": b"HTTP/1.1 200 O",
        "status line, CR": b"HTTP/1.1 200 OK\r",
        "after the status line": STATUS,
        "in a name": STATUS + b"Content-Ty",
        "after a name": STATUS + b"Content-Type:",
        "in a value": STATUS + b"Content-Type: appli",
        "before the framing header": STATUS + TYPE,
        "in the framing header's name": STATUS + TYPE + b"Content-Len",
        "in the framing header's value": STATUS + TYPE + b"Content-Length: 1",
        "after the framing header": STATUS + TYPE + frame(body),
        "after the framing header, no body": STATUS + b"Content-Length: 0\r\n",
        "in the empty line": STATUS + TYPE + frame(body) + b"\r",
        "in an encoding's name": STATUS + TYPE + b"Transfer-Encoding: chu",
        "after the encoding": STATUS + TYPE + b"Transfer-Encoding: chunked\r\n",
        "before a body with a length": head,
        "in a body with a length": head + body[:-1],
        "before the chunks": chunked,
        "in a chunk's size": chunked + b"1",
        "in a chunk": chunked + encode_chunks(body)[:9],
        "after a chunk": chunked + encode_chunks(body[: len(body) // 2], b""),
        "before the last chunk": chunked + encode_chunks(body, b""),
        "in the last chunk's end": chunked + encode_chunks(body, b"0\r\n"),
    }
    stops |= {
        f"{place}, after an interim answer": INTERIM + sent
        for place, sent in stops.items()
    }
    return stops


@contextlib.asynccontextmanager
async def serve_bytes(sent, is_reset, pages=None):
    """Run a server that answers a POST by these bytes, then closes or resets.

    `pages` has the answer to a GET by its path.
    """
    handlers = set()

    async def handle(reader, writer):
        task = asyncio.current_task()
        handlers.add(task)
        task.add_done_callback(handlers.discard)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # A probe that only connects.
            writer.close()
            return
        method, path, _ = head.split(b" ", 2)
        if method == b"GET":
            page = pages[path.decode()]
            writer.write(STATUS + frame(page) + b"Connection: close\r\n\r\n" + page)
        else:
            await reader.read(65536)
            writer.write(sent)
        await writer.drain()
        await asyncio.sleep(0.01)
        if is_reset and method == b"POST":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    server = await asyncio.start_server(handle, find_address(), 0)
    try:
        yield f"{find_address()}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        await asyncio.gather(*handlers, return_exceptions=True)
        await asyncio.sleep(0.02)


async def ask(kind, address):
    """Ask a server by the client of its kind, and return the result."""
    pooled, unpooled = build_session(), build_session(keep_connections=False)
    try:
        if kind == "chat":
            attempt = ChatAttempt("a", address, "v:1", {"messages": []})
            return await EngineClient(pooled, RETRIES).complete(
                attempt, LIMIT_S, ignore_text
            )
        client = ServiceClient(pooled, unpooled, RETRIES)
        call = ServiceAttempt("a", address, "desk", {}, kind == "idempotent")
        return await client.call(call, LIMIT_S)
    finally:
        await pooled.close()
        await unpooled.close()


async def ignore_text(text):
    del text


async def list_completed(kind, body, is_reset):
    """Return the places after which a stopped answer counted as complete."""

    async def check(place, sent):
        async with serve_bytes(sent, is_reset) as address:
            result = await ask(kind, address)
        return f"{place}: {result.ok}" if result.is_ok() else None

    checks = [check(*stop) for stop in build_stops(body).items()]
    return [found for found in await asyncio.gather(*checks) if found]


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("kind", ["chat", "idempotent", "not idempotent"])
def test_stopped_answer_is_never_complete(kind, is_reset, new_loop):
    """Guards against a complete 2xx for an answer whose server stopped within it."""
    body = CHUNK if kind == "chat" else BODY
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(list_completed(kind, body, is_reset)) == []


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("kind", ["chat", "idempotent", "not idempotent"])
def test_reset_ends_no_body_without_framing(kind, new_loop):
    """Guards against a reset that counts as the end of a body without framing."""
    body = CHUNK if kind == "chat" else BODY

    async def run():
        sent = STATUS + TYPE + b"\r\n" + body[:-5]
        async with serve_bytes(sent, is_reset=True) as address:
            return await ask(kind, address)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        result = runner.run(run())
    assert result.is_error()
    assert result.error.sent
    assert result.error.reason is not RetryReason.CONNECT_FAILED


@pytest.mark.parametrize("kind", ["chat", "idempotent"])
async def test_whole_answer_is_complete(kind):
    """Guards against a table of stops that no answer could pass."""
    body = STREAM if kind == "chat" else BODY
    sent = STATUS + TYPE + frame(body) + b"\r\n" + body
    async with serve_bytes(sent, is_reset=False) as address:
        result = await ask(kind, address)
    assert result.ok.status == 200


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("place", CALLED_PLACES)
async def test_no_caller_gets_stopped_answer_as_complete(world, place, is_reset):
    """Guards against a complete 2xx to a caller whose server stopped in its answer."""
    async with (
        serve_bytes(build_stops(CHUNK)[place], is_reset, PAGES) as engine,
        serve_bytes(build_stops(BODY)[place], is_reset, SERVICE_PAGES) as service,
    ):
        world.register_server(engine, "engine-1", role="engine")
        world.register_server(service, "booking-1", role="service", service="booking")
        await world.apply()
        instance = await world.add_instance("entry-1")
        servers = instance.table.servers
        await world.wait_until(
            lambda: (
                len(servers) == 2
                and all(server.load_reported_at > 0 for server in servers.values())
                and instance.is_ready()
                and instance.rollout_tracker.list_states()
            )
        )
        key = {"Idempotency-Key": "k"}
        chat, stream, *calls = await asyncio.gather(
            world.chat(instance, "label", "deed"),
            world.post(instance, "/v1/chat/completions", {**CHAT, "stream": True}),
            world.call(instance, "status", {}, **key),
            world.call(instance, "booking", {}, **key),
        )
        assert chat[0] >= 500
        assert stream[0] >= 500 or b"[DONE]" not in stream[1]
        assert all(status >= 500 for status, _, _ in calls)
