"""HTTP clients of the soak: they reuse connections and record every request."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from soak.manifest import API_KEYS, CLIENT_LIMITS, FLOODING_KEY
from tanagerwalk.standins.gateway_cluster import HOST, read_reply

REQUEST_DEADLINE_S = 4.0
CLIENT_TIMEOUT_S = REQUEST_DEADLINE_S + 2.0
MEAN_PAUSE_S = 0.03
LARGE_SHARE = 0.02
MAX_PADDING = CLIENT_LIMITS["max_body_bytes"] - 100
BURST_SIZE = 60
BURST_INTERVAL_S = 2.0
PIPELINED = 10
SLOW_PAUSE_S = 0.05
IDLE_CONNECTIONS = 60
FLOODING_CONNECTIONS = 40
FLOODING_PAUSE_S = 0.02
# Per kind: method, body and whether the request may run more than once.
REQUEST_KINDS = {
    "bookings": ("POST", b"slot", False),
    "jobs": ("GET", b"", True),
    "plans": ("POST", b"deed book", True),
}


@dataclass
class ClientRequest:
    """A request that a client sent, and its outcome as the client saw it.

    Parameters
    ----------
    id : str
        Attempt id, sent as a header and as the last part of the path.
    kind : str
        One of REQUEST_KINDS.
    key : str
        API key that was sent.
    gateway : str
        Name of the gateway that was called.
    sent_at : float
        Monotonic time of sending, in seconds.
    ended_at : float or None
        Monotonic time at which the reply was complete or the request failed.
    reply : Reply or None
        None if no reply arrived.
    padding : int
        Bytes by which the body is longer than usual.
    """

    id: str
    kind: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float | None = None
    reply: object = None
    padding: int = 0

    @property
    def body(self):
        """Body of the request."""
        return REQUEST_KINDS[self.kind][1] + b"x" * self.padding

    @property
    def target(self):
        """Path of the request."""
        return f"/{self.kind}/{self.id}"

    def encode(self):
        """Return the bytes of the request."""
        method, _, _ = REQUEST_KINDS[self.kind]
        body = self.body
        lines = [
            f"{method} {self.target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Tanagerwalk-Attempt-Id: {self.id}",
            f"X-Tanagerwalk-Deadline-Ms: {int(REQUEST_DEADLINE_S * 1000)}",
            f"X-Tanagerwalk-Key: {self.key}",
            f"Session: s-{int(self.id, 36) % 50}",
            f"Content-Length: {len(body)}",
        ]
        if self.kind == "plans":
            lines.append("X-Tanagerwalk-Model: *")
            lines.append("X-Tanagerwalk-Token-Count: 900,80")
            lines.append("X-Tanagerwalk-Prompt-Prefix: aa:500,bb:400")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Clients:
    """Clients that send random requests until they are cancelled.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose gateways are called.
    random : random.Random
        Chooses the kind and API key of each request, and the pauses.
    """

    def __init__(self, fleet, random):
        self._fleet = fleet
        self._random = random
        self._id_numbers = itertools.count(1)
        self.requests = []

    async def run(self, gateway):
        """Send requests to a gateway until cancelled; reconnect when needed."""
        streams = None
        while True:
            if streams is None:
                streams = await self._connect(gateway)
            if streams is not None and not await self._send_request(gateway, *streams):
                streams[1].transport.abort()
                streams = None
            await asyncio.sleep(MEAN_PAUSE_S * 2.0 * self._random.random())

    async def _connect(self, gateway):
        try:
            return await asyncio.open_connection(gateway.ip, gateway.client_port)
        except OSError:
            return None

    async def _send_request(self, gateway, reader, writer):
        """Send one request; return whether the connection can be reused."""
        request = self._make_request(gateway)
        writer.write(request.encode())
        return await self._read_reply(request, reader)

    def _make_request(self, gateway):
        """Return a recorded request, one in LARGE_SHARE with a large body."""
        is_large = self._random.random() < LARGE_SHARE
        return self._record(
            gateway,
            kind=self._random.choice(tuple(REQUEST_KINDS)),
            key=self._random.choice(API_KEYS),
            padding=self._random.randrange(MAX_PADDING) if is_large else 0,
        )

    def _record(self, gateway, **fields):
        request = ClientRequest(
            id=_encode_base36(next(self._id_numbers)),
            gateway=gateway.name,
            sent_at=time.monotonic(),
            **fields,
        )
        self.requests.append(request)
        return request

    async def run_flood(self, gateway):
        """Send requests of one account on many connections, until cancelled."""
        await asyncio.gather(
            *(self._repeat_plans(gateway) for _ in range(FLOODING_CONNECTIONS))
        )

    async def _repeat_plans(self, gateway):
        """Send one request after the other, on a new connection after a failure."""
        while True:
            await asyncio.sleep(FLOODING_PAUSE_S)
            streams = await self._connect(gateway)
            if streams is None:
                continue
            try:
                await self._repeat_on_connection(gateway, *streams)
            finally:
                streams[1].transport.abort()

    async def _repeat_on_connection(self, gateway, reader, writer):
        is_open = True
        while is_open:
            request = self._record(gateway, kind="plans", key=FLOODING_KEY)
            writer.write(request.encode())
            is_open = await self._read_reply(request, reader)
            await asyncio.sleep(FLOODING_PAUSE_S)

    async def run_bursts(self, gateway):
        """Send bursts of requests on connections of their own, until cancelled."""
        while True:
            await asyncio.sleep(BURST_INTERVAL_S * 2.0 * self._random.random())
            await asyncio.gather(
                *(self._send_alone(gateway) for _ in range(BURST_SIZE))
            )

    async def _send_alone(self, gateway):
        streams = await self._connect(gateway)
        if streams is not None:
            await self._send_request(gateway, *streams)
            streams[1].transport.abort()

    async def run_slow_reader(self, gateway):
        """Send many requests at once and read the replies slowly, until cancelled."""
        while True:
            await asyncio.sleep(SLOW_PAUSE_S)
            streams = await self._connect(gateway)
            if streams is None:
                continue
            reader, writer = streams
            requests = [self._make_request(gateway) for _ in range(PIPELINED)]
            writer.write(b"".join(request.encode() for request in requests))
            for request in requests:
                await asyncio.sleep(SLOW_PAUSE_S)
                if not await self._read_reply(request, reader):
                    break
            writer.transport.abort()

    async def run_idle(self, gateway):
        """Keep idle connections open until cancelled."""
        idle = []
        while True:
            idle = [s for s in idle if not s[0].at_eof() and not s[1].is_closing()]
            if len(idle) < IDLE_CONNECTIONS:
                idle += filter(None, [await self._connect(gateway)])
            await asyncio.sleep(0.0 if len(idle) < IDLE_CONNECTIONS else MEAN_PAUSE_S)

    async def _read_reply(self, request, reader):
        """Read a reply; return whether the connection can be reused."""
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                request.reply = await read_reply(reader)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        finally:
            request.ended_at = time.monotonic()
        closes = request.reply.headers.get("connection") == "close"
        return request.reply.complete and not closes


def _encode_base36(number):
    digits = "0123456789abcdefghijklmnopqrstuvwxyz"
    text = ""
    while number:
        number, digit = divmod(number, 36)
        text = digits[digit] + text
    return text
