"""What the HTTP library does by default and no session of ours may do.

Each test also sends over a default session: it has to show the trap there, else the
server here would prove nothing.
"""

import asyncio
import gzip
from contextlib import asynccontextmanager

import aiohttp
import pytest

from tanagerwalk.clients.engines import ChatAttempt, EngineClient
from tanagerwalk.clients.http import build_session, build_url
from tanagerwalk.clients.services import ServiceAttempt, ServiceClient
from tanagerwalk.settings import parse_settings

RETRIES = parse_settings("").ok.retries
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\n{}"
PACKED = gzip.compress(b"{}")


class Recorder:
    """Answers each request with the next of its answers; None hangs up.

    Parameters
    ----------
    answers : list of (bytes or None)
        Whole answers, in order.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.heads = []

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
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
async def record(*answers):
    recorder = Recorder(answers)
    server = await asyncio.start_server(recorder.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield recorder, f"127.0.0.1:{port}"
    finally:
        server.close()


@pytest.mark.parametrize(
    ("build", "arrivals"), [(build_session, 2), (aiohttp.ClientSession, 3)]
)
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_nothing_is_repeated_over_a_kept_connection_that_ends(
    build, arrivals, method
):
    """The server reads the second request and hangs up: it may have run it."""
    async with record(OK % b"", None) as (recorder, address), build() as http:
        await (await http.get(f"http://{address}/1")).read()
        try:
            await (await http.request(method, f"http://{address}/2")).read()
        except aiohttp.ClientError:
            assert build is build_session
        assert len(recorder.heads) == arrivals


@pytest.mark.parametrize(
    ("build", "added"), [(build_session, False), (aiohttp.ClientSession, True)]
)
async def test_no_header_is_added(build, added):
    async with record() as (recorder, address), build() as http:
        await http.get(f"http://{address}/")
        head = recorder.heads[0].lower()
    for name in (b"\r\naccept:", b"\r\naccept-encoding:", b"\r\nuser-agent:"):
        assert (name in head) is added


@pytest.mark.parametrize(
    ("build", "body"), [(build_session, PACKED), (aiohttp.ClientSession, b"{}")]
)
async def test_a_packed_body_stays_as_it_came(build, body):
    head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
    answer = head % len(PACKED) + PACKED
    async with record(answer) as (_, address), build() as http:
        response = await http.get(f"http://{address}/")
        assert await response.read() == body


@pytest.mark.parametrize(
    ("build", "sent"), [(build_session, False), (aiohttp.ClientSession, True)]
)
async def test_no_cookie_is_sent_back(build, sent):
    answer = OK % b"Set-Cookie: a=b\r\n"
    async with record(answer) as (recorder, address):
        host = f"http://{address}/"
        jar = {}
        if build is aiohttp.ClientSession:
            # By default only names keep cookies, not bare addresses.
            jar = {"cookie_jar": aiohttp.CookieJar(unsafe=True)}
        async with build(**jar) as http:
            await (await http.get(host)).read()
            await (await http.get(host)).read()
    assert (b"cookie: a=b" in recorder.heads[1].lower()) is sent


async def test_proxy_variables_are_not_followed(monkeypatch):
    async with record() as (proxy, proxy_address), record() as (server, address):
        monkeypatch.setenv("http_proxy", f"http://{proxy_address}")
        async with build_session() as http:
            await http.get(f"http://{address}/")
        async with aiohttp.ClientSession(trust_env=True) as http:
            await http.get(f"http://{address}/")
    assert len(server.heads) == 1
    assert len(proxy.heads) == 1


@pytest.mark.parametrize("path", ["/a%2fb", "/a%7Eb?q=%41", "/a'b"])
async def test_path_goes_out_byte_for_byte(path):
    async with record() as (recorder, address), build_session() as http:
        await http.get(build_url(address, path))
        assert recorder.heads[0].startswith(f"GET {path} HTTP/1.1".encode())


async def test_default_path_is_quoted_anew():
    async with record() as (recorder, address), aiohttp.ClientSession() as http:
        await http.get(f"http://{address}/a%7Eb?q=%41")
        assert recorder.heads[0].startswith(b"GET /a~b?q=A HTTP/1.1")


async def call_engine(http, address):
    async def take(text):
        del text

    attempt = ChatAttempt("a1", address, "m1", {"messages": []})
    return await EngineClient(http, RETRIES).complete(attempt, 2.0, take)


async def call_service(http, address):
    attempt = ServiceAttempt("a1", address, "lookup", {}, idempotent=True)
    return await ServiceClient(http, http, RETRIES).call(attempt, 2.0)


@pytest.mark.parametrize("call", [call_engine, call_service])
async def test_redirect_is_an_answer_and_is_not_followed(call):
    """A redirected request would run at a server that nobody chose."""
    async with record() as (other, elsewhere):
        location = b"Location: http://%s/\r\n" % elsewhere.encode()
        answer = b"HTTP/1.1 307 Away\r\n%sContent-Length: 0\r\n\r\n" % location
        async with record(answer) as (_, address), build_session() as http:
            await call(http, address)
    assert not other.heads
