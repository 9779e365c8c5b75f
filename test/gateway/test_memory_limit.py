"""Memory of a gateway process stays below its limit, whatever lawful clients do."""

import asyncio
import resource
import socket
from collections import Counter
from contextlib import asynccontextmanager

import pytest
from gateway_process import GatewayProcessRig

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import API_KEY, HOST, read_reply

pytestmark = pytest.mark.serial

MEMORY_LIMIT_MB = 150
BODY_BYTES = 4 * 1024 * 1024
MANIFEST = {
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": 1500,
        "idle_timeout_ms": 1000,
    }
}
BODY = b"x" * BODY_BYTES
ANSWER_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Tanagerwalk-Attempt-Id: @id\r\n"
    b"X-Tanagerwalk-Response-Seal: s\r\nContent-Length: %d\r\n\r\n"
)
SMALL_REQUESTS = 20


def encode_head(number, method, path, *lines):
    fields = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Tanagerwalk-Attempt-Id: try-{number}",
        "X-Tanagerwalk-Deadline-Ms: 4000",
        f"X-Tanagerwalk-Key: {API_KEY}",
        *lines,
    ]
    return ("\r\n".join(fields) + "\r\n\r\n").encode()


def encode_answer(size):
    return ANSWER_HEAD % size + b"x" * size


def limit_address_space():
    size = MEMORY_LIMIT_MB * 1000000
    resource.setrlimit(resource.RLIMIT_AS, (size, size))


@asynccontextmanager
async def run_process(folder, preexec=None):
    process = GatewayProcessRig(folder, MEMORY_LIMIT_MB, manifest=MANIFEST)
    process.preexec = preexec
    async with process as rig:
        try:
            yield rig
        finally:
            assert rig.process.returncode is None
            assert "Traceback" not in rig.log
            assert rig.read_memory_mb("VmHWM") < MEMORY_LIMIT_MB


async def send_booking(rig, number, body):
    """Send a request that must not be repeated; return the Reply."""
    reader, writer = await rig.connect()
    length = f"Content-Length: {len(body)}"
    writer.write(encode_head(number, "POST", "/bookings/7", length))
    writer.write(body)
    try:
        return await read_reply(reader)
    finally:
        writer.transport.abort()


