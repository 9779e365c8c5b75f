"""Faults of a soak: what may happen, and a seeded schedule of it."""

import asyncio
import signal
import time

from soak.links import Harm
from tanagerwalk.standins.backend import Behaviour

MIN_GAP_S = 0.1
MAX_GAP_S = 0.8
MAX_HARM_S = 3.0
MAX_PAUSE_S = 2.5
MIN_SERVERS = 2
RESTART_S = 8.0
SERVER_FAULTS = (
    "refuse",
    "misdirect",
    "error",
    "reset",
    "silent",
    "foreign",
    "extra",
    "unframed",
    "unframed_reset",
    "torn",
    "cut",
    "unsigned",
    "redirect",
)
HARMS = tuple(harm for harm in Harm if harm is not Harm.NONE)
STORE_MODES = ("busy", "silent", "reset")


class Faults:
    """Injects faults one after the other; they overlap.

    Parameters
    ----------
    fleet : Fleet
        Whom they hit.
    random : random.Random
        Chooses faults and their times.

    Attributes
    ----------
    names : list of str
        What was injected, in order.
    """

    def __init__(self, fleet, random):
        self._fleet = fleet
        self._random = random
        self._running = set()
        self._disturbances = []
        self.names = []
        self._kinds = (
            *(self._harm_store_link, self._harm_server_link, self._break_server),
            *(self._break_store, self._lose_writes, self._compact, self._pause),
            *(self._kill, self._stop, self._reload, self._replace_server),
            *(self._crash_server, self._change_manifest, self._revoke),
        )

    async def run(self, seconds):
        """Inject faults for some seconds, and wait until all have ended."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self._begin(self._random.choice(self._kinds))
            await asyncio.sleep(self._random.uniform(MIN_GAP_S, MAX_GAP_S))
        await asyncio.gather(*self._running)

    def _begin(self, fault):
        self.names.append(fault.__name__.strip("_"))
        task = asyncio.create_task(fault())
        self._running.add(task)

    def is_calm(self, begin, end):
        """Return whether nothing disturbed store or gateways between two times."""
        return all(until < begin or since > end for since, until in self._disturbances)

    async def _disturb(self, seconds):
        now = time.monotonic()
        self._disturbances.append((now, now + seconds))
        await asyncio.sleep(seconds)

    def _choose_gateway(self):
        return self._random.choice(self._fleet.gateways)

    def _choose_server(self):
        return self._random.choice(sorted(self._fleet.servers))

    async def _harm_store_link(self):
        await self._harm(self._choose_gateway().link)

    async def _harm_server_link(self):
        await self._harm(self._fleet.links[self._choose_server()])

    async def _harm(self, link):
        link.set_harm(self._random.choice(HARMS))
        await self._disturb(self._random.uniform(0.2, MAX_HARM_S))
        link.set_harm(Harm.NONE)

    async def _break_server(self):
        server = self._fleet.servers[self._choose_server()]
        fault = self._random.choice(SERVER_FAULTS)
        server.behaviour = Behaviour(fault, self._random.randint(1, 8), delay=0.01)

    async def _break_store(self):
        self._fleet.store.mode = self._random.choice(STORE_MODES)
        await self._disturb(self._random.uniform(0.2, MAX_HARM_S))
        self._fleet.store.mode = "up"

    async def _lose_writes(self):
        self._fleet.store.lost_writes = self._random.randint(1, 3)

    async def _compact(self):
        self._fleet.store.compact()

    async def _pause(self):
        gateway = self._choose_gateway()
        gateway.send(signal.SIGSTOP)
        await self._disturb(self._random.uniform(0.1, MAX_PAUSE_S))
        gateway.send(signal.SIGCONT)

    async def _kill(self):
        await self._restart(signal.SIGKILL)

    async def _stop(self):
        await self._restart(signal.SIGTERM)

    async def _restart(self, number):
        began = time.monotonic()
        self._disturbances.append((began, began + RESTART_S))
        await self._choose_gateway().restart(number)

    async def _reload(self):
        self._choose_gateway().send(signal.SIGHUP)

    async def _replace_server(self):
        server_id = self._choose_server()
        service = server_id.partition("-")[0]
        await self._fleet.add_server(service)
        if server_id in self._fleet.drained:
            return
        await self._fleet.drain(server_id)
        await asyncio.sleep(4.0)
        if server_id in self._fleet.servers:
            await self._fleet.remove(server_id)

    async def _crash_server(self):
        server_id = self._choose_server()
        service = server_id.partition("-")[0]
        alike = [name for name in self._fleet.servers if name.startswith(service)]
        if len(alike) > MIN_SERVERS:
            await self._fleet.remove(server_id)

    async def _change_manifest(self):
        await self._fleet.write_manifest()

    async def _revoke(self):
        await self._fleet.write_manifest(revoke=True)
