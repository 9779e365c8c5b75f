"""Requests that wait for a place at servers with limits."""

import asyncio
import random
from types import SimpleNamespace

from virtual_time import run_in_virtual_time

from tanagerwalk.decisions.attempts import AttemptHistory
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.send_slots import SendSlot
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.place_wait import PlaceWait
from tanagerwalk.registry import RegisteredServer, ServerState

SERVERS = [
    RegisteredServer(name, "desk", ("", 1), "a-1", "v1", 4, ServerState.READY, 1)
    for name in ("desk-0", "desk-1")
]
# Sent once in ten seconds, so that no request waits for a place.
RATE_PER_S = 0.1
GRANT_WAIT_S = 0.05
CLIENT_TIMEOUT_S = 4.0


class Waiting:
    """One request at an instance that is granted each slot that it asks for."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.paths = PathTable()
        home = Home("a-1", "a", {"a-1": "a"})
        self.pool = ServerPool(home, SharedLoadTable(), self.paths, random.Random(1))
        self.pool.replace_servers(SERVERS)
        for server in SERVERS:
            self.pool.record_limit(server, RATE_PER_S, self.clock())
            self.pool.limits.take_slot(hash_life(server), self.clock(), 60.0)
        self.asked = []
        self.place_wait = PlaceWait(
            self.pool,
            SimpleNamespace(acquire=self._grant),
            SimpleNamespace(client_timeout=CLIENT_TIMEOUT_S, deadline=CLIENT_TIMEOUT_S),
            "desk",
            lambda server: True,
            self.clock,
        )

    async def _grant(self, service, lives, patience):
        del service, patience
        self.asked.append(lives)
        if not lives:
            return None
        begins_at = self.clock() + GRANT_WAIT_S
        return SendSlot(lives[0], begins_at, begins_at + 0.1)

    async def wait(self):
        return await self.place_wait.wait(AttemptHistory(True, 3))


def run(play):
    async def play_request():
        await play(Waiting())

    run_in_virtual_time(play_request())


# Guards against timers that run out a little early, as those of uvloop do.
def test_granted_slot_is_used_after_a_timer_that_is_early(monkeypatch):
    sleep = asyncio.sleep

    async def sleep_less(delay):
        await sleep(delay - 0.0005 if delay > 0.001 else delay)

    async def play(waiting):
        monkeypatch.setattr(asyncio, "sleep", sleep_less)
        assert await waiting.wait()
        assert waiting.place_wait.find_granted_server() == SERVERS[0]

    run(play)
