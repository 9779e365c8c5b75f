"""Answers without framing whose connection is reset while the request is written."""

import asyncio
import socket

import aiohttp
import pytest
import uvloop

from tanagerwalk.clients.http import build_session
from tanagerwalk.socket_options import set_reset_on_close
from tanagerwalk.standins.addresses import find_address

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
PART = b'{"slot": "nine"'


class Server:
    """Sends a part of an answer, and ends the connection when it is told to."""

    def __init__(self, resets):
        self._resets = resets
        self._may_end = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, find_address(), 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://{find_address()}:{port}/lookup"
        return self

    async def __aexit__(self, *exc):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + PART)
        await self._may_end.wait()
        if self._resets:
            set_reset_on_close(writer.get_extra_info("socket"))
        writer.transport.abort()

    async def end(self):
        """End the connection, and let the other end hear of it."""
        self._may_end.set()
        await asyncio.sleep(0.05)


async def read_answer(resets):
    async with (
        Server(resets) as server,
        build_session() as http,
        http.get(server.url) as response,
    ):
        transport = response.connection.transport
        transport.pause_reading()
        await server.end()
        # As a write does that meets the reset first.
        sock = transport.get_extra_info("socket")
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        transport.resume_reading()
        return await response.read()


# Guards against MIXED: a part of an answer that counts as whole.
def test_reset_that_a_write_has_met_first_does_not_complete_an_answer():
    with pytest.raises(aiohttp.ClientPayloadError):
        uvloop.run(read_answer(resets=True))


def test_orderly_end_completes_an_answer():
    assert uvloop.run(read_answer(resets=False)) == PART
