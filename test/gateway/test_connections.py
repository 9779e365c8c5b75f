"""Response framing: responses without a length, resets and unexpected data."""

import asyncio
import socket

import pytest

from tanagerwalk.gateway.connections import Connection, ConnectionFailure
from tanagerwalk.gateway.memory import MemoryBudget

PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhalf"


TCP_CLOSED = b"\x07"
TCP_CLOSE_WAIT = b"\x08"
# TCP_INFO up to when something was last received: just now.
JUST_RECEIVED = bytes(60)


class FakeSocket:
    def __init__(self, error, state=TCP_CLOSE_WAIT):
        self.error = error
        self.state = state

    def setsockopt(self, *_):
        pass

    def getsockopt(self, level, name, size=0):
        if (level, name, size) == (socket.IPPROTO_TCP, socket.TCP_INFO, 1):
            return self.state
        if (level, name, size) == (socket.IPPROTO_TCP, socket.TCP_INFO, 60):
            return JUST_RECEIVED
        assert (level, name) == (socket.SOL_SOCKET, socket.SO_ERROR)
        return self.error


class FakeTransport:
    def __init__(self, error=0):
        self.socket = FakeSocket(error)
        self.aborted = False

    def get_extra_info(self, name):
        assert name == "socket"
        return self.socket

    def write(self, data):
        pass

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def resume_reading(self):
        pass

    def get_write_buffer_size(self):
        return 0


def build_connection(error=0):
    connection = Connection()
    connection.connection_made(FakeTransport(error))
    connection.send(b"request")
    return connection


async def test_orderly_close_completes_response_without_length():
    connection = build_connection()
    connection.data_received(PARTIAL_RESPONSE)
    connection.eof_received()
    assert (await connection.read_head()).ok.status == 200
    assert (await connection.read_body()).ok == b"half"


async def test_reset_reported_as_eof_does_not_complete_response():
    """A reset directly after the data used to pass for an orderly close.

    The event loop reported both as the end of the stream, so that a truncated response
    counted as complete. Only SO_ERROR of the socket tells them apart.
    """
    connection = build_connection(error=104)
    connection.data_received(PARTIAL_RESPONSE)
    connection.eof_received()
    assert (await connection.read_head()).ok.status == 200
    assert (await connection.read_body()).error is ConnectionFailure.CLOSED


# Guards against MIXED: a write of an upload met the reset first, and took the error of
# the socket, so that the part of the answer counted as whole.
async def test_reset_whose_error_was_taken_does_not_complete_response():
    connection = build_connection()
    connection._transport.socket.state = TCP_CLOSED
    connection.data_received(PARTIAL_RESPONSE)
    connection.eof_received()
    assert (await connection.read_head()).ok.status == 200
    assert (await connection.read_body()).error is ConnectionFailure.CLOSED


async def test_unexpected_data_closes_connection():
    connection = build_connection()
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert (await connection.read_body()).ok == b"ok"
    await connection.read_head()
    assert connection.is_reusable()
    connection.data_received(b"HTTP/1.1 200 OK\r\n")
    assert not connection.is_reusable()


async def test_response_to_another_request_is_skipped():
    connection = Connection()
    connection.connection_made(FakeTransport())
    connection.send(
        b"request",
        matches_request=lambda head: head.get_header(b"id") == b"mine",
    )
    answer = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\n%s"
    connection.data_received(answer % (b"late", b"no") + answer % (b"mine", b"ok"))
    assert (await connection.read_head()).ok.get_header(b"id") == b"mine"
    assert (await connection.read_body()).ok == b"ok"
    assert not connection.is_reusable()


LATE_HEAD = b"HTTP/1.1 200 OK\r\nId: late\r\n"
UNWANTED = {
    "length": [LATE_HEAD + b"Content-Length: 60000\r\n\r\n", *[b"x" * 20000] * 3],
    "one piece": [LATE_HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 20000],
    "trailers": [
        LATE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n",
        b"X-A: b\r\n" * 1000,
        b"\r\n",
    ],
    "interim": [b"HTTP/1.1 103 Early Hints\r\nX-A: %s\r\n\r\n" % (b"b" * 20000)],
}


# Guards against the body of a response to another request that takes the room of heads
# and waits for memory that nothing holds.
@pytest.mark.parametrize("unwanted", UNWANTED)
async def test_unwanted_response_counts_no_memory(unwanted):
    memory = MemoryBudget(10_000_000, lambda: 0.0).create_request_memory()
    connection = Connection()
    connection.connection_made(FakeTransport())
    connection.send(
        b"request",
        matches_request=lambda head: head.get_header(b"id") == b"mine",
        memory=memory,
    )
    for piece in UNWANTED[unwanted]:
        connection.data_received(piece)
        assert memory.size == 0
    connection.data_received(b"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n")
    assert memory.size > 0
    connection.data_received(b"\r\nok")
    assert (await connection.read_head()).ok.get_header(b"id") == b"mine"
    assert (await connection.read_body()).ok == b"ok"


async def test_answer_to_head_request_ends_with_its_head():
    """Guards against waiting for a body that an answer to HEAD doesn't have."""
    for framing in (b"Content-Length: 4", b"Transfer-Encoding: chunked", b"X-A: b"):
        connection = Connection()
        connection.connection_made(FakeTransport())
        connection.send(b"request", has_no_body=True)
        connection.data_received(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
        assert (await connection.read_head()).ok.status == 200
        async with asyncio.timeout(1.0):
            assert (await connection.read_body()).ok == b""
        assert not connection.is_reusable()
