"""Permits for servers that become limited while a request waits for one."""

import random
from types import SimpleNamespace

import pytest
from expression import Ok

from tanagerwalk.decisions.attempts import AttemptHistory
from tanagerwalk.decisions.cold_servers import ColdPolicy
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_room import Ending
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.permit_wait import PermitWait
from tanagerwalk.registry import RegisteredServer, ServerState

SERVER = RegisteredServer(
    "desk-0", "desk", ("10.0.0.1", 80), "a-1", "v1", 8, ServerState.READY, born=1
)
NOW = 10.0
REQUEST = SimpleNamespace(client_timeout=4.0, deadline=NOW + 4.0)


class GrantingPermits:
    """Grants a place at any server, after something else has happened."""

    def __init__(self, on_wait):
        self.on_wait = on_wait
        self.endings = []

    async def acquire(self, service, request):
        del service
        self.on_wait()
        return Ok(SimpleNamespace(life=request.lives[0]))

    def end(self, hold, ending):
        del hold
        self.endings.append(ending)


# Guards against FAILBACK at servers that are brittle as well as cold.
@pytest.mark.parametrize("is_spent", [False, True])
async def test_place_at_a_cold_server_is_given_back_if_its_limit_is_spent(is_spent):
    home = Home("a-1", "a", {"a-1": "a"})
    pool = ServerPool(home, SharedLoadTable(), PathTable(), random.Random(1))
    policy = ColdPolicy(duration=4.0, rate=8.0, overrun=1.5, slack=5.0)
    pool.limits.cold.find_policy = lambda service: policy
    pool.replace_servers([SERVER])

    def become_cold():
        if is_spent:
            pool.mark_cold({"a-1"}, NOW)
            pool.take_slot(SERVER, NOW)

    permits = GrantingPermits(become_cold)
    waiting = PermitWait(permits, pool, REQUEST, "desk", lambda: NOW)
    result = await waiting.acquire(
        [SERVER], AttemptHistory(True, 3), lambda server: True
    )
    server, hold = result.ok
    assert hold.life == hash_life(SERVER)
    assert server is (None if is_spent else SERVER)
    assert permits.endings == ([Ending.UNUSED] if is_spent else [])
