"""Clients as stand-ins: send one request and note its answer."""

import asyncio
import time
from dataclasses import dataclass


@dataclass
class Reply:
    """What a client received.

    Parameters
    ----------
    status : int or None
        Status; None without a complete head.
    is_complete : bool
        Whether the answer was received up to its end.
    seconds : float
        From the sending to the end.
    end : str
        How it ended: `complete`, `closed` or `given up`.
    body : bytes
        Body, as far as it was received.
    """

    status: int | None
    is_complete: bool
    seconds: float
    end: str
    body: bytes = b""


class ClientConnection:
    """A client's connection, which is kept while the answers allow it.

    Parameters
    ----------
    gateway : GatewayProcess
        The machine that the platform has chosen.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._reader = None
        self._writer = None

    @property
    def is_kept(self):
        """Whether an earlier request was answered on the open connection."""
        return self._writer is not None

    async def send(self, data, wait_s):
        """Send a request and return the Reply."""
        sent_at = time.monotonic()
        status, body, end = None, b"", "closed"
        try:
            async with asyncio.timeout(wait_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._gateway.ip, self._gateway.front
                    )
                self._writer.write(data)
                status, headers = await self._read_head()
                body = await self._read_body(headers)
                end = "complete"
        except TimeoutError:
            end = "given up"
        except (OSError, asyncio.IncompleteReadError):
            pass
        if end != "complete" or headers.get("connection") == "close":
            self.close()
        elapsed = time.monotonic() - sent_at
        return Reply(status, end == "complete", elapsed, end, body)

    async def _read_head(self):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return int(lines[0].split(" ")[1]), headers

    async def _read_body(self, headers):
        if "content-length" in headers:
            return await self._reader.readexactly(int(headers["content-length"]))
        body = b""
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            body += (await self._reader.readexactly(size + 2))[:-2]
        await self._reader.readexactly(2)
        return body

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def send_once(gateway, data, wait_s):
    """Send a request on a new connection and return the Reply."""
    connection = ClientConnection(gateway)
    try:
        return await connection.send(data, wait_s)
    finally:
        connection.close()
