"""Loopback proxy whose connections can be harmed from outside."""

import asyncio
from contextlib import suppress
from enum import Enum

ADDRESS = "127.0.0.1"
CHUNK_BYTES = 65536
DELAY_S = 0.15


class Harm(Enum):
    """What a link does to the bytes that pass."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    NO_REPLIES = "no_replies"
    NO_REQUESTS = "no_requests"


DIRECTIONS = {Harm.NO_REQUESTS: True, Harm.NO_REPLIES: False}


class HarmedLink:
    """Forwards TCP connections to a target, and harms them as it is told.

    Bytes that were held back while a direction was cut are lost for good, so that the
    connection stays dead, as after a partition.

    Parameters
    ----------
    target : str
        `IP:port` to forward to.
    """

    def __init__(self, target):
        self._host, _, self._port = target.rpartition(":")
        self._server = None
        self._writers = set()
        self.harm = Harm.NONE
        self.address = ""

    async def start(self):
        """Listen; `address` then holds `IP:port`."""
        self._server = await asyncio.start_server(self._accept, ADDRESS, 0)
        self.address = f"{ADDRESS}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Refuse connections and break those that are open."""
        self._server.close()
        self.reset()

    def reset(self):
        """Break every connection."""
        for writer in self._writers:
            writer.transport.abort()

    def set_harm(self, harm):
        """Harm what passes from now on."""
        self.harm = harm
        if harm is Harm.RESET:
            self.reset()

    async def _accept(self, reader, writer):
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, far_writer, True),
                self._pump(far_reader, writer, False),
            )
        self._writers -= ends

    async def _pump(self, reader, writer, is_request):
        is_dead = False
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                is_dead |= self._drops(is_request)
                if not is_dead:
                    writer.write(data)
        writer.transport.abort() if is_dead else writer.close()

    def _drops(self, is_request):
        return self.harm is Harm.SILENCE or DIRECTIONS.get(self.harm) is is_request
