"""TCP proxy that can simulate a network partition."""

import asyncio
from contextlib import suppress

from .addresses import find_address

CHUNK_BYTES = 65536


class Link:
    """Forwards TCP connections to a target while `cut` is False.

    While `cut` is True, data and new connections get no response and no error, as in
    a network partition. Connections that were affected by the partition stay dead
    after it has healed.

    Parameters
    ----------
    target : str
        `IP:port` to forward to.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._tasks = set()
        self.cut = False
        self.address = ""

    async def start(self):
        """Start listening, and set `address` to `IP:port`."""
        self._server = await asyncio.start_server(self._accept, find_address(), 0)
        address, port = self._server.sockets[0].getsockname()
        self.address = f"{address}:{port}"

    async def stop(self):
        """Stop listening and close every connection."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            if self.cut:
                await asyncio.Event().wait()
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _forward(self, reader, writer):
        host, _, port = self._target.partition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer)),
            asyncio.create_task(self._pump(target_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            target_writer.close()

    async def _pump(self, reader, writer):
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.cut:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