async def open_stalled_reader(rig, requests):
    """Send requests on a connection with a small window whose answers stay unread."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await loop.sock_connect(sock, (rig.ip, rig.ports["front"]))
    await loop.sock_sendall(sock, requests)
    return sock


async def serve_small_requests(rig):
    """Return the statuses of small requests that come one after another."""
    sends = []
    for number in range(SMALL_REQUESTS):
        send = send_booking(rig, f"small-{number}", b"slot")
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(0.02)
    return Counter(reply.status for reply in await asyncio.gather(*sends))


async def read_gauge(rig, name):
    for line in (await rig.fetch_metrics()).splitlines():
        if line.startswith(f"tanagerwalk_gateway_{name} "):
            return float(line.split()[1])
    return None


async def is_memory_unused(rig):
    return await read_gauge(rig, "memory_used_bytes") == 0.0


async def wait_until_unused(rig):
    for _ in range(80):
        if await is_memory_unused(rig):
            return True
        await asyncio.sleep(0.1)
    return False


def count_runs(rig):
    """Return how often each request has reached a server, by attempt id."""
    return Counter(
        request.headers["x-tanagerwalk-attempt-id"]
        for server in rig.servers
        for request in server.requests
    )


# Guards against bodies in flight that add up: 60 of 4 MB took 676 MB.
async def test_large_bodies_at_once_stay_below_the_limit(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.4)
        sends = [send_booking(rig, number, BODY) for number in range(60)]
        small = asyncio.create_task(serve_small_requests(rig))
        replies = await asyncio.gather(*sends)
        assert await small == {200: SMALL_REQUESTS}
        statuses = Counter(reply.status for reply in replies)
        assert statuses[200] + statuses[503] == 60
        assert statuses[200] >= 5
        runs = count_runs(rig)
        for number, reply in enumerate(replies):
            assert runs[f"try-{number}"] == (reply.status == 200)
            if reply.status == 503:
                assert 0.0 < float(reply.headers["retry-after"]) < 2.0
            if b"no memory" in reply.body:
                assert reply.headers["connection"] == "close"
        assert await wait_until_unused(rig)
        assert "memory full" in rig.log
        assert "memory has room again" in rig.log
        assert 'refusals_total{reason="memory_full"}' in await rig.fetch_metrics()


# Guards against a process that keeps what it had at a peak: 344 of 362 MB stayed.
async def test_memory_is_given_back_after_a_peak(tmp_path):
    async with run_process(tmp_path) as rig:
        idle = rig.read_memory_mb()
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.3)
        sizes = [60000] * 200 + [BODY_BYTES] * 8
        sends = [send_booking(rig, n, BODY[:size]) for n, size in enumerate(sizes)]
        await asyncio.gather(*sends)
        assert rig.read_memory_mb("VmHWM") > idle + 20
        assert await poll_until(lambda: rig.read_memory_mb() < idle + 12, 0.1, 4.0)


# Guards against bodies that stop arriving: 150 at 3.9 of 4 MB took 607 MB.
async def test_bodies_that_stop_stay_below_the_limit(tmp_path):
    async with run_process(tmp_path) as rig:
        writers = []
        head = encode_head(
            "stop", "POST", "/bookings/7", f"Content-Length: {len(BODY)}"
        )
        for _ in range(150):
            _, writer = await rig.connect()
            writer.write(head)
            writer.write(BODY[:-100000])
            writers.append(writer)
        assert await serve_small_requests(rig) == {200: SMALL_REQUESTS}
        assert await wait_until_unused(rig)
        assert count_runs(rig)["stop"] == 0
        for writer in writers:
            writer.transport.abort()


# Guards against chunks of one byte, which took more than 40 bytes of memory each.
async def test_body_in_tiny_chunks_is_counted_for_what_it_takes(tmp_path):
    size = 256 * 1024
    async with run_process(tmp_path) as rig:
        reader, writer = await rig.connect()
        idle = rig.read_memory_mb()
        coding = "Transfer-Encoding: chunked"
        writer.write(encode_head("tiny", "POST", "/bookings/7", coding))
        writer.write(b"1\r\nx\r\n" * size + b"0\r\n\r\n")
        assert (await read_reply(reader)).status == 200
        writer.close()
        bodies = [request.body for s in rig.servers for request in s.requests]
        assert bodies == [b"x" * size]
        assert rig.read_memory_mb("VmHWM") < idle + 6


# Guards against heads of many small headers, which take twenty times their bytes.
async def test_unfinished_heads_stay_below_the_limit(tmp_path):
    async with run_process(tmp_path) as rig:
        writers = []
        for number in range(400):
            head = encode_head(number, "POST", "/bookings/7")[:-2]
            _, writer = await rig.connect()
            writer.write(head)
            writers.append(writer)
        await asyncio.sleep(0.1)
        for writer in writers:
            writer.write(b"".join(b"a%d:b\r\n" % n for n in range(1700)))
        assert await serve_small_requests(rig) == {200: SMALL_REQUESTS}
        assert await wait_until_unused(rig)
        for writer in writers:
            writer.transport.abort()


# Guards against answers that add up while their clients don't read: 200 answers of
# 2 MB took 307 MB.
async def test_unread_answers_stay_below_the_limit(tmp_path):
    async with run_process(tmp_path) as rig:
        answer = encode_answer(2000000)
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=answer)
        socks = [
            await open_stalled_reader(rig, encode_head(n, "GET", "/jobs/1"))
            for n in range(200)
        ]
        await poll_until(lambda: len(count_runs(rig)) == 200, 0.05, 5.0)
        for server in rig.servers:
            server.behaviour = Behaviour()
        assert await serve_small_requests(rig) == {200: SMALL_REQUESTS}
        # Once they read, each gets all of it, however late.
        first = await asyncio.wait_for(_read_all(socks[0], 2000000), 5.0)
        assert first.endswith(b"\r\n\r\n" + b"x" * 2000000)
        for sock in socks:
            sock.close()
        assert await wait_until_unused(rig)


async def _read_all(sock, body_size):
    """Return an answer up to its last byte, or what came before the connection's end.

    The body has no empty line.
    """
    loop = asyncio.get_running_loop()
    received = bytearray()
    while len(received.rpartition(b"\r\n\r\n")[2]) < body_size:
        data = await loop.sock_recv(sock, 1 << 20)
        if not data:
            break
        received += data
    return received


# Guards against a client that pipelines requests and reads no answer: 14 MB more for
# each 30 answers of 500 kB, without end.
async def test_pipelined_requests_wait_until_answers_are_read(tmp_path):
    async with run_process(tmp_path) as rig:
        idle = rig.read_memory_mb()
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=encode_answer(500000))
        requests = [encode_head(n, "GET", "/jobs/1") for n in range(60)]
        reader, writer = await rig.connect()
        writer.write(b"".join(requests))
        await asyncio.sleep(1.0)
        assert rig.read_memory_mb("VmHWM") < idle + 12
        assert len(count_runs(rig)) < 40
        # Once they are read, all requests are answered, in order.
        async with asyncio.timeout(8.0):
            replies = [await read_reply(reader) for _ in requests]
        ids = [reply.headers["x-tanagerwalk-attempt-id"] for reply in replies]
        assert ids == [f"try-{number}" for number in range(60)]
        assert {len(reply.body) for reply in replies} == {500000}
        writer.close()


# Guards against readers that stopped for good and hold memory without end.
async def test_client_that_never_reads_is_reset_once_its_own_time_is_over(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=encode_answer(8000000))
        # It waits for 2 s, which is longer than the idle timeout.
        request = encode_head(1, "GET", "/jobs/1").replace(b": 4000", b": 2000")
        sock = await open_stalled_reader(rig, request)
        await asyncio.sleep(1.5)
        assert await read_gauge(rig, "stalled_readers_total") == 0.0
        assert await wait_until_unused(rig)
        assert await read_gauge(rig, "stalled_readers_total") == 1.0
        assert "stalled reader reset" in rig.log
        sock.close()


@pytest.mark.parametrize("fault", ["reset", "error", "refuse", "silent", "unsigned"])
async def test_memory_is_released_however_a_request_ends(tmp_path, fault):
    """Guards against reservations that outlive their requests."""
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour(fault)
        writers = []
        body = b"x" * 60000
        for number in range(12):
            path = "/jobs/1" if number % 2 else "/bookings/1"
            length = f"Content-Length: {len(body)}"
            _, writer = await rig.connect()
            writer.write(encode_head(number, "POST", path, length) + body)
            writers.append(writer)
        await asyncio.sleep(0.3)
        for writer in writers:
            writer.transport.abort()
        assert await wait_until_unused(rig)


# Guards against a body that stops behind other requests of its connection: its limit
# of time was dropped when the next of them was handled, and it stayed for ever.
async def test_body_that_stops_behind_other_requests_ends_in_time(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.2)
        reader, writer = await rig.connect()
        heads = [encode_head(number, "GET", "/jobs/1") for number in range(2)]
        last = encode_head("last", "POST", "/jobs/1", "Content-Length: 90000")
        writer.write(b"".join(heads) + last + b"x" * 80000)
        async with asyncio.timeout(4.0):
            replies = [await read_reply(reader) for _ in range(3)]
        assert [reply.status for reply in replies] == [200, 200, 408]
        assert await wait_until_unused(rig)
        writer.close()


# Guards against answers of more than the whole budget at once: none may be cut.
async def test_answers_beyond_the_budget_are_all_delivered(tmp_path):
    size = 8000000
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=encode_answer(size))

        async def fetch(number):
            reader, writer = await rig.connect()
            writer.write(encode_head(number, "GET", "/jobs/1"))
            reply = await read_reply(reader)
            writer.close()
            return reply.status, len(reply.body)

        replies = await asyncio.gather(*(fetch(number) for number in range(20)))
        assert replies == [(200, size)] * 20
        assert await wait_until_unused(rig)


# Guards against a limit of the address space, beyond which allocations fail and a
# library may end the process: with 300 bodies of 60 kB it ended by SIGSEGV.
async def test_process_lives_within_a_limit_of_the_address_space(tmp_path):
    async with run_process(tmp_path, limit_address_space) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.3)
        sizes = [60000] * 300 + [BODY_BYTES] * 30
        sends = [send_booking(rig, n, BODY[:size]) for n, size in enumerate(sizes)]
        replies = await asyncio.gather(*sends)
        runs = count_runs(rig)
        for number, reply in enumerate(replies):
            assert reply.status in (200, 429, 503)
            assert runs[f"try-{number}"] == (reply.status == 200)
        assert sum(reply.status == 200 for reply in replies[:300]) > 100
        assert await serve_small_requests(rig) == {200: SMALL_REQUESTS}
        assert await wait_until_unused(rig)
