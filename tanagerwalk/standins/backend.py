"""Stand-in for the users' backend servers: plain services and model engines."""

import asyncio
import contextlib
import json
import socket
import struct
import time
from dataclasses import dataclass, field

import httptools

from .addresses import find_address
from .behaviours import ENDLESS_STARTS, STALL_INTERVAL_S, STALL_PIECES, Behaviour
from .coldness import Coldness
from .places import DEFAULT_PRIORITY
from .silence import accept_packets, drop_packets

EVENT_COUNT = 5
CRASH_DELAY_S = 0.03
HEALTH_PATH = "/health"
MS_PER_S = 1000.0


@dataclass(slots=True)
class ReceivedRequest:
    """A request as the backend server received it; header names in lower case.

    `received_at` is a monotonic time in seconds.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    cancelled: bool = False
    finished: bool = False
    rejected: bool = False
    received_at: float = field(default_factory=time.monotonic)


class BackendStandIn:
    """A backend server that records its requests and can inject faults.

    Parameters
    ----------
    server_id : str
        Id of the server.
    ip : str or None
        Loopback address to listen on; None for that of all stand-ins.
    places : Places or None
        Slots and queue; None for a server that takes any number of requests.

    Attributes
    ----------
    falls : list of float
        Monotonic times at which the server fell over, in seconds.
    is_down : bool
        Whether it has fallen over and not started again.
    cut_off : int
        Number of requests under way that its falls have cut off.
    coldness : Coldness
        Whether it is cold, and what it bears then.
    """

    def __init__(self, server_id, ip=None, places=None):
        self.id = server_id
        self._ip = ip or find_address()
        self.places = places
        self.falls = []
        self.is_down = False
        self.cut_off = 0
        self.coldness = Coldness()
        self._port = 0
        self._born = 1
        self.behaviour = Behaviour()
        self.requests = []
        self.endless_bytes = 0
        self.connections = set()
        self.has_crashed = False
        self._server = None

    async def start(self):
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), self._ip, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """`IP:port` of the server."""
        return f"{self._ip}:{self._port}"

    def build_entry(self, service, zone, version="v1", state="ready"):
        """Return the key and the value of the server's entry in the metadata store."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": version,
            "slots": 8 if self.places is None else self.places.slots,
            "state": state,
            "cold_left_ms": round(self.coldness.find_remaining_time() * MS_PER_S),
            "sequence": 1,
            "born": self._born,
        }
        return f"servers/{self.id}", json.dumps(entry).encode()

    async def stop(self):
        """Stop listening and abort the open connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def fall_silent(self):
        """Answer no packet, of connections that are opened now neither."""
        for sock in self._find_sockets():
            drop_packets(sock)

    def end_silence(self):
        """Answer packets again."""
        for sock in self._find_sockets():
            accept_packets(sock)

    def _find_sockets(self):
        transports = [connection.transport for connection in self.connections]
        accepted = [each.get_extra_info("socket") for each in transports]
        return [*self._server.sockets, *accepted]

    async def crash(self):
        """End as a process does that crashes: all connections break off."""
        self.has_crashed = True
        await self.stop()

    async def fall(self, seconds):
        """Fall over, and start again after some seconds, at the same address.

        Returns
        -------
        bool
            False if it is down already.
        """
        if self.is_down:
            return False
        self.is_down = True
        self.falls.append(time.monotonic())
        self.cut_off += sum(each.is_under_way for each in self.connections)
        await self.stop()
        await asyncio.sleep(seconds)
        if self.places is not None:
            self.places.clear()
        self._born += 1
        self.coldness.begin_start()
        await self.start()
        self.is_down = False
        return True

    @property
    def load(self):
        """Load as the server reports it."""
        slowdown = self.behaviour.slowdown
        if slowdown is None:
            return self.places.load
        return f"{self.places.load},{slowdown * 100:.0f}"

    def take_fault(self):
        """Return the fault for the next request and count it against `times`."""
        behaviour = self.behaviour
        if behaviour.times == 0:
            return ""
        if behaviour.times > 0:
            behaviour.times -= 1
        return behaviour.fault


class _Connection(asyncio.Protocol):
    def __init__(self, server):
        self.server = server
        self.transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._task = None
        self._request = None
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def is_under_way(self):
        """Whether a request other than a health check waits for its answer."""
        if self._task is None or self._task.done():
            return False
        return self._request.target != HEALTH_PATH

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        if self._task is None or self._task.done():
            return
        self._request.cancelled = True
        if not self.server.behaviour.keeps_abandoned:
            self._task.cancel()

    def data_received(self, data):
        self._parser.feed_data(data)

    def on_message_begin(self):
        self._request = ReceivedRequest("", "", {})

    def on_url(self, url):
        self._request.target += url.decode()

    def on_header(self, name, value):
        self._request.headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        unread = self.server.behaviour.unread
        if unread and "content-length" in self._request.headers:
            self.transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(unread, self.transport.resume_reading)

    def on_body(self, data):
        self._request.body += data

    def on_message_complete(self):
        self._request.method = self._parser.get_method().decode()
        self.server.requests.append(self._request)
        if self._request.target != HEALTH_PATH:
            self.server.coldness.take()
        self._task = asyncio.get_running_loop().create_task(self._answer(self._request))

    async def _answer(self, request):
        places = self.server.places
        if places is None:
            await self._answer_at_once(request)
            return
        priority = request.headers.get("x-tanagerwalk-request-priority")
        if not await places.enter(
            DEFAULT_PRIORITY if priority is None else int(priority)
        ):
            request.rejected = True
            headers = _NOT_EXECUTED_HEADERS
            self._write(request, "503 Service Unavailable", b"", headers)
            return
        try:
            await self._answer_at_once(request)
        finally:
            places.leave()

    async def _answer_at_once(self, request):
        fault = self.server.take_fault()
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "reset":
            self.transport.abort()
            return
        if fault in ENDLESS_STARTS:
            await self._write_endlessly(request, fault)
        if fault == "late_refuse":
            await asyncio.sleep(self.server.behaviour.delay)
            fault = "refuse"
        if fault == "late":
            await asyncio.sleep(self.server.behaviour.pause)
        request.rejected = fault in ("refuse", "misdirect")
        if fault == "refuse":
            headers = list(_NOT_EXECUTED_HEADERS)
            if self.server.behaviour.retry_after:
                headers.append(f"Retry-After: {self.server.behaviour.retry_after}")
            self._write(request, "503 Service Unavailable", b"", headers)
        elif fault == "misdirect":
            self._write(request, "421 Misdirected Request", b"", [])
        elif fault == "raw":
            attempt_id = request.headers["x-tanagerwalk-attempt-id"].encode()
            self.transport.write(self.server.behaviour.raw.replace(b"@id", attempt_id))
            if b"connection: close" in self.server.behaviour.raw:
                self.transport.close()
        elif fault == "contradictory":
            self._write(request, "200 OK", b"done", _NOT_EXECUTED_HEADERS)
        elif fault == "two_ids":
            headers = [*_NOT_EXECUTED_HEADERS, "X-Tanagerwalk-Attempt-Id: other"]
            self._write(request, "503 Service Unavailable", b"", headers)
            self.transport.close()
        elif fault == "error":
            self._write(request, "500 Internal Server Error", b"broken")
        elif fault == "paused_error":
            await self._answer_paused_error(request)
        elif fault == "redirect":
            self._write(request, "302 Found", b"", ["Location: /elsewhere/"])
        elif "x-tanagerwalk-token-count" in request.headers:
            await self._stream(request, fault)
        else:
            await self._answer_plain(request, fault)
        request.finished = True

    async def _write_endlessly(self, request, fault):
        """Send bytes as fast as they are taken, until the connection is closed."""
        head = self._encode_head(request, "200 OK", ["Transfer-Encoding: chunked"])
        start, filler = ENDLESS_STARTS[fault]
        self.transport.write(head[: -len(b"\r\n")] + start)
        while not self.transport.is_closing():
            self.transport.write(filler)
            self.server.endless_bytes += len(filler)
            await asyncio.sleep(0)
            await self._writable.wait()

    async def _answer_plain(self, request, fault):
        await asyncio.sleep(self.server.behaviour.step_time)
        body = f"{self.server.id} did {request.target}".encode()
        if fault == "foreign":
            other = ReceivedRequest("GET", "/", {"x-tanagerwalk-attempt-id": "other"})
            self._write(other, "200 OK", b"not yours")
        if fault.startswith("unframed"):
            self.transport.write(self._encode_head(request, "200 OK", []) + body)
            await asyncio.sleep(0.01)
            if fault == "unframed_reset":
                self._reset()
            else:
                self.transport.close()
            return
        self._write(request, "200 OK", body, signed=fault != "unsigned")
        if fault == "extra":
            self._write(request, "200 OK", b"nobody's")

    async def _answer_paused_error(self, request):
        status = "500 Internal Server Error"
        head = self._encode_head(request, status, ["Content-Length: 6"])
        self.transport.write(head + b"bro")
        await asyncio.sleep(self.server.behaviour.pause)
        self.transport.write(b"ken")

    def _reset(self):
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    async def _stream(self, request, fault):
        model = request.headers.get("x-tanagerwalk-model", "")
        first = int(request.headers.get("last-event-id", "0")) + 1
        confidence = self.server.behaviour.confidence.get(model, 100)
        extra = [
            "Transfer-Encoding: chunked",
            "Content-Type: text/event-stream",
            f"X-Tanagerwalk-Confidence: {confidence}",
        ]
        if self.server.places is None:
            extra.append("X-Tanagerwalk-Engine-Load: 1,0,8")
        self.transport.write(self._encode_head(request, "200 OK", extra))
        if self._crashes_on(request):
            await asyncio.sleep(CRASH_DELAY_S)
            await self.server.crash()
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(self.server.behaviour.step_time)
            if fault == "cut" and number == 3:
                self.transport.abort()
                return
            if number == 3:
                await self._pause(fault)
            if fault in STALL_PIECES and number == 3:
                await self._stall(STALL_PIECES[fault])
                return
            event = f"id: {number}\ndata: {model} token {number}\n\n".encode()
            if fault == "torn" and number == 3:
                self._write_chunk(event[:9])
                await asyncio.sleep(0.01)
                self.transport.abort()
                return
            self._write_chunk(event)
        self.transport.write(b"0\r\n\r\n")

    async def _pause(self, fault):
        pause = self.server.behaviour.pause
        if fault == "paused":
            await asyncio.sleep(pause)
        if fault == "paused_events":
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._stall(STALL_PIECES["stalled_comments"])

    async def _stall(self, piece):
        while not self.transport.is_closing():
            self._write_chunk(piece)
            await asyncio.sleep(STALL_INTERVAL_S)

    def _crashes_on(self, request):
        part = self.server.behaviour.crashing_part
        prefix = request.headers.get("x-tanagerwalk-prompt-prefix", "")
        ids = [entry.partition(":")[0] for entry in prefix.split(",")]
        return bool(part) and part in ids[:-1]

    def _write_chunk(self, data):
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _write(self, request, status, body, extra=(), signed=True):
        lines = [*extra, f"Content-Length: {len(body)}"]
        head = self._encode_head(request, status, lines, signed)
        self.transport.write(head + body)

    def _encode_head(self, request, status, lines, signed=True):
        attempt_id = request.headers.get("x-tanagerwalk-attempt-id", "")
        head = [f"HTTP/1.1 {status}", f"X-Tanagerwalk-Attempt-Id: {attempt_id}", *lines]
        if self.server.behaviour.is_leaving:
            head.append("Server-Leaving: 1")
        if self.server.behaviour.limit:
            head.append(f"Server-Limit: {self.server.behaviour.limit}")
        if self.server.behaviour.brittle:
            head.append(f"Server-Brittle: {self.server.behaviour.brittle}")
        cold_left = self.server.coldness.find_remaining_time()
        if request.target == HEALTH_PATH and cold_left > 0.0:
            head.append(f"X-Tanagerwalk-Cold-Ms: {round(cold_left * MS_PER_S)}")
        if self.server.places is not None:
            head.append(f"X-Tanagerwalk-Engine-Load: {self.server.load}")
        if signed:
            head.append(f"X-Tanagerwalk-Response-Seal: {self.server.id}.{attempt_id}")
        return ("\r\n".join(head) + "\r\n\r\n").encode()


_NOT_EXECUTED_HEADERS = ["X-Tanagerwalk-Not-Executed: 1"]
