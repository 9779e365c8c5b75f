"""A failure domain that is partitioned from the platform and from the other domains.

`north` reaches everything outside its domain through links, and its peers reach it
through another one. While the links are cut, bytes and connections get no answer.
"""

import asyncio
import copy
import time

import pytest_asyncio

from tanagerwalk.standins.link import Link
from tanagerwalk.standins.platform import PlatformStandIn

STALE_SETTINGS = "[configuration]\nstale_after = 1.5\n"
LOCATION = {"region": "north", "domain": "north-a"}


class Partition:
    """The links of the partitioned domain and the platform that it reads."""

    def __init__(self):
        self.links = []
        self.platform = PlatformStandIn()

    async def connect(self, target):
        link = Link(target)
        await link.start()
        self.links.append(link)
        return link.address

    def set_partitioned(self, partitioned):
        self.platform.outage = partitioned
        for link in self.links:
            link.cut = partitioned

    async def stop(self):
        for link in self.links:
            await link.stop()
        await self.platform.stop()


@pytest_asyncio.fixture
async def partition(demo):
    new_partition = Partition()
    await new_partition.platform.start()
    remote_groups = copy.deepcopy(demo.platform.groups)
    for group in remote_groups:
        group["targets"] = [await new_partition.connect(group["targets"][0])]
    keyvalue = await new_partition.connect(demo.keyvalue.address)
    remote_count = len(demo.platform.groups)
    await demo.add_engine("engine-n", ["wren:1", "heron:1", "heron:2"], **LOCATION)
    await demo.add_service("booking-n", "booking", **LOCATION)
    new_partition.platform.groups = remote_groups + copy.deepcopy(
        demo.platform.groups[remote_count:]
    )
    north = await demo.add_instance(
        "north",
        **LOCATION,
        keyvalue=keyvalue,
        platform=new_partition.platform.address,
        extra=STALE_SETTINGS,
    )
    group = demo.platform.groups[-1]
    group["targets"] = [await new_partition.connect(group["targets"][0])]
    new_partition.platform.groups.append(copy.deepcopy(group))
    await demo.wait_until(lambda: is_serving(north))
    yield new_partition
    await new_partition.stop()


def is_serving(instance):
    engine = instance.table.servers.get("engine-n")
    return instance.is_ready() and engine is not None and engine.versions


async def test_isolated_domain_serves_locally_and_recovers(demo, partition):
    north = demo.instances["north"]
    first = demo.instances["entry-1"]
    partition.set_partitioned(True)
    await demo.wait_until(lambda: north.configuration.is_stale(time.monotonic()))
    withdrawn = first.configuration.text.replace("released", "withdrawn", 1)
    revision = await demo.apply(withdrawn)
    await demo.wait_until(lambda: first.configuration.revision == revision)

    # The domain's own engine and service still serve requests. A booking is refused,
    # as it can't be claimed without the store.
    results = await asyncio.gather(
        *(demo.chat(north, "label", f"spine {n}") for n in range(10)),
        demo.call(north, "status", {"job": 1}),
    )
    assert [status for status, _, _ in results] == [200] * 11
    key_headers = {"Idempotency-Key": "slot-1", "X-First-Submission": "true"}
    status, content, headers = await demo.call(north, "booking", {}, **key_headers)
    assert (status, b"not_run" in content) == (503, True)
    assert "Retry-After" in headers
    assert demo.services["booking-n"].runs.count("slot-1") == 0
    for number in range(10):
        _, _, headers = await demo.chat(north, "plan", f"book {number}")
        assert headers.get("X-Version") != "heron:2"

    partition.set_partitioned(False)
    await demo.wait_until(lambda: north.configuration.revision == revision)
    status, _, headers = await demo.chat(north, "label", "spine")
    assert (status, headers["X-Version"]) == (200, "heron:1")
    status, _, _ = await demo.call(north, "booking", {}, **key_headers)
    assert status == 200


async def test_other_domains_serve_during_partition(demo, partition):
    first = demo.instances["entry-1"]
    partition.set_partitioned(True)
    results = await asyncio.gather(
        *(demo.chat(first, "label", f"spine {n}") for n in range(20))
    )
    assert [status for status, _, _ in results] == [200] * 20
    key_headers = {"Idempotency-Key": "slot-1"}
    status, _, _ = await demo.call(first, "booking", {}, **key_headers)
    assert status == 200
