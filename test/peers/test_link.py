"""The link between entry instances, with faults on the wire."""

import asyncio

import pytest
import pytest_asyncio

from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.frames import MAX_PAYLOAD_BYTES, Channel, FrameFault
from tanagerwalk.peers.link import LinkFault, MessageKind, PeerClient, PeerServer

SECRET = "shared"
KIND = MessageKind.EXCHANGE


class Relay:
    """Passes bytes between a client and a server and may change or repeat them."""

    def __init__(self, port):
        self.port = port
        self.change = lambda chunk: chunk
        self.sent = []

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self._pass(reader, far_writer, self._record),
            self._pass(far_reader, writer, lambda chunk: chunk),
        )

    def _record(self, chunk):
        chunk = self.change(chunk)
        self.sent.append(chunk)
        return chunk

    async def _pass(self, reader, writer, change):
        while chunk := await reader.read(65536):
            writer.write(change(chunk))
        writer.close()


@pytest_asyncio.fixture
async def server():
    async def echo(payload, sender):
        return sender.encode() + b":" + payload

    started = PeerServer(SECRET)
    started.handle(KIND, echo)
    await started.start("127.0.0.1", 0)
    yield started
    await started.stop()


@pytest_asyncio.fixture
async def client():
    made = PeerClient(SECRET, InstanceId("entry-1"), 2.0)
    yield made
    await made.close()


def locate(server):
    return f"127.0.0.1:{server.port}"


async def test_requests_are_answered_over_one_connection(server, client):
    for payload in (b"", b"one", b"x" * 100_000):
        result = await client.request(locate(server), KIND, payload)
        assert result.ok == b"entry-1:" + payload
    assert len(server._connections) == 1


async def test_slow_request_delays_no_other(server, client):
    release = asyncio.Event()

    async def wait(payload, sender):
        await release.wait()
        return payload

    server.handle(MessageKind.FETCH_DECLARATION, wait)
    slow = asyncio.create_task(
        client.request(locate(server), MessageKind.FETCH_DECLARATION, b"")
    )
    await asyncio.sleep(0)
    assert (await client.request(locate(server), KIND, b"")).is_ok()
    release.set()
    assert (await slow).is_ok()


async def test_request_survives_a_kept_connection_that_was_closed(server, client):
    assert (await client.request(locate(server), KIND, b"1")).is_ok()
    for task in list(server._connections):
        task.cancel()
    await asyncio.sleep(0)
    assert (await client.request(locate(server), KIND, b"2")).is_ok()


async def test_wrong_secret_is_refused(server):
    stranger = PeerClient("other", InstanceId("entry-2"), 2.0)
    result = await stranger.request(locate(server), KIND, b"")
    assert result.error is LinkFault.BROKEN
    assert server.dropped[FrameFault.NOT_AUTHENTIC] == 1


async def test_faults_are_values(server, client):
    async def fail(payload, sender):
        raise ValueError

    server.handle(MessageKind.DROP_BILLS, fail)
    big = b"x" * (MAX_PAYLOAD_BYTES + 1)
    address = locate(server)
    cases = (
        (address, MessageKind.DROP_BILLS, b"", LinkFault.FAILED),
        (address, MessageKind.FETCH_DECLARATION, b"", LinkFault.FAILED),
        (address, KIND, big, LinkFault.TOO_LARGE),
        ("127.0.0.1:1", KIND, b"", LinkFault.UNREACHABLE),
    )
    for where, kind, payload, fault in cases:
        assert (await client.request(where, kind, payload)).error is fault


def flip_last(chunk):
    return chunk[:-1] + bytes([chunk[-1] ^ 1])


@pytest.mark.parametrize("change", [flip_last, lambda chunk: chunk + chunk])
async def test_changed_or_repeated_frame_drops_the_connection(server, client, change):
    relay = Relay(server.port)
    address = await relay.start()
    assert (await client.request(address, KIND, b"first")).is_ok()
    relay.change = change
    await client.request(address, KIND, b"second")
    relay.change = lambda chunk: chunk
    assert server.dropped[FrameFault.NOT_AUTHENTIC] >= 1
    assert (await client.request(address, KIND, b"third")).ok == b"entry-1:third"
    relay.server.close()


async def test_recorded_connection_cannot_be_replayed(server, client):
    relay = Relay(server.port)
    address = await relay.start()
    assert (await client.request(address, KIND, b"once")).is_ok()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for chunk in relay.sent:
        writer.write(chunk)
    await reader.read()
    assert server.dropped[FrameFault.NOT_AUTHENTIC] == 1
    relay.server.close()


@pytest.mark.parametrize(
    ("content", "fault"),
    [
        (b"\xff" * 64, FrameFault.TOO_LARGE),
        (b"\x00" * 64, FrameFault.NOT_AUTHENTIC),
        (b"GET / HTTP/1.1\r\n\r\n", FrameFault.TOO_LARGE),
    ],
)
async def test_bad_bytes_are_counted(server, content, fault):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(content)
    await reader.read()
    assert server.dropped[fault] == 1


async def test_signed_hello_that_is_malformed_is_counted(server):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    Channel(reader, writer, SECRET).write(0, b"\xff\xff")
    await reader.read()
    assert server.dropped[FrameFault.MALFORMED] == 1
