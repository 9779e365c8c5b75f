"""Bytes of a server that are no answer and have no end."""

import asyncio
import time

import pytest
import pytest_asyncio

from tanagerwalk.gateway.connections import Connection, ConnectionFailure
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

pytestmark = pytest.mark.serial

# What one attempt may cost an instance; its memory is a few hundred megabytes.
MAX_BYTES = 32 * 2**20
FILLER = b"x" * 65536


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=1, desks=1)
        yield built


# Guards against a connection whose buffers grow until the process is out of memory.
@pytest.mark.parametrize(
    ("fault", "server"),
    [
        ("endless_head", "desk-0"),
        ("endless_body", "desk-0"),
        ("endless_head", "draft-0"),
        ("endless_event", "draft-0"),
    ],
)
async def test_endless_answer_ends_the_attempt(cluster, fault, server):
    backend = cluster.servers[server]
    backend.behaviour = Behaviour(fault)
    if server == "draft-0":
        data = cluster.encode_plan()
    else:
        data = cluster.encode("POST", "/bookings/7", b"slot")
    async with asyncio.timeout(5.0):
        reply = await cluster.send(data)
    assert reply.status == 502
    assert backend.endless_bytes <= MAX_BYTES
    backend.behaviour = Behaviour()
    await asyncio.sleep(0.6)
    assert (await cluster.send(cluster.encode("GET", "/jobs/7"))).status == 200


# The rules bound an answer at half a second past the timeout of its route.
MAX_DELAY_S = 0.5
STREAMS = 4
BOOKINGS = 12
ENDLESS_FAULTS = [
    "endless_event",
    "endless_pieces",
    "endless_tiny_pieces",
    "endless_blank_lines",
    "endless_header_lines",
]


# Guards against an endless answer that keeps the event loop for itself: the gateway
# answered no other request and no readiness probe for tens of seconds.
@pytest.mark.parametrize("fault", ENDLESS_FAULTS)
async def test_other_requests_are_answered_beside_endless_streams(cluster, fault):
    cluster.servers["draft-0"].behaviour = Behaviour(fault)
    streams = [await cluster.connect() for _ in range(STREAMS)]
    for _, writer in streams:
        writer.write(cluster.encode_plan())
    delays = []
    for _ in range(BOOKINGS):
        started_at = time.monotonic()
        reply = await cluster.send(cluster.encode("POST", "/bookings/7", b"slot"))
        delays.append(time.monotonic() - started_at)
        assert reply.status == 200
        await asyncio.sleep(0.05)
    for _, writer in streams:
        writer.transport.abort()
    assert max(delays) <= MAX_DELAY_S


class Transport:
    def write(self, data):
        pass

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def abort(self):
        pass


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STARTS = {
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header": (b"HTTP/1.1 200 OK\r\nX-A: ", FILLER),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 8000),
    "informational answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
    "trailer": (CHUNKED + b"2\r\nok\r\n0\r\nX-A: ", FILLER),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n" * 8000),
    "chunk extension": (CHUNKED + b"2;a=", FILLER),
    "answers to others": (b"", ANSWER * 1000),
}


@pytest.mark.parametrize("start", STARTS)
async def test_connection_that_makes_no_progress_fails(start):
    connection = Connection()
    connection.connection_made(Transport())
    accepted = iter([start != "answers to others"])
    connection.send(b"", matches_request=lambda head: next(accepted, False))
    head, filler = STARTS[start]
    connection.data_received(head)
    fed = 0
    while not connection.closed and fed <= MAX_BYTES:
        connection.data_received(filler)
        fed += len(filler)
    assert connection.closed
    if start in ("trailer", "trailers", "chunk extension"):
        await connection.read_head()
    result = await connection.read_body()
    assert result.is_error()
    assert result.error is ConnectionFailure.MALFORMED
