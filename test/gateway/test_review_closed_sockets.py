"""Tunnels whose socket was closed meanwhile, with the event loop of the process.

Found in a review; shows a fault that the default event loop doesn't have.
"""

import asyncio

import uvloop
from expression import Ok

from tanagerwalk.gateway.connections import Connection
from tanagerwalk.gateway.tunnels import TunnelFrame, TunnelTransport


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
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        _, writer = await asyncio.open_connection(*address)
        connection = Connection("other")
        connection._body_ends_at_close = True
        connection._pending_responses = 1
        transport = TunnelTransport(ChannelLostAfterEnd(writer), connection)
        connection.connection_made(transport)
        await asyncio.sleep(0.2)
        assert connection.closed
        server.close()

    uvloop.run(run())
