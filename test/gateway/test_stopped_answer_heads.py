"""Answers of servers that stop in the middle of their head, or of their framing."""

import asyncio
import socket
import struct
from dataclasses import dataclass

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.gateway_cluster import GatewayCluster
from tanagerwalk.standins.paths import Cut, ServerPath

WAIT_S = 5.0
# A connection to the server may take longer than the gateway waits for one.
MAX_TRIES = 5
REPLY_TIMEOUT_S = 8.0
PAUSE_S = 0.005
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
START = b"HTTP/1.1 200 OK\r\nX-Tanagerwalk-Attempt-Id: @id\r\n"
SEAL = b"X-Tanagerwalk-Response-Seal: desk.@id\r\n"
STREAM = b"Content-Type: text/event-stream\r\nX-Tanagerwalk-Confidence: 100\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENT = b"id: 1\ndata: a token 1\n\n"
FIRST_CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)

# What the server sends before it ends the connection, by where it stops.
HEADS = {
    "nothing": b"",
    "in the version": b"HTTP/1.",
    "in the status": b"HTTP/1.1 20",
    "after the status": b"HTTP/1.1 200",
    "in the reason": b"HTTP/1.1 200 O",
    "after the status line": b"HTTP/1.1 200 OK\r\n",
    "in a name": START + b"X-Tanager",
    "in a value": START + SEAL[:-6],
    "after a line": START + SEAL,
    "in the length": START + SEAL + b"Content-Length: 1",
    "after the length": START + SEAL + b"Content-Length: 0\r\n",
    "in the last line end": START + SEAL + b"Content-Length: 0\r\n\r",
    "without framing": START + SEAL + b"X-Other: 1\r\n",
    "without framing, in the last line end": START + SEAL + b"X-Other: 1\r\n\r",
    "close, without a length": START + SEAL + b"Connection: close\r\n",
    "in a chunked head": START + SEAL + STREAM + CHUNKED,
    "in a folded line": START + SEAL + b"X-Folded: a\r\n  b",
    "after a folded line": START + SEAL + b"X-Folded: a\r\n b\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n" + START[17:] + SEAL,
    "not modified": b"HTTP/1.1 304 Not Modified\r\n" + START[17:] + SEAL,
    "in an interim answer": INTERIM[:-2],
    "after an interim answer": INTERIM,
    "in the head after an interim answer": INTERIM + START + SEAL,
    "in the head after two": INTERIM + INTERIM + START + SEAL + CHUNKED,
}
# A whole head, but a body that stops.
BODIES = {
    "before the body": START + SEAL + b"Content-Length: 9\r\n\r\n",
    "in the body": START + SEAL + b"Content-Length: 9\r\n\r\nshort",
    "before the first size": START + SEAL + STREAM + CHUNKED + b"\r\n",
    "in a size": START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK + b"1",
    "after a size": START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK + b"16\r\n",
    "after a chunk": START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK,
    "in the last size": START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK + b"0",
    "after the last size": (
        START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK + b"0\r\n"
    ),
    "in a trailer": (
        START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK + b"0\r\nX-Sum: 1"
    ),
    "after a trailer": (
        START + SEAL + STREAM + CHUNKED + b"\r\n" + FIRST_CHUNK + b"0\r\nX-Sum: 1\r\n"
    ),
}
REQUESTS = {
    "once": ("POST", "/bookings/7"),
    "again": ("GET", "/jobs/7"),
    "head": ("HEAD", "/jobs/7"),
    "stream": None,
}


@dataclass(slots=True)
class Received:
    """What a client has got until its connection ended, or its answer was whole."""

    data: bytes = b""
    ended: bool = False

    @property
    def status(self):
        """Status of the answer; 0 without one."""
        line, _, rest = self.data.partition(b"\r\n")
        return int(line.split(b" ")[1]) if rest else 0

    def is_whole(self, is_head_request):
        """Return whether the answer looks complete to a client."""
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator:
            return False
        if is_head_request:
            return True
        lines = [line.lower().partition(b":") for line in head.split(b"\r\n")[1:]]
        fields = {name: value.strip() for name, _, value in lines}
        if b"transfer-encoding" in fields:
            return body.endswith(b"0\r\n\r\n")
        if b"content-length" in fields:
            return len(body) >= int(fields[b"content-length"])
        return self.ended


class StoppingServer:
    """Ends each connection after a part of an answer, in one or in more pieces.

    Takes the place of all servers: those of the cluster stay registered, and instances
    are led here by `lead`.
    """

    def __init__(self, part, resets, size=None):
        self.part = part
        self.resets = resets
        self.size = size
        self.good_answers = 0
        self.first_part = None
        self.requests = 0
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, find_address(), 0)
        return self

    async def __aexit__(self, *exc):
        self._server.close()

    def lead(self, instance):
        """Lead the connections of an instance to servers here."""
        address = self._server.sockets[0].getsockname()
        connector = instance.connection_pool.connector
        for holder in (connector, instance.tunnel_server):
            holder.dial = _redirect(holder.dial, address)

    async def _serve(self, reader, writer):
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        attempt_id = fields[b"x-tanagerwalk-attempt-id"]
        self.requests += 1
        if self.good_answers:
            self.good_answers -= 1
            good = START + SEAL + b"Content-Length: 4\r\n\r\n"
            body = b"" if head.startswith(b"HEAD") else b"good"
            writer.write(good.replace(b"@id", attempt_id) + body)
            return True
        part = self.part if self.first_part is None else self.first_part
        self.first_part = None
        data = part.replace(b"@id", attempt_id)
        size = self.size or max(1, len(data))
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(PAUSE_S)
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return False


