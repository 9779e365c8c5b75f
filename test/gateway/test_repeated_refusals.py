"""A faulty server that writes an earlier refusal once more on a kept connection."""

import asyncio
import json

import pytest

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply

RUN_S = 0.15
REFUSED_STATUSES = {408, 421, 429, 503}
NOT_EXECUTED = "X-Tanagerwalk-Not-Executed: 1"
EMPTY = "Content-Length: 0"
CHUNKED = "Transfer-Encoding: chunked"
# Status line, further headers and body of a refusal.
REFUSALS = {
    "full": ("503 Service Unavailable", [NOT_EXECUTED, EMPTY], b""),
    "busy": ("429 Too Many Requests", [NOT_EXECUTED, EMPTY], b""),
    "other server": ("421 Misdirected Request", [EMPTY], b""),
    "bad request": ("400 Bad Request", [NOT_EXECUTED, EMPTY], b""),
    "timed out": ("408 Request Timeout", [NOT_EXECUTED, EMPTY], b""),
    "chunked": ("503 Busy", [NOT_EXECUTED, CHUNKED], b"4\r\nbusy\r\n0\r\n\r\n"),
    "with text": ("503 Busy", [NOT_EXECUTED, "Content-Length: 4"], b"busy"),
    "unframed": ("503 Busy", [NOT_EXECUTED], b""),
    "hinted": (
        "103 Early Hints\r\n\r\nHTTP/1.1 503 Busy",
        [NOT_EXECUTED, EMPTY],
        b"",
    ),
}


class RepeatingServer:
    """Refuses its first request, and repeats that refusal before each later answer.

    Parameters
    ----------
    refusal : tuple of (str, list of str, bytes)
        Status, headers and body.
    has_id : bool
        Whether the repeated refusal bears the attempt id of the request it answered.
    """

    def __init__(self, refusal, has_id):
        self._refusal = refusal
        self._has_id = has_id
        self._server = None
        self._writers = set()
        self.refused = []
        self.started = []
        self.repeated = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, find_address(), 0)

    @property
    def address(self):
        return f"{find_address()}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        earlier = None
        try:
            while True:
                attempt_id = await read_attempt_id(reader)
                if not self.refused:
                    self.refused.append(attempt_id)
                    earlier = attempt_id
                    writer.write(self._encode_refusal(attempt_id, True))
                    continue
                self.started.append(attempt_id)
                if earlier is not None:
                    self.repeated += 1
                    writer.write(self._encode_refusal(earlier, self._has_id))
                await asyncio.sleep(RUN_S)
                writer.write(encode_answer(attempt_id))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def _encode_refusal(self, attempt_id, has_id):
        status, headers, body = self._refusal
        lines = [f"HTTP/1.1 {status}", *headers]
        if has_id:
            lines.append(f"X-Tanagerwalk-Attempt-Id: {attempt_id}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_attempt_id(reader):
    """Read a request; return its attempt id."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(": ") for line in head[1:] if line)
    headers = {name.lower(): value for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return headers["x-tanagerwalk-attempt-id"]


def encode_answer(attempt_id):
    """Return a whole, signed answer."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Tanagerwalk-Attempt-Id: {attempt_id}\r\n"
        f"X-Tanagerwalk-Response-Seal: {attempt_id}\r\nContent-Length: 4\r\n\r\ndone"
    ).encode()


async def add_server(cluster, server):
    """Register a repeating server, and wait until the instance knows it."""
    await server.start()
    entry = {
        "service": "desk",
        "address": server.address,
        "zone": "a-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
    }
    await cluster.store.put("servers/desk-odd", json.dumps(entry).encode())
    find = cluster.instances[0].servers.find
    assert await poll_until(lambda: find("desk-odd"), 0.01, 2.0)


async def send_bookings(cluster, count):
    """Send bookings one after another; return their ids and statuses."""
    reader, writer = await cluster.connect()
    replies = []
    for _ in range(count):
        data = cluster.encode("POST", "/bookings/1", b"slot")
        attempt_id = data.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0].decode()
        writer.write(data)
        replies.append((attempt_id, (await read_reply(reader)).status))
    writer.close()
    return replies


def check(replies, *servers):
    """Assert that what was refused has not run, and that nothing has run twice."""
    started = [attempt_id for server in servers for attempt_id in server.started]
    refused = {i for i, status in replies if status in REFUSED_STATUSES}
    assert refused & set(started) == set()
    assert len(started) == len(set(started))


# Guards against REFUSED and TWICE: the repeated refusal was taken for the answer to the
# request that runs, or to the same request sent once more on that connection.
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
async def test_repeated_refusal_is_no_answer_to_a_later_request(refusal, has_id):
    server = RepeatingServer(refusal, has_id)
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0)
        await add_server(cluster, server)
        replies = await send_bookings(cluster, 4)
        server.stop()
    check(replies, server)


@pytest.mark.parametrize("has_id", [True, False])
async def test_repeated_refusal_makes_no_second_server_run_a_request(has_id):
    servers = [RepeatingServer(REFUSALS["full"], has_id) for _ in range(2)]
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=0)
        for number, server in enumerate(servers):
            await server.start()
            entry = {
                "service": "desk",
                "address": server.address,
                "zone": "a-1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
            }
            key = f"servers/desk-{number}"
            await cluster.store.put(key, json.dumps(entry).encode())
        find = cluster.instances[0].servers.find
        assert await poll_until(lambda: find("desk-1"), 0.01, 2.0)
        replies = await send_bookings(cluster, 6)
        for server in servers:
            server.stop()
    check(replies, *servers)
    started = [i for server in servers for i in server.started]
    assert {i for i, status in replies if status == 200} <= set(started)
