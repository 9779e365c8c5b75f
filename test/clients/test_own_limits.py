"""Failures by a limit of the own process, which are no fault of a server."""

import asyncio
import errno

import aiohttp
import pytest

from tanagerwalk.clients.attempts import run_attempt
from tanagerwalk.memory import Memory
from tanagerwalk.outcomes import RetryReason

LIMIT_S = 0.2


async def test_wait_for_memory_is_no_fault_of_server():
    """Guards against a server blamed for the time in which memory had no room."""
    memory = Memory(0)
    held = memory.hold_answer()
    other = memory.hold_answer()

    async def receive():
        await held.grow(1_000_000)

    with other:
        result = await run_attempt(receive(), LIMIT_S, held)
    assert result.error.reason is RetryReason.OWN_LIMIT
    assert memory.budget.used == 0


async def test_oldest_answer_ends_without_room():
    """Guards against answers that wait for each other without end."""
    memory = Memory(1000)
    answers = [memory.hold_answer() for _ in range(3)]

    async def receive(held):
        with held:
            for _ in range(4):
                await held.grow(100_000)
                await asyncio.sleep(0)

    async with asyncio.timeout(LIMIT_S):
        await asyncio.gather(*map(receive, answers))
    assert memory.budget.used == 0


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
async def test_error_of_own_limit_has_reason(number):
    """Guards against a lack of descriptors that counts as an unreachable server."""

    async def connect():
        key = aiohttp.client_reqrep.ConnectionKey("h", 1, False, True, None, None, None)
        raise aiohttp.ClientConnectorError(key, OSError(number, "no descriptor"))

    result = await run_attempt(connect(), LIMIT_S, Memory(1).hold_answer())
    assert result.error.reason is RetryReason.OWN_LIMIT
    assert not result.error.sent
