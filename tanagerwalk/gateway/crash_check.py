"""Finds out whether a server that broke off a connection has crashed."""

import asyncio

import structlog

from ..decisions.server_usage_table import hash_life

log = structlog.get_logger(__name__)


class CrashCheck:
    """Connects anew to servers that broke off a connection, once for each of them.

    A server that only closed one connection accepts the next one, which is kept for
    later requests.

    Parameters
    ----------
    connector : ServerConnector
        Opens connections.
    on_crashed : callable
        Takes a RegisteredServer that accepts no connection any more.
    """

    def __init__(self, connector, on_crashed):
        self._connector = connector
        self._on_crashed = on_crashed
        self._running = {}

    def start(self, server):
        """Start to check a server unless that is under way.

        Parameters
        ----------
        server : RegisteredServer
            The server.

        Returns
        -------
        asyncio.Task
            Ends when it is known whether the server has crashed.
        """
        life = hash_life(server)
        task = self._running.get(life)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._check(server))
            self._running[life] = task
            task.add_done_callback(lambda _: self._running.pop(life))
        return task

    async def _check(self, server):
        if await self._connector.check(server):
            return
        log.info("server crashed", server=server.id, service=server.service)
        self._on_crashed(server)

    def close(self):
        """Stop the checks."""
        for task in self._running.values():
            task.cancel()
