"""Answers to HEAD requests, which have no body whatever the server sends."""

import asyncio

import pytest
import pytest_asyncio

from tanagerwalk.gateway.responder import Responder
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply

TIMEOUT_S = 3.0
SEAL = b"X-Tanagerwalk-Attempt-Id: @id\r\n"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\n" + SEAL + b"Content-Length: 4\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n" + SEAL + b"Transfer-Encoding: chunked\r\n\r\n",
    "none": b"HTTP/1.1 204 No Content\r\n" + SEAL + b"\r\n",
}


class FakeConnection:
    """Collects what is written."""

    closes_after_response = False

    def promise_reuse(self):
        return 0

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data

    async def wait_writable(self):
        pass


@pytest_asyncio.fixture
async def world():
    async with GatewayCluster() as built:
        await built.build(drafts=1, desks=1)
        yield built


# Guards against chunks that the client takes for the next answer.
async def test_stream_for_a_head_request_has_no_body():
    connection = FakeConnection()
    responder = Responder(connection, is_head_request=True, keep_alive=True)
    responder.start_stream(200, b"OK", [], b"first")
    await responder.write(b"second")
    responder.finish_stream()
    assert responder.finished
    assert connection.data == b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against a request that waits for a body that never comes.
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("path", ["/jobs/1", "/plans/1"])
async def test_head_request_is_followed_by_another_on_its_connection(world, path, head):
    for server in world.servers.values():
        server.behaviour = Behaviour(fault="raw", times=1, raw=HEADS[head])
    reader, writer = await world.connect()
    writer.write(world.encode("HEAD", path, X_Tanagerwalk_Model="*"))
    async with asyncio.timeout(TIMEOUT_S):
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 204"))
        writer.write(world.encode("GET", "/nowhere"))
        assert (await read_reply(reader)).status == 404
    writer.close()
