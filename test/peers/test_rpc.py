"""Requests between entry instances, with altered, repeated and malformed frames."""

import asyncio

import pytest
import pytest_asyncio
import uvloop

from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.frames import MAX_PAYLOAD_BYTES, Channel, FrameFault
from tanagerwalk.peers.rpc import MessageKind, PeerClient, RequestFault
from tanagerwalk.peers.server import PeerServer
from tanagerwalk.standins.addresses import find_address

SECRET = "shared"
KIND = MessageKind.EXCHANGE


class TamperingProxy:
    """Forwards bytes between a client and a server; may change the client's."""

    def __init__(self, port):
        self.port = port
        self.tamper = lambda chunk: chunk
        self.sent = []

    async def start(self):
        self.server = await asyncio.start_server(self._accept, find_address(), 0)
        return f"{find_address()}:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader, writer):
        server_reader, server_writer = await asyncio.open_connection(
            find_address(), self.port
        )
        await asyncio.gather(
            self._forward(reader, server_writer, self._record),
            self._forward(server_reader, writer, lambda chunk: chunk),
        )

    def _record(self, chunk):
        chunk = self.tamper(chunk)
        self.sent.append(chunk)
        return chunk

    async def _forward(self, reader, writer, tamper):
        while chunk := await reader.read(65536):
            writer.write(tamper(chunk))
        writer.close()


@pytest_asyncio.fixture
async def server():
    async def echo(payload, sender):
        return sender.encode() + b":" + payload

    started = PeerServer(SECRET)
    started.register_handler(KIND, echo)
    await started.start(find_address(), 0)
    yield started
    await started.stop()


@pytest_asyncio.fixture
async def client():
    made = PeerClient(SECRET, InstanceId("entry-1"), 2.0)
    yield made
    await made.close()


def get_address(server):
    return f"{find_address()}:{server.port}"


async def test_requests_are_answered_over_one_connection(server, client):
    for payload in (b"", b"one", b"x" * 100_000):
        result = await client.request(get_address(server), KIND, payload)
        assert result.ok == b"entry-1:" + payload
    assert len(server._connections) == 1


async def test_slow_request_does_not_delay_another(server, client):
    release = asyncio.Event()

    async def wait(payload, sender):
        await release.wait()
        return payload

    server.register_handler(MessageKind.FETCH_DECLARATION, wait)
    slow = asyncio.create_task(
        client.request(get_address(server), MessageKind.FETCH_DECLARATION, b"")
    )
    await asyncio.sleep(0)
    assert (await client.request(get_address(server), KIND, b"")).is_ok()
    release.set()
    assert (await slow).is_ok()


async def test_request_is_retried_if_an_idle_connection_was_closed(server, client):
    assert (await client.request(get_address(server), KIND, b"1")).is_ok()
    for task in list(server._connections):
        task.cancel()
    await asyncio.sleep(0)
    assert (await client.request(get_address(server), KIND, b"2")).is_ok()


async def test_wrong_secret_is_rejected(server):
    other_client = PeerClient("other", InstanceId("entry-2"), 2.0)
    result = await other_client.request(get_address(server), KIND, b"")
    assert result.error is RequestFault.BROKEN
    assert server.dropped[FrameFault.NOT_AUTHENTIC] == 1


async def test_faults_are_returned_as_errors(server, client):
    async def fail(payload, sender):
        raise ValueError

    server.register_handler(MessageKind.DROP_BILLS, fail)
    big = b"x" * (MAX_PAYLOAD_BYTES + 1)
    address = get_address(server)
    cases = (
        (address, MessageKind.DROP_BILLS, b"", RequestFault.FAILED),
        (address, MessageKind.FETCH_DECLARATION, b"", RequestFault.FAILED),
        (address, KIND, big, RequestFault.TOO_LARGE),
        ("127.0.0.1:1", KIND, b"", RequestFault.UNREACHABLE),
    )
    for where, kind, payload, fault in cases:
        assert (await client.request(where, kind, payload)).error is fault


def flip_last_bit(chunk):
    return chunk[:-1] + bytes([chunk[-1] ^ 1])


@pytest.mark.parametrize("tamper", [flip_last_bit, lambda chunk: chunk + chunk])
async def test_altered_or_repeated_frame_closes_the_connection(server, client, tamper):
    proxy = TamperingProxy(server.port)
    address = await proxy.start()
    assert (await client.request(address, KIND, b"first")).is_ok()
    proxy.tamper = tamper
    await client.request(address, KIND, b"second")
    proxy.tamper = lambda chunk: chunk
    assert server.dropped[FrameFault.NOT_AUTHENTIC] >= 1
    assert (await client.request(address, KIND, b"third")).ok == b"entry-1:third"
    proxy.server.close()


async def test_recorded_connection_cannot_be_replayed(server, client):
    proxy = TamperingProxy(server.port)
    address = await proxy.start()
    assert (await client.request(address, KIND, b"once")).is_ok()
    reader, writer = await asyncio.open_connection(find_address(), server.port)
    for chunk in proxy.sent:
        writer.write(chunk)
    await reader.read()
    assert server.dropped[FrameFault.NOT_AUTHENTIC] == 1
    proxy.server.close()


@pytest.mark.parametrize(
    ("content", "fault"),
    [
        (b"\xff" * 64, FrameFault.TOO_LARGE),
        (b"\x00" * 64, FrameFault.NOT_AUTHENTIC),
        (b"GET / HTTP/1.1\r\n\r\n", FrameFault.TOO_LARGE),
    ],
)
async def test_bad_bytes_are_counted(server, content, fault):
    reader, writer = await asyncio.open_connection(find_address(), server.port)
    writer.write(content)
    await reader.read()
    assert server.dropped[fault] == 1


async def test_signed_hello_that_is_malformed_is_counted(server):
    reader, writer = await asyncio.open_connection(find_address(), server.port)
    Channel(reader, writer, SECRET).write(0, b"\xff\xff")
    await reader.read()
    assert server.dropped[FrameFault.MALFORMED] == 1


async def request_after_a_reset():
    """Reset a pooled connection from the other side, then send a second request."""

    async def answer(payload, sender):
        return payload

    server = PeerServer(SECRET)
    server.register_handler(KIND, answer)
    await server.start(find_address(), 0)
    client = PeerClient(SECRET, InstanceId("i1"), 5.0)
    address = f"{find_address()}:{server.port}"
    assert (await client.request(address, KIND, b"first")).ok == b"first"
    for connection in client._idle:
        connection.channel.writer.transport.abort()
    await asyncio.sleep(0.05)
    result = await client.request(address, KIND, b"second")
    await client.close()
    await server.stop()
    return result


def test_request_survives_a_reset_of_its_pooled_connection():
    """Under uvloop a write to a closed transport raises RuntimeError.

    It ended 25 processes of a fleet in which open connections were reset.
    """
    assert uvloop.run(request_after_a_reset()).ok == b"second"
