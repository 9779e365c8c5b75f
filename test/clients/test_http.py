"""Default behavior of aiohttp that sessions of the router must not have.

The tests also send over a default session, which must show the unwanted behavior;
otherwise the test server could not detect it.
"""

import asyncio
import gzip
from contextlib import asynccontextmanager

import aiohttp
import pytest

from tanagerwalk.clients.engines import ChatAttempt, EngineClient
from tanagerwalk.clients.http import (
    MAX_BODY_BYTES,
    build_session,
    build_url,
    read_body,
)
from tanagerwalk.clients.services import ServiceAttempt, ServiceClient
from tanagerwalk.settings import parse_settings
from tanagerwalk.standins.addresses import find_address

RETRIES = parse_settings("").ok.retries
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\n{}"
GZIPPED_BODY = gzip.compress(b"{}", mtime=0)


class Recorder:
    """Records requests and sends prepared responses; None closes the connection.

    Parameters
    ----------
    answers : list of (bytes or None)
        Complete responses, in order; an empty 200 response follows the last one.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.heads = []

    async def serve(self, reader, writer):
        """Serve one connection."""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.heads.append(head)
            answer = self.answers.pop(0) if self.answers else OK % b""
            if answer is None:
                break
            writer.write(answer)
        writer.close()


@asynccontextmanager
async def run_recorder(*answers):
    recorder = Recorder(answers)
    server = await asyncio.start_server(recorder.serve, find_address(), 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield recorder, f"{find_address()}:{port}"
    finally:
        server.close()


@pytest.mark.parametrize(
    ("build", "expected_requests"), [(build_session, 2), (aiohttp.ClientSession, 3)]
)
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_no_request_is_repeated_when_a_keep_alive_connection_closes(
    build, expected_requests, method
):
    """The server closes after reading the second request, so it may have run it."""
    async with run_recorder(OK % b"", None) as (recorder, address), build() as http:
        await (await http.get(f"http://{address}/1")).read()
        try:
            await (await http.request(method, f"http://{address}/2")).read()
        except aiohttp.ClientError:
            assert build is build_session
        assert len(recorder.heads) == expected_requests


@pytest.mark.parametrize(
    ("build", "added"), [(build_session, False), (aiohttp.ClientSession, True)]
)
async def test_no_header_is_added(build, added):
    async with run_recorder() as (recorder, address), build() as http:
        await http.get(f"http://{address}/")
        head = recorder.heads[0].lower()
    for name in (b"\r\naccept:", b"\r\naccept-encoding:", b"\r\nuser-agent:"):
        assert (name in head) is added


@pytest.mark.parametrize(
    ("build", "body"), [(build_session, GZIPPED_BODY), (aiohttp.ClientSession, b"{}")]
)
async def test_compressed_body_is_not_decompressed(build, body):
    head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
    answer = head % len(GZIPPED_BODY) + GZIPPED_BODY
    async with run_recorder(answer) as (_, address), build() as http:
        response = await http.get(f"http://{address}/")
        assert await response.read() == body


@pytest.mark.parametrize(
    ("build", "sent"), [(build_session, False), (aiohttp.ClientSession, True)]
)
async def test_no_cookie_is_sent_back(build, sent):
    answer = OK % b"Set-Cookie: a=b\r\n"
    async with run_recorder(answer) as (recorder, address):
        host = f"http://{address}/"
        jar = {}
        if build is aiohttp.ClientSession:
            # By default aiohttp ignores cookies from hosts that are IP addresses.
            jar = {"cookie_jar": aiohttp.CookieJar(unsafe=True)}
        async with build(**jar) as http:
            await (await http.get(host)).read()
            await (await http.get(host)).read()
    assert (b"cookie: a=b" in recorder.heads[1].lower()) is sent


async def test_proxy_environment_variables_are_ignored(monkeypatch):
    async with (
        run_recorder() as (proxy, proxy_address),
        run_recorder() as (server, address),
    ):
        monkeypatch.setenv("http_proxy", f"http://{proxy_address}")
        async with build_session() as http:
            await http.get(f"http://{address}/")
        async with aiohttp.ClientSession(trust_env=True) as http:
            await http.get(f"http://{address}/")
    assert len(server.heads) == 1
    assert len(proxy.heads) == 1


@pytest.mark.parametrize("path", ["/a%2fb", "/a%7Eb?q=%41", "/a'b"])
async def test_path_is_sent_unchanged(path):
    async with run_recorder() as (recorder, address), build_session() as http:
        await http.get(build_url(address, path))
        assert recorder.heads[0].startswith(f"GET {path} HTTP/1.1".encode())


async def test_default_session_requotes_path():
    async with run_recorder() as (recorder, address), aiohttp.ClientSession() as http:
        await http.get(f"http://{address}/a%7Eb?q=%41")
        assert recorder.heads[0].startswith(b"GET /a~b?q=A HTTP/1.1")


async def call_engine(http, address):
    async def ignore_text(text):
        del text

    attempt = ChatAttempt("a1", address, "m1", {"messages": []})
    return await EngineClient(http, RETRIES).complete(attempt, 2.0, ignore_text)


async def call_service(http, address):
    attempt = ServiceAttempt("a1", address, "lookup", {}, idempotent=True)
    return await ServiceClient(http, http, RETRIES).call(attempt, 2.0)


@pytest.mark.parametrize("call", [call_engine, call_service])
async def test_redirect_is_not_followed(call):
    """A redirect would run the request on a server that the router did not choose."""
    async with run_recorder() as (other, other_address):
        location = b"Location: http://%s/\r\n" % other_address.encode()
        answer = b"HTTP/1.1 307 Away\r\n%sContent-Length: 0\r\n\r\n" % location
        async with run_recorder(answer) as (_, address), build_session() as http:
            await call(http, address)
    assert not other.heads


# Guards against a body without end that fills the memory of an entry instance.
async def test_body_without_end_is_given_up():
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(chunk)
            sent += len(chunk)
            await writer.drain()

    server = await asyncio.start_server(serve, find_address(), 0)
    address = f"{find_address()}:{server.sockets[0].getsockname()[1]}"
    async with build_session() as http:
        with pytest.raises(aiohttp.ClientPayloadError):
            async with http.get(build_url(address, "/")) as response:
                await read_body(response)
    server.close()
    assert sent <= 2 * MAX_BODY_BYTES
