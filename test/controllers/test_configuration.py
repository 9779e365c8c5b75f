"""Watching the declaration: patches that apply or fail, and refused texts."""

import asyncio
import random

import msgspec
import pytest
from expression import Ok

from tanagerwalk.controllers.configuration import ConfigurationController
from tanagerwalk.decisions.configuration import ConfigurationState
from tanagerwalk.decisions.patches import make_patch
from tanagerwalk.metrics import Metrics
from tanagerwalk.settings import parse_settings
from tanagerwalk.writes import Entry, NewerRead

OLD = "[class label]\nlateness = 300 ms\n"
NEW = OLD.replace("300", "200")
BAD = OLD.replace("300 ms", "soon")


class FakeStore:
    """Holds one text; a watch returns the patches that `put` added."""

    def __init__(self):
        self.text, self.revision = OLD, 1
        self.patches = []
        self.reads = self.watches = 0

    def put(self, text, base):
        self.text, self.revision = text, self.revision + 1
        value = msgspec.json.encode(make_patch(base, text))
        self.patches.append(Entry("patch", value, self.revision))

    async def get_newer(self, key, after):
        if self.revision <= after:
            return Ok(NewerRead(None, self.revision))
        self.reads += 1
        return Ok(
            NewerRead(Entry(key, self.text.encode(), self.revision), self.revision)
        )

    async def wait_for_change(self, prefix, after, limit):
        self.watches += 1
        found = [entry for entry in self.patches if entry.revision > after]
        if not found:
            await asyncio.Event().wait()
        return Ok(found)


async def run_watch(store):
    """Start with the old text, watch the store until idle and return the state."""
    state = ConfigurationState(30.0)
    settings = parse_settings().ok.configuration
    controller = ConfigurationController(
        store, state, settings, Metrics(), lambda: 0.0, random.Random(1)
    )
    controller.accept(1, OLD, 0.0)
    task = asyncio.create_task(controller._watch())
    for _ in range(50):
        await asyncio.sleep(0)
    task.cancel()
    return state


CASES = [
    ("patch that fits", [(NEW, OLD)], NEW, 0),
    ("two patches", [(NEW, OLD), (OLD, NEW)], OLD, 0),
    ("patch for another text", [(NEW, "other")], NEW, 1),
    ("refused text", [(BAD, OLD)], OLD, 0),
    ("refused text, then a good one", [(BAD, OLD), (NEW, BAD)], NEW, 1),
]


@pytest.mark.parametrize(("name", "changes", "text", "reads"), CASES)
async def test_change_is_followed(name, changes, text, reads):
    store = FakeStore()
    for new, base in changes:
        store.put(new, base)
    state = await run_watch(store)
    assert state.text == text
    assert store.reads == reads
    # Each patch is returned by one watch only, whether it applied or not.
    assert store.watches == 2


async def test_change_reaches_every_instance_as_a_patch(demo):
    first, second = demo.instances.values()
    text = first.configuration.text
    revision = await demo.apply(text.replace("cost = 0.0005", "cost = 0.0006"))
    for instance in (first, second):
        await demo.wait_until(lambda i=instance: i.configuration.revision == revision)
        assert "cost = 0.0006" in instance.configuration.text
        assert instance.metrics.patch_misfits._value.get() == 0


async def test_listener_that_failed_is_told_of_the_text_by_the_next_run():
    """Guards against a declaration that is in force but that a part never saw."""
    store, told = FakeStore(), []
    state = ConfigurationState(30.0)
    settings = parse_settings().ok.configuration
    controller = ConfigurationController(
        store, state, settings, Metrics(), lambda: 0.0, random.Random(1)
    )

    def listen():
        told.append(state.revision)
        if len(told) == 1:
            raise MemoryError

    later = []
    controller.add_listener(listen)
    controller.add_listener(lambda: later.append(state.revision))
    with pytest.raises(ExceptionGroup):
        await controller.run()
    task = asyncio.create_task(controller.run())
    for _ in range(50):
        await asyncio.sleep(0)
    assert (told, later) == ([1, 1], [1])
    task.cancel()
