"""TCP proxy on the loopback interface that injects network faults."""

import asyncio
from contextlib import suppress
from enum import Enum

CHUNK_BYTES = 65536
READ_DELAY_S = 0.15


class LinkFault(Enum):
    """How a link disturbs the bytes that pass through it."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    NO_REPLIES = "no_replies"
    NO_REQUESTS = "no_requests"


DROPPED_DIRECTIONS = {LinkFault.NO_REQUESTS: True, LinkFault.NO_REPLIES: False}


class FaultyLink:
    """Forwards TCP connections to a target and injects the fault that is set.

    A direction that has dropped bytes forwards nothing more, also after the fault has
    ended, so that the connection stays dead as after a network partition.

    Parameters
    ----------
    target : str
        `IP:port` to forward to.
    ip : str
        Loopback address to listen on.
    """

    def __init__(self, target, ip):
        self._ip = ip
        self._host, _, self._port = target.rpartition(":")
        self._server = None
        self._own_port = 0
        self._writers = set()
        self.fault = LinkFault.NONE
        self.address = ""

    async def start(self):
        """Listen, at the same port as before; `address` then holds `IP:port`."""
        self._server = await asyncio.start_server(
            self._accept, self._ip, self._own_port
        )
        self._own_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{self._own_port}"

    def stop(self):
        """Refuse new connections and abort those that are open."""
        self._server.close()
        self.reset()

    def reset(self):
        """Abort every connection."""
        for writer in self._writers:
            writer.transport.abort()

    def set_fault(self, fault):
        """Set the fault that applies from now on; RESET aborts open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self.reset()

    async def _accept(self, reader, writer):
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, True),
                self._forward(target_reader, writer, False),
            )
        self._writers -= writers

    async def _forward(self, reader, writer, is_request):
        is_dead = False
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(READ_DELAY_S)
                is_dead |= self._is_dropped(is_request)
                if not is_dead:
                    writer.write(data)
        writer.transport.abort() if is_dead else writer.close()

    def _is_dropped(self, is_request):
        return (
            self.fault is LinkFault.SILENCE
            or DROPPED_DIRECTIONS.get(self.fault) is is_request
        )
