"""Shared pytest fixtures and the hypothesis profile."""

import gc
import os

import pytest
import pytest_asyncio
from hypothesis import settings
from loopback import choose_network

from tanagerwalk.logs import configure_logs
from tanagerwalk.standins.addresses import ADDRESS_VARIABLE
from tanagerwalk.standins.entry_cluster import EntryCluster, build_demo

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")

# No other run of the tests, and no other worker of this one, uses this address.
os.environ[ADDRESS_VARIABLE] = f"{choose_network()}.202"


@pytest.fixture(autouse=True)
def quiet_logs():
    configure_logs("critical")


@pytest.fixture(scope="module", autouse=True)
def freeze_garbage_collection():
    """Keep what the tests before have left out of later collections.

    In a run of all tests, a full collection would let the event loop stand still for
    longer than an instance waits for a connection. What a pause does to an instance is
    tested in `gateway/test_stalled_loop.py`.
    """
    gc.collect()
    gc.freeze()


@pytest_asyncio.fixture
async def world():
    async with EntryCluster() as built:
        yield built


@pytest_asyncio.fixture
async def demo(world):
    await build_demo(world)
    return world
