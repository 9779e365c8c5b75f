"""Backend servers as stand-ins: sound ones, and a base for those with a fault."""

import asyncio
import json
from dataclasses import dataclass


@dataclass
class Request:
    """A request as an engine read it; header names in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def attempt_id(self):
        """The client's id of the attempt."""
        return self.headers.get("x-tanagerwalk-attempt-id", "")


class Engine:
    """A sound engine: answers plain requests and streams, one at a time a connection.

    Parameters
    ----------
    engine_id, ip : str
        Id and loopback address.
    record : Record
        Notes what is run.
    """

    EVENT_COUNT = 8
    EVENT_PAUSE_S = 0.05
    WORK_S = 0.03

    def __init__(self, engine_id, ip, record):
        self.id = engine_id
        self.record = record
        self.started = 0
        self.finished = 0
        self._ip = ip
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)

    @property
    def address(self):
        """`IP:PORT` of the engine."""
        return f"{self._ip}:{self._server.sockets[0].getsockname()[1]}"

    def build_entry(self, service, zone, slots=6, state="ready"):
        """Return key and value of the entry in the metadata store."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1780000000000,
        }
        return f"servers/{self.id}", json.dumps(entry).encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await self._read(reader)
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        pairs = (line.partition(":") for line in head[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(method, target, headers, body)

    async def answer(self, request, writer):
        """Run a request and write its answer."""
        self.started += 1
        self.record.write(f"engine {self.id} runs {request.attempt_id}")
        if "x-tanagerwalk-token-count" in request.headers:
            await self.answer_stream(request, writer)
        else:
            await self.answer_plain(request, writer)
        self.finished += 1

    async def answer_plain(self, request, writer):
        """Write a complete answer with a length."""
        await asyncio.sleep(self.WORK_S)
        body = f"{self.id} did {request.target}".encode().ljust(800, b".")
        length = f"Content-Length: {len(body)}"
        writer.write(self.encode_head(request, "200 OK", length) + body)
        await writer.drain()

    async def answer_stream(self, request, writer):
        """Write a stream of events in chunks."""
        writer.write(self.encode_stream_head(request))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.EVENT_COUNT + 1):
            await asyncio.sleep(self.EVENT_PAUSE_S)
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 60)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def encode_stream_head(self, request):
        """Return the head of a stream."""
        return self.encode_head(
            request,
            "200 OK",
            "Transfer-Encoding: chunked",
            "Content-Type: text/event-stream",
            "X-Tanagerwalk-Confidence: 100",
        )

    def encode_head(self, request, status, *lines):
        """Return the head of an answer to a request."""
        head = [
            f"HTTP/1.1 {status}",
            f"X-Tanagerwalk-Attempt-Id: {request.attempt_id}",
            f"X-Tanagerwalk-Instance-Id: {self.id}",
            f"X-Tanagerwalk-Response-Seal: {self.id}.{request.attempt_id}",
            *lines,
        ]
        return ("\r\n".join(head) + "\r\n\r\n").encode()
