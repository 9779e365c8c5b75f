"""Lists of the store whose pages are of different age."""

import asyncio
import base64
import json
import random
from urllib.parse import parse_qs, urlsplit

from expression import Ok
from hypothesis import example, given
from hypothesis import strategies as st

from tanagerwalk.gateway.change_feed import StoreFeed
from tanagerwalk.gateway.mirror import Mirror
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.platform.store_messages import ItemCollector
from tanagerwalk.platform.store_responses import Response

PAGE_ITEMS = 2
KEYS = ["a", "b", "c", "d", "e", "f"]
# Each change writes (True) or deletes a key.
CHANGES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=30)
# How many changes each page is behind.
AGES = st.lists(st.integers(0, 30), max_size=4)


class AgedStore(MetadataStore):
    """Answers from a history of changes; each page of an old read has an age."""

    def __init__(self, changes, ages):
        super().__init__(("127.0.0.1", 1))
        self.changes = [("first", True), *changes]
        self.ages = iter(ages)

    def read(self, revision):
        """Return the revision of each key's last change, as of a revision."""
        items = {}
        for number, (key, is_write) in enumerate(self.changes[:revision], start=1):
            items.pop(key, None)
            if is_write:
                items[key] = number
        return items

    @property
    def revision(self):
        return len(self.changes)

    async def _request_items(self, path, timeout):
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/api/kv-range":
            answer = self._range(query)
        else:
            answer = self._watch(int(query["after"]))
        return Ok(Response(200, json.dumps(answer).encode(), 0, ItemCollector(0)))

    def _range(self, query):
        age = next(self.ages, 0) if "stale_ok" in query else 0
        revision = max(1, self.revision - age)
        items = sorted(self.read(revision).items())
        after = [item for item in items if item[0] > query.get("after", "")]
        return {
            "items": [_encode(*item) for item in after[:PAGE_ITEMS]],
            "more_pages": len(after) > PAGE_ITEMS,
            "current_rev": revision,
        }

    def _watch(self, after):
        events = []
        for number, (key, is_write) in enumerate(self.changes, start=1):
            if number > after and is_write:
                events.append(_encode(key, number))
            elif number > after:
                events.append({"key": key, "revision": number, "deleted": True})
        return {"events": events, "current_rev": self.revision}


def _encode(key, revision):
    value = base64.b64encode(b"%d" % revision).decode()
    return {"key": key, "value": value, "revision": revision}


class Feed(StoreFeed):
    """Reads the store itself, as a watcher does."""

    pause = retry_pause = 0.0


async def read_copy(store):
    """Return the revision of each key in a copy that has read the changes once."""
    feed = Feed(store, "", wait=0.0)
    mirror = Mirror(store, "", feed, random.Random(1), "servers/")
    await mirror._read_snapshot()
    await mirror._read_changes()
    return {key: entry.revision for key, entry in mirror.entries.items()}


# Guards against a server that left and stays in the copy of an instance that has just
# started: the watch began at the first page, later than the removal that an older page
# does not have yet.
@given(CHANGES, AGES)
@example([("a", True), ("b", True), ("z", True), ("z", False)], [0, 2])
@example([("a", True), ("b", True), ("z", True), ("c", True)], [0, 0, 3])
def test_copy_is_current_whatever_the_age_of_its_pages(changes, ages):
    store = AgedStore(changes, ages)
    assert asyncio.run(read_copy(store)) == store.read(store.revision)
