"""Base class of the HTTP stand-ins, which listen on a free port."""

import asyncio
import signal

import structlog
from aiohttp import web

from .addresses import find_address

log = structlog.get_logger(__name__)


class StandIn:
    """HTTP server whose attributes can be set by a JSON object in `POST /standin`."""

    def __init__(self):
        self.address = ""
        self._runner = None
        self._site = None

    def list_routes(self):
        """Return the aiohttp routes of the stand-in; subclasses override this."""
        return []

    async def start(self):
        """Start listening, and set `address` to `IP:port`."""
        app = web.Application()
        app.add_routes([*self.list_routes(), web.post("/standin", self._control)])
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, find_address(), 0)
        await self._site.start()
        address, port = self._runner.addresses[0]
        self.address = f"{address}:{port}"

    async def stop(self):
        """Stop listening and close every connection."""
        await self._runner.cleanup()

    async def crash(self):
        """Stop listening and abort the open connections, as a killed process does."""
        await self._site.stop()
        for connection in self._runner.server.connections:
            connection.transport.abort()

    async def _control(self, request):
        for name, value in (await request.json()).items():
            if not hasattr(self, name):
                raise web.HTTPBadRequest(text=f'no attribute "{name}"')
            setattr(self, name, value)
        return web.json_response({})


async def run_standin(standin):
    """Run a stand-in until SIGTERM.

    Parameters
    ----------
    standin : StandIn
        The stand-in.
    """
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await standin.start()
    log.info("listening", kind=type(standin).__name__, address=standin.address)
    await stopped.wait()
    await standin.stop()
