"""Test of peers that ask for large answers and read none of them."""

import asyncio
import socket

import uvloop

from tanagerwalk.bound_sockets import bind_stream
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers import server as server_module
from tanagerwalk.peers.frames import Channel
from tanagerwalk.peers.rpc import STATUS_FAILED, STATUS_OK, MessageKind, PeerClient
from tanagerwalk.peers.server import MAX_UNSENT_BYTES, PeerServer
from tanagerwalk.standins.addresses import find_address

SECRET = "shared"
KIND = MessageKind.FETCH_CHANGES
LARGE = 2_000_000
SOCKET_BYTES = 16 * 1024


class Desk:
    """A PeerServer with large and small answers, which counts what it holds."""

    def __init__(self):
        self.held = 0
        self.connections = 0
        self.most_held = 0
        self.server = PeerServer(SECRET)
        self.server.register_handler(KIND, self.answer)
        self.server.reserve = self.reserve
        self.server.release = self.release
        self.server.hold_memory = self.hold_memory

    async def answer(self, payload, sender):
        return bytes(int(payload))

    def reserve(self):
        self.connections += 1
        return True

    def release(self):
        self.connections -= 1

    def hold_memory(self, change):
        self.held += change
        self.most_held = max(self.held, self.most_held)

    @property
    def is_idle(self):
        return self.connections == 0 and self.held == 0


async def start():
    """Return a Desk that listens with small buffers of the system."""
    desk = Desk()
    sock = bind_stream((find_address(), 0)).ok
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
    await desk.server.serve(sock)
    return desk


async def ask(port, size):
    """Ask for an answer, and read nothing of it."""
    sock = socket.socket()
    # Otherwise the system takes all of the answer.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    sock.connect((find_address(), port))
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
    channel = Channel(reader, writer, SECRET)
    await channel.handshake_as_client(InstanceId("i1"))
    channel.write(KIND.value, str(size).encode())
    writer.transport.pause_reading()
    return channel


async def read_status(channel):
    channel.writer.transport.resume_reading()
    frame = await channel.read()
    return frame.ok[0] if frame.is_ok() else None


# Guards against a peer that reads nothing and so holds memory and a descriptor for
# ever.
def test_connection_of_a_peer_that_reads_nothing_is_closed(monkeypatch):
    monkeypatch.setattr(server_module, "SEND_TIMEOUT_S", 0.3)
    monkeypatch.setattr(server_module, "CLOSE_TIMEOUT_S", 0.3)

    async def run():
        desk = await start()
        channel = await ask(desk.server.port, LARGE)
        await asyncio.sleep(0.1)
        assert desk.connections == 1
        assert await poll_until(lambda: desk.is_idle, 0.02, 3.0)
        assert desk.most_held == LARGE
        client = PeerClient(SECRET, InstanceId("i2"), 2.0)
        reply = await client.request(f"{find_address()}:{desk.server.port}", KIND, b"9")
        assert reply.ok == bytes(9)
        await client.close()
        channel.writer.transport.abort()
        await desk.server.stop()

    uvloop.run(run())


# Guards against many such peers at once, which together fill the memory.
def test_answers_under_way_are_bounded():
    async def run():
        desk = await start()
        count = MAX_UNSENT_BYTES // LARGE + 6
        channels = [await ask(desk.server.port, LARGE) for _ in range(count)]
        await asyncio.sleep(0.2)
        assert desk.most_held <= MAX_UNSENT_BYTES
        statuses = [await read_status(channel) for channel in channels]
        assert statuses.count(STATUS_FAILED) >= 6
        assert statuses.count(STATUS_OK) == count - statuses.count(STATUS_FAILED)
        late = await ask(desk.server.port, LARGE)
        assert await read_status(late) == STATUS_OK
        for channel in (*channels, late):
            channel.writer.transport.abort()
        await desk.server.stop()
        assert desk.held == 0

    uvloop.run(run())
