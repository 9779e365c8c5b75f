"""HTTP clients of the soak: they reuse connections and record every request."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from soak.fleet import API_KEYS
from tanagerwalk.standins.gateway_cluster import HOST, read_reply

REQUEST_DEADLINE_S = 4.0
CLIENT_TIMEOUT_S = REQUEST_DEADLINE_S + 2.0
MEAN_PAUSE_S = 0.03
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
    """

    id: str
    kind: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float | None = None
    reply: object = None

    @property
    def target(self):
        """Path of the request."""
        return f"/{self.kind}/{self.id}"

    def encode(self):
        """Return the bytes of the request."""
        method, body, _ = REQUEST_KINDS[self.kind]
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
        request = ClientRequest(
            id=_encode_base36(next(self._id_numbers)),
            kind=self._random.choice(tuple(REQUEST_KINDS)),
            key=self._random.choice(API_KEYS),
            gateway=gateway.name,
            sent_at=time.monotonic(),
        )
        self.requests.append(request)
        writer.write(request.encode())
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
