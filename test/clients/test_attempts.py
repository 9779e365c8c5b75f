"""Failures that the clients for engines and plain services must classify."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import aiohttp
import pytest

from tanagerwalk.clients.attempts import is_connection_refused
from tanagerwalk.clients.engines import ChatAttempt, EngineClient
from tanagerwalk.clients.services import ServiceAttempt, ServiceClient
from tanagerwalk.outcomes import RetryReason
from tanagerwalk.settings import parse_settings
from tanagerwalk.standins.addresses import find_address

RETRIES = parse_settings("[retries]\nidle_timeout = 0.2\n").ok.retries
TIME_LIMIT_S = 5.0
HEAD = "HTTP/1.1 {}\r\nContent-Type: {}\r\nConnection: close\r\n{}\r\n"
STREAM = HEAD.format("200 OK", "text/event-stream", "")
CHUNKED = HEAD.format("200 OK", "text/event-stream", "Transfer-Encoding: chunked\r\n")
JSON = HEAD.format("200 OK", "application/json", "Content-Length: 2\r\n")
PIECE = 'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
FINISH = 'data: {"choices": [{"delta": {}, "finish_reason": "stop"}]}\n\n'
END = "data: [DONE]\n\n"
RESET = None
STALL = object()


def make_refusal(status, *headers):
    lines = "".join(f"{header}\r\n" for header in headers)
    return HEAD.format(status, "text/plain", f"Content-Length: 0\r\n{lines}")


# Steps of the server after it has read the request, and the expected failure:
# reason, whether the server may have crashed, seconds to wait.
SHARED_FAULTS = {
    "reset before headers": ([RESET], RetryReason.CONNECTION_LOST, True, None),
    "close before headers": ([], RetryReason.CONNECTION_LOST, True, None),
    "no headers in time": ([STALL], RetryReason.ATTEMPT_TIMEOUT, False, None),
    "429": (
        [make_refusal("429 Busy")],
        RetryReason.SERVER_REFUSED,
        False,
        None,
    ),
    "503 with a time": (
        [make_refusal("503 Busy", "Retry-After: 7")],
        RetryReason.SERVER_REFUSED,
        False,
        7.0,
    ),
    "503 with a date": (
        [make_refusal("503 Busy", "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT")],
        RetryReason.SERVER_REFUSED,
        False,
        None,
    ),
    "500": ([make_refusal("500 Bad")], RetryReason.SERVER_ERROR, False, None),
    "000": ([make_refusal("000 Odd")], RetryReason.SERVER_ERROR, False, None),
    "099": ([make_refusal("099 Odd")], RetryReason.SERVER_ERROR, False, None),
    "101 unasked": ([make_refusal("101 Other")], RetryReason.SERVER_ERROR, False, None),
    "999": ([make_refusal("999 Odd")], RetryReason.SERVER_ERROR, False, None),
}
ENGINE_FAULTS = {
    **SHARED_FAULTS,
    "reset in a chunked stream": (
        [CHUNKED + f"{len(PIECE):x}\r\n{PIECE}\r\n", RESET],
        RetryReason.CONNECTION_LOST,
        True,
        None,
    ),
    # Without chunked encoding a reset looks like the end of the body; only the missing
    # end marker shows that the answer is incomplete.
    "reset in a stream without chunks": (
        [STREAM + PIECE, RESET],
        RetryReason.INCOMPLETE_ANSWER,
        True,
        None,
    ),
    "no end marker": (
        [STREAM + PIECE + FINISH],
        RetryReason.INCOMPLETE_ANSWER,
        True,
        None,
    ),
    "no finish reason": (
        [STREAM + PIECE + END],
        RetryReason.INCOMPLETE_ANSWER,
        True,
        None,
    ),
    "garbage chunk": (
        [STREAM + PIECE + "data: {broken\n\n"],
        RetryReason.SERVER_ERROR,
        False,
        None,
    ),
    "chunk of another shape": (
        [STREAM + 'data: {"choices": 7}\n\n'],
        RetryReason.SERVER_ERROR,
        False,
        None,
    ),
    "silence in mid-stream": (
        [STREAM + PIECE, STALL],
        RetryReason.ATTEMPT_TIMEOUT,
        False,
        None,
    ),
}
SERVICE_FAULTS = {
    **SHARED_FAULTS,
    "short body": ([JSON + "{"], RetryReason.CONNECTION_LOST, True, None),
    "reset in the body": ([JSON + "{", RESET], RetryReason.CONNECTION_LOST, True, None),
}


@asynccontextmanager
async def serve(steps):
    """Run a server that performs `steps` on each connection; yield its address."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for step in steps:
            if step is RESET:
                # With SO_LINGER set to 0 seconds, close sends a reset.
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.close()
                return
            if step is STALL:
                await asyncio.sleep(3 * RETRIES.idle_timeout)
                continue
            writer.write(step.encode())
            await writer.drain()
            # Let the client read what was sent before the connection breaks.
            await asyncio.sleep(0.05)
        writer.close()

    server = await asyncio.start_server(answer, find_address(), 0)
    try:
        yield f"{find_address()}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


