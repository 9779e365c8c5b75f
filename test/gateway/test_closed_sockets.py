"""Sockets that were closed meanwhile, with the event loop of the process.

The default event loop doesn't have these faults.
"""

import asyncio
import socket

import uvloop
from expression import Ok

from tanagerwalk.gateway.connections import Connection
from tanagerwalk.gateway.response_heads import match_any_response
from tanagerwalk.gateway.tunnel_client import TunnelTransport
from tanagerwalk.gateway.tunnels import TunnelFrame
from tanagerwalk.socket_options import (
    end_probes,
    has_pending_reset,
    measure_silence,
    probe_peer,
    set_client_socket_options,
    set_reset_on_close,
    set_socket_options,
)
from tanagerwalk.standins.addresses import find_address


class ChannelLostAfterEnd:
    """Delivers an END frame; the connection is lost before it is looked at."""

    is_closing = True

    def __init__(self, writer):
        self.writer = writer

    async def read(self):
        self.writer.transport.abort()
        await asyncio.sleep(0.05)
        return Ok((TunnelFrame.END.value, b""))

    def close(self):
        pass


# Guards against a request that waits until its deadline: uvloop raises ValueError for
# an option of a closed socket, which ends the task that reads the tunnel.
def test_end_through_a_lost_tunnel_reaches_the_reader():
    async def run():
        server = await asyncio.start_server(lambda *_: None, find_address(), 0)
        address = server.sockets[0].getsockname()[:2]
        _, writer = await asyncio.open_connection(*address)
        connection = Connection("other")
        connection._responses.expect(match_any_response, has_no_body=False)
        assert connection._responses.feed(b"HTTP/1.1 200 OK\r\n\r\n")
        transport = TunnelTransport(ChannelLostAfterEnd(writer), connection)
        connection.connection_made(transport)
        await asyncio.sleep(0.2)
        assert connection.closed
        server.close()

    uvloop.run(run())


async def connect_to(end):
    """Return a transport whose peer has ended the connection by a function of it."""
    server = await asyncio.start_server(
        lambda _, writer: end(writer), find_address(), 0
    )
    address = server.sockets[0].getsockname()[:2]
    _, writer = await asyncio.open_connection(*address)
    writer.transport.pause_reading()
    await asyncio.sleep(0.05)
    server.close()
    return writer.transport


def reset(writer):
    set_reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()


# Guards against MIXED: a write has met the reset first, and has taken the error that
# would tell it from an orderly end.
def test_reset_is_told_from_an_end_after_its_error_was_taken():
    async def run(end):
        transport = await connect_to(end)
        sock = transport.get_extra_info("socket")
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return has_pending_reset(transport)

    assert uvloop.run(run(reset))
    assert not uvloop.run(run(lambda writer: writer.close()))


# Guards against a callback that ends in the middle because its connection was closed
# since it looked up the socket.
def test_options_of_a_closed_socket_are_left_alone():
    async def run():
        server = await asyncio.start_server(lambda *_: None, find_address(), 0)
        address = server.sockets[0].getsockname()[:2]
        _, writer = await asyncio.open_connection(*address)
        sock = writer.get_extra_info("socket")
        writer.transport.abort()
        await asyncio.sleep(0.05)
        set_socket_options(sock)
        set_client_socket_options(sock)
        set_reset_on_close(sock)
        probe_peer(sock)
        end_probes(sock)
        assert measure_silence(sock) == 0.0
        assert has_pending_reset(writer.transport)
        server.close()

    uvloop.run(run())
