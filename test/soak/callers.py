"""Clients of a soak: they keep their connections and remember what they saw."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from soak.fleet import KEYS
from tanagerwalk.standins.gateway_cluster import HOST, read_reply

DEADLINE_S = 4.0
GIVE_UP_S = DEADLINE_S + 2.0
PAUSE_S = 0.03
# Method, path, body and whether it may run more than once.
KINDS = {
    "bookings": ("POST", b"slot", False),
    "jobs": ("GET", b"", True),
    "plans": ("POST", b"deed book", True),
}


@dataclass
class Call:
    """One request of a client, and how it ended for the client.

    Parameters
    ----------
    id : str
        Attempt id.
    kind : str
        One of KINDS.
    key : str
        Key that was sent.
    sent_at : float
        Monotonic time of the sending, in seconds.
    reply : Reply or None
        None if no answer came.
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
        method, body, _ = KINDS[self.kind]
        lines = [
            f"{method} {self.target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Tanagerwalk-Attempt-Id: {self.id}",
            f"X-Tanagerwalk-Deadline-Ms: {int(DEADLINE_S * 1000)}",
            f"X-Tanagerwalk-Key: {self.key}",
            f"Session: s-{int(self.id, 36) % 50}",
            f"Content-Length: {len(body)}",
        ]
        if self.kind == "plans":
            lines.append("X-Tanagerwalk-Model: *")
            lines.append("X-Tanagerwalk-Token-Count: 900,80")
            lines.append("X-Tanagerwalk-Prompt-Prefix: aa:500,bb:400")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Callers:
    """Clients that call until they are stopped.

    Parameters
    ----------
    fleet : Fleet
        Whom they call.
    random : random.Random
        Chooses kinds and keys.
    """

    def __init__(self, fleet, random):
        self._fleet = fleet
        self._random = random
        self._numbers = itertools.count(1)
        self.calls = []

    async def run(self, gateway):
        """Call a gateway until cancelled, over one connection as long as it lasts."""
        streams = None
        while True:
            if streams is None:
                streams = await self._connect(gateway)
            if streams is not None and not await self._call(gateway, *streams):
                streams[1].transport.abort()
                streams = None
            await asyncio.sleep(PAUSE_S * 2.0 * self._random.random())

    async def _connect(self, gateway):
        try:
            return await asyncio.open_connection(gateway.ip, gateway.front)
        except OSError:
            return None

    async def _call(self, gateway, reader, writer):
        """Send one request; return whether the connection can go on."""
        call = Call(
            id=_encode_number(next(self._numbers)),
            kind=self._random.choice(tuple(KINDS)),
            key=self._random.choice(KEYS),
            gateway=gateway.name,
            sent_at=time.monotonic(),
        )
        self.calls.append(call)
        writer.write(call.encode())
        try:
            async with asyncio.timeout(GIVE_UP_S):
                call.reply = await read_reply(reader)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        finally:
            call.ended_at = time.monotonic()
        closes = call.reply.headers.get("connection") == "close"
        return call.reply.complete and not closes


def _encode_number(number):
    digits = "0123456789abcdefghijklmnopqrstuvwxyz"
    text = ""
    while number:
        number, digit = divmod(number, 36)
        text = digits[digit] + text
    return text
