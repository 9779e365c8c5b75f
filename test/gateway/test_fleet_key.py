"""The key of the fleet is made once, also in a race and after lost responses."""

import asyncio
import random

import pytest

from tanagerwalk.gateway.change_feed import StoreFeed
from tanagerwalk.gateway.fleet_key import KEY_BYTES, FleetKey
from tanagerwalk.gateway.mirror import Mirror
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.metadata import MetadataStandIn

NAME = "tanagerwalk/fleet-key"


@pytest.fixture
async def standin():
    standin = MetadataStandIn()
    await standin.start()
    yield standin
    await standin.stop()


class Instance:
    """A FleetKey with a copy of the store that is kept up to date."""

    def __init__(self, standin, rank):
        host, _, port = standin.address.rpartition(":")
        store = MetadataStore((host, int(port)))
        feed = StoreFeed(store, "", 0.2)
        feed.pause = feed.retry_pause = 0.0
        source = random.Random(rank)
        mirror = Mirror(store, "", feed, source, "servers/")
        self.task = asyncio.create_task(mirror.run())
        self.key = FleetKey(store, mirror, NAME, lambda name: rank, source)


async def find_keys(standin, ranks):
    instances = [Instance(standin, rank) for rank in ranks]
    try:
        async with asyncio.timeout(10.0):
            return await asyncio.gather(*(i.key.find() for i in instances))
    finally:
        for instance in instances:
            instance.task.cancel()


@pytest.mark.parametrize("ranks", [(0, 1, 2), (0, 0, 0)])
async def test_all_instances_find_one_key_even_if_several_offer_one(standin, ranks):
    keys = await find_keys(standin, ranks)
    assert len(set(keys)) == 1
    assert len(bytes.fromhex(keys[0])) == KEY_BYTES


async def test_key_is_found_after_the_response_to_its_creation_was_lost(standin):
    standin.lost_writes = 1
    assert len(set(await find_keys(standin, (0, 1)))) == 1


async def test_existing_key_is_kept(standin):
    await standin.put(NAME, b"k" * KEY_BYTES)
    assert await find_keys(standin, (0,)) == [(b"k" * KEY_BYTES).hex()]


# Guards against a fleet that another writer's entry leaves without a key, or with an
# empty one that anybody knows.
@pytest.mark.parametrize("value", [b"", b"short", b"k" * 5000, b"k" * 1_048_576])
async def test_unusable_key_is_replaced(standin, value):
    await standin.put(NAME, value)
    keys = await find_keys(standin, (0, 1))
    assert len(set(keys)) == 1
    assert len(bytes.fromhex(keys[0])) == KEY_BYTES