def _redirect(dial, address):
    async def dial_elsewhere(original, *args, **kwargs):
        del original
        return await dial(address, *args, **kwargs)

    return dial_elsewhere


@pytest_asyncio.fixture(params=["direct", "tunnel"])
async def cluster(request):
    """Instances of which the first reaches servers directly, or through the second."""
    async with GatewayCluster() as built:
        count = 1 if request.param == "direct" else 2
        await built.build(drafts=1, desks=1, instances=count)
        if request.param == "tunnel":
            await cut_off_the_first(built)
        yield built


async def cut_off_the_first(cluster):
    first, second = cluster.instances
    assert await poll_until(
        lambda: (
            second.peer_server.secret is not None
            and any(
                first.tunnel_client.rank_peers(usage.server)
                for usage in first.servers.list_usages("desk")
            )
        ),
        0.02,
        WAIT_S,
    )
    ServerPath(first).cut(Cut.RESET)


def lead_to(cluster, server):
    server.lead(cluster.instances[-1])


async def fetch(cluster, kind, connection=None):
    """Send a request and return what the client has Received."""
    if REQUESTS[kind] is None:
        data = cluster.encode_plan(X_Tanagerwalk_Deadline_Ms="1500")
    else:
        method, path = REQUESTS[kind]
        body = b"slot" if method == "POST" else b""
        data = cluster.encode(method, path, body, X_Tanagerwalk_Deadline_Ms="1500")
    reader, writer = connection or await cluster.connect(cluster.instances[0])
    writer.write(data)
    received = Received()
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            while not received.is_whole(kind == "head"):
                piece = await reader.read(65536)
                received.ended = not piece
                received.data += piece
                if not piece:
                    break
    except OSError:
        pass
    if connection is None:
        writer.close()
    return received


def find_wrong(results):
    """Return the names of complete successes; each would be made up."""
    return [
        (name, received.data)
        for name, kind, received in results
        if 200 <= received.status < 400 and received.is_whole(kind == "head")
    ]


# Guards against MIXED: a 200 with an empty or short body, framed as whole, for an
# answer that the server stopped in its head.
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", REQUESTS)
async def test_stopped_head_is_no_answer(cluster, kind, resets):
    results = []
    async with StoppingServer(b"", resets) as server:
        lead_to(cluster, server)
        for name, part in HEADS.items():
            for size in (None, 1):
                server.part, server.size = part, size
                seen = server.requests
                for _ in range(MAX_TRIES):
                    revive(cluster)
                    results.append((name, kind, await fetch(cluster, kind)))
                    if server.requests > seen:
                        break
                assert server.requests > seen, name
    assert find_wrong(results) == []


# Guards against MIXED and ORDER: a body that the server cut short and that looks whole.
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["once", "again", "stream"])
async def test_stopped_body_does_not_look_whole(cluster, kind, resets):
    results = []
    async with StoppingServer(b"", resets) as server:
        lead_to(cluster, server)
        for name, part in BODIES.items():
            server.part = part
            revive(cluster)
            results.append((name, kind, await fetch(cluster, kind)))
    assert find_wrong(results) == []


def revive(cluster):
    """Forget what failures before have told of the servers."""
    for instance in cluster.instances:
        for service in ("desk", "drafts"):
            for usage in instance.servers.list_usages(service):
                instance.servers.end_pause(usage.server)


# Guards against the same on a connection that has carried good answers before.
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["once", "again", "head"])
async def test_head_that_stops_on_a_kept_connection_is_no_answer(cluster, kind, resets):
    results = []
    async with StoppingServer(b"", resets) as server:
        lead_to(cluster, server)
        for name, part in HEADS.items():
            server.part = part
            for _ in range(MAX_TRIES):
                server.good_answers = 2
                revive(cluster)
                connection = await cluster.connect(cluster.instances[0])
                good = [await fetch(cluster, kind, connection) for _ in range(2)]
                if server.good_answers == 0:
                    break
            assert [each.status for each in good] == [200, 200], name
            results.append((name, kind, await fetch(cluster, kind, connection)))
            connection[1].close()
    assert find_wrong(results) == []


# Guards against ORDER: a stream that ends as whole because the answer to its retry
# stopped in its head.
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
async def test_head_that_stops_in_a_resumed_stream_does_not_end_it(cluster, resets):
    results = []
    async with StoppingServer(b"", resets) as server:
        lead_to(cluster, server)
        for name, part in HEADS.items():
            server.part = part
            server.first_part = BODIES["after a chunk"]
            revive(cluster)
            seen = server.requests
            received = await fetch(cluster, "stream")
            results.append((name, "stream", received))
            assert received.data.count(b"id: 1") == 1, name
            assert server.requests > seen + 1, name
    assert find_wrong(results) == []
