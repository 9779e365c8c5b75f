"""Requests that wait for a place at servers with limits."""

import asyncio
import math
import random
from types import SimpleNamespace

import pytest
from virtual_time import run_in_virtual_time

from tanagerwalk.decisions.attempts import AttemptHistory
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathState, PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.send_slots import SendSlot
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.limit_slots import LimitSlots
from tanagerwalk.gateway.metrics import GatewayMetrics
from tanagerwalk.gateway.permit_notes import PermitNote, PermitNoteKind
from tanagerwalk.gateway.place_wait import PlaceWait, list_askable
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

    def __init__(self, rate):
        self.clock = asyncio.get_running_loop().time
        self.paths = PathTable()
        home = Home("a-1", "a", {"a-1": "a"})
        self.pool = ServerPool(home, SharedLoadTable(), self.paths, random.Random(1))
        self.pool.replace_servers(SERVERS)
        for server in SERVERS:
            self.pool.record_limit(server, rate, self.clock())
            self.pool.limits.take_slot(hash_life(server), self.clock(), math.inf)
        self.asked = []
        self.is_granted = True
        self.begin_request()

    def begin_request(self):
        deadline = self.clock() + CLIENT_TIMEOUT_S
        self.place_wait = PlaceWait(
            self.pool,
            SimpleNamespace(acquire=self._grant),
            SimpleNamespace(client_timeout=CLIENT_TIMEOUT_S, deadline=deadline),
            "desk",
            lambda server: True,
            self.clock,
        )

    def lose_path(self, server):
        self.paths.record_lost(server.id, PathState.UNREACHABLE, self.clock())

    async def _grant(self, service, lives, patience):
        del service, patience
        self.asked.append(lives)
        if not lives or not self.is_granted:
            return None
        begins_at = self.clock() + GRANT_WAIT_S
        return SendSlot(lives[0], begins_at, begins_at + 0.1)

    async def wait(self):
        return await self.place_wait.wait(AttemptHistory(True, 3), list)

    async def wait_for_slot(self):
        """Return whether the request gets a slot of the own parts."""
        while self.pool.choose("desk", self.clock()) is None:
            if not await self.wait():
                return False
        slot = self.place_wait.take_slot(SERVERS[0])
        return self.pool.admit(SERVERS[0], slot, self.clock())


def run(play, rate=RATE_PER_S):
    async def play_request():
        await play(Waiting(rate))

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


def test_slots_are_asked_for_at_servers_that_can_be_used():
    async def play(waiting):
        waiting.lose_path(SERVERS[0])
        assert await waiting.wait()
        assert waiting.asked == [[hash_life(SERVERS[1])]]

    run(play)


def test_slot_at_a_server_that_is_out_of_reach_by_now_is_not_used():
    async def play(waiting):
        assert await waiting.wait()
        waiting.lose_path(SERVERS[0])
        assert waiting.place_wait.find_granted_server() is None

    run(play)


# A server of three may be of another region, tried before, or without room.
@pytest.mark.parametrize(
    ("allowed", "roomy", "tried", "askable"),
    [
        ("012", "012", "", "012"),
        ("01", "012", "", "01"),
        ("", "012", "", ""),
        ("012", "012", "0", "12"),
        ("01", "012", "01", "01"),
        ("012", "12", "1", "2"),
        ("012", "0", "0", "12"),
        ("012", "", "2", "01"),
    ],
)
def test_slots_are_asked_for_where_a_request_would_be_sent(
    allowed, roomy, tried, askable
):
    servers = [SimpleNamespace(id=name) for name in "012"]
    usable = list_askable(
        servers,
        lambda server: server.id in allowed,
        lambda server: server.id in roomy,
        set(tried),
    )
    assert "".join(server.id for server in usable) == askable


# Guards against others that book each slot before the holder's own requests may.
def test_holder_serves_its_own_requests_while_others_ask():
    seconds = 100
    served = []

    async def play(waiting):
        slots = LimitSlots(
            "a", waiting.pool, GatewayMetrics(), waiting.clock, random.Random(1)
        )
        question = PermitNote(
            PermitNoteKind.ASK_SLOT, "desk", (5,), (hash_life(SERVERS[0]),), 30.0
        )

        async def ask():
            while waiting.clock() < seconds:
                slots.receive("b", question)
                await asyncio.sleep(pick.expovariate(2.0))

        async def serve():
            waiting.begin_request()
            if await waiting.wait_for_slot():
                served.append(waiting.clock())

        pick = random.Random(2)
        waiting.pool.replace_servers(SERVERS[:1])
        waiting.is_granted = False
        asking = asyncio.create_task(ask())
        while waiting.clock() < seconds:
            await serve()
            await asyncio.sleep(pick.expovariate(1.0))
        await asking

    run(play, rate=1.0)
    # Half of the share that is theirs by the number of requests.
    assert len(served) >= seconds / 3 / 2