def find_unused_address():
    with socket.socket() as closed:
        closed.bind((find_address(), 0))
        return f"{find_address()}:{closed.getsockname()[1]}"


async def complete(address, limit=TIME_LIMIT_S, on_text=None):
    received = []

    async def collect(text):
        received.append(text)

    async with aiohttp.ClientSession() as http:
        client = EngineClient(http, RETRIES)
        attempt = ChatAttempt("a1", address, "m1", {"messages": []})
        return await client.complete(attempt, limit, on_text or collect), received


async def call(address, limit=TIME_LIMIT_S):
    async with aiohttp.ClientSession() as http:
        client = ServiceClient(http, http, RETRIES)
        attempt = ServiceAttempt("a1", address, "lookup", {}, idempotent=True)
        return await client.call(attempt, limit)


def assert_failure(result, reason, crashed, retry_after):
    failure = result.error
    assert failure.reason is reason
    assert failure.sent is True
    assert failure.crashed is crashed
    assert failure.retry_after == retry_after


@pytest.mark.parametrize("fault", ENGINE_FAULTS)
async def test_engine_fault(fault):
    steps, *expected = ENGINE_FAULTS[fault]
    async with serve(steps) as address:
        result, _ = await complete(address)
    assert_failure(result, *expected)


@pytest.mark.parametrize("fault", SERVICE_FAULTS)
async def test_service_fault(fault):
    steps, *expected = SERVICE_FAULTS[fault]
    async with serve(steps) as address:
        result = await call(address)
    assert_failure(result, *expected)


@pytest.mark.parametrize("run", [call, lambda address: complete(address)])
async def test_refused_connection_was_not_sent(run):
    result = await run(find_unused_address())
    failure = (result[0] if isinstance(result, tuple) else result).error
    assert failure.reason is RetryReason.CONNECT_FAILED
    assert failure.sent is False


async def test_missing_version_is_reported_as_not_sent():
    async with serve([make_refusal("404 Not Found")]) as address:
        result, _ = await complete(address)
    assert result.error.reason is RetryReason.VERSION_MISSING
    assert result.error.sent is False


async def test_attempt_ends_at_its_time_limit_and_late_text_is_dropped():
    async with serve([STREAM + PIECE, STREAM, STALL, PIECE + FINISH + END]) as address:
        result, received = await complete(address, limit=0.1)
        await asyncio.sleep(RETRIES.idle_timeout)
    assert_failure(result, RetryReason.ATTEMPT_TIMEOUT, False, None)
    assert received == ["a"]


async def test_complete_stream_and_client_error_status_are_ok():
    async with serve([STREAM + PIECE + PIECE + FINISH + END]) as address:
        result, received = await complete(address)
    assert (result.ok.status, received) == (200, ["a", "a"])
    async with serve([make_refusal("400 Bad")]) as address:
        result, _ = await complete(address)
        assert result.ok.status == 400
        assert (await call(address)).ok.status == 400


async def test_caller_disconnect_is_not_an_engine_failure():
    async def lose_caller(text):
        raise asyncio.CancelledError

    async with serve([STREAM + PIECE + FINISH + END]) as address:
        with pytest.raises(asyncio.CancelledError):
            await complete(address, on_text=lose_caller)


async def test_refused_connection_distinguishes_dead_process_from_live_one():
    assert await is_connection_refused(find_unused_address(), 1.0) is True
    async with serve([]) as address:
        assert await is_connection_refused(address, 1.0) is False
