"""Shared pytest fixtures and the hypothesis profile."""

import pytest
import pytest_asyncio
from hypothesis import settings

from tanagerwalk.logs import configure_logs
from tanagerwalk.standins.world import World, build_demo

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def quiet_logs():
    configure_logs("critical")


@pytest_asyncio.fixture
async def world():
    async with World() as built:
        yield built


@pytest_asyncio.fixture
async def demo(world):
    await build_demo(world)
    return world
