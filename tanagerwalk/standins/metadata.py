"""In-memory stand-in for the users' metadata store."""

import asyncio
import base64
from dataclasses import dataclass

from aiohttp import web

from .server import StandIn

PAGE_ITEMS = 500
# A page ends before the item that exceeds it, but has one item at least.
PAGE_CHARACTERS = 1_000_000
MS_PER_S = 1000.0


@dataclass(slots=True)
class _Item:
    value: str
    revision: int
    created: int
    lease: int


class MetadataStandIn(StandIn):
    """Stores items with revisions, leases and watches, and can inject faults.

    Leases do not expire on their own; see `end_leases`.

    Attributes
    ----------
    mode : str
        `up`, `busy` (status 503), `silent` (no response) or `reset` (the connection
        is aborted).
    lost_writes : int
        Number of following transactions that take effect, but whose response is lost.
    lost_answers : int
        Number of following watches whose answer is lost; their connections return
        nothing any more.
    lost_lists : int
        The same for the pages of lists.
    old_copy : tuple or None
        What `take_copy` returned; reads that may be old are answered from it.
    page_items : int
        Maximum number of items in a page of a range call.
    era : int
        Number of times that the store was restored from a copy.
    """

    def __init__(self):
        super().__init__()
        self.mode = "up"
        self.lost_writes = 0
        self.lost_answers = 0
        self.lost_lists = 0
        self.old_copy = None
        self._silent_transports = set()
        self._transports = set()
        self.page_items = PAGE_ITEMS
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.era = 0
        self.calls = []
        self._history = []
        self._compacted = 0
        self._changed = asyncio.Condition()

    def list_routes(self):
        """Return the HTTP routes of the store."""
        return [
            web.get("/api/kv-key", self._wrap_handler(self._get)),
            web.get("/api/kv-range", self._wrap_handler(self._range)),
            web.get("/api/kv-watch", self._wrap_handler(self._watch)),
            web.post("/api/kv-txn", self._wrap_handler(self._txn)),
            web.post("/api/kv-lease", self._wrap_handler(self._grant)),
            web.post("/api/kv-keep/{lease}", self._wrap_handler(self._keep_alive)),
            web.delete("/api/kv-lease-end/{lease}", self._wrap_handler(self._revoke)),
        ]

    def _wrap_handler(self, handler):
        async def handle(request):
            self.calls.append(request.path)
            if self.mode == "busy":
                return web.Response(status=503)
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "reset":
                request.transport.abort()
                return web.Response(status=500)
            self._transports.add(request.transport)
            if request.transport in self._silent_transports:
                await asyncio.sleep(3600)
            response = await handler(request)
            if request.transport in self._silent_transports:
                await asyncio.sleep(3600)
            if self._loses_answer(request.path):
                self._silent_transports.add(request.transport)
                await asyncio.sleep(3600)
            if self.era:
                response.headers["Store-Era"] = str(self.era)
            return response

        return handle

    def _loses_answer(self, path):
        """Return whether the answer to a call is lost, and count it if so."""
        if self.lost_answers > 0 and path == "/api/kv-watch":
            self.lost_answers -= 1
            return True
        if self.lost_lists > 0 and path == "/api/kv-range":
            self.lost_lists -= 1
            return True
        return False

    # Called directly by tests and the demo.

    async def put(self, key, value):
        """Write an item, as the operator or a backend server does."""
        await self._apply([(key, base64.b64encode(value).decode(), 0)], [])

    async def remove(self, key):
        """Delete an item."""
        await self._apply([], [key])

    def compact(self):
        """Discard the history; watches from an older revision then get status 410."""
        self._compacted = self.revision
        self._history.clear()

    def silence_connections(self):
        """Let the connections that are open now return nothing any more."""
        self._silent_transports |= self._transports

    def take_copy(self):
        """Return a copy of all items, for `restore`."""
        return dict(self.items), dict(self.leases), self.revision

    async def restore(self, copy):
        """Go on from an older copy, in a new era, without any history."""
        items, leases, revision = copy
        self.items = dict(items)
        self.leases = dict(leases)
        self.revision = revision
        self.era += 1
        self._history.clear()
        async with self._changed:
            self._changed.notify_all()

    def read(self, key):
        """Return the value of an item, or None if there is no such key."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item.value)

    async def end_leases(self):
        """End every lease and delete the items attached to it."""
        for lease in list(self.leases):
            await self._expire(lease)

    # HTTP handlers.

    async def _get(self, request):
        key = request.query["key"]
        item = self.items.get(key)
        if item is None:
            return web.json_response({"current_rev": self.revision}, status=404)
        return web.json_response(
            {**self._render(key, item), "current_rev": self.revision}
        )

    async def _range(self, request):
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        items, revision = self.items, self.revision
        if self.old_copy is not None and request.query.get("stale_ok") == "1":
            items, _, revision = self.old_copy
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = self._select_page(keys, items)
        return web.json_response(
            {
                "items": [self._render(key, items[key]) for key in page],
                "more_pages": len(keys) > len(page),
                "current_rev": revision,
            }
        )

    def _select_page(self, keys, items):
        size = 0
        for count, key in enumerate(keys[: self.page_items]):
            size += len(items[key].value)
            if count and size > PAGE_CHARACTERS:
                return keys[:count]
        return keys[: self.page_items]

    async def _watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        if after < self._compacted or after > self.revision:
            return web.Response(status=410)
        wait = int(request.query["wait_ms"]) / MS_PER_S
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._find_events(prefix, after))
        except TimeoutError:
            pass
        if after < self._compacted:
            return web.Response(status=410)
        events = self._find_events(prefix, after)
        return web.json_response({"events": events, "current_rev": self.revision})

    def _find_events(self, prefix, after):
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _txn(self, request):
        body = await request.json()
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                rows = [
                    self._render(r["key"], self.items.get(r["key"]))
                    for r in body["expect"]
                ]
                return web.json_response({"items": rows}, status=412)
        puts = [(put["key"], put["value"], put.get("lease", 0)) for put in body["puts"]]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return web.Response(status=404)
        await self._apply(puts, body["remove"])
        if self.lost_writes > 0:
            self.lost_writes -= 1
            request.transport.abort()
        return web.json_response({"revision": self.revision})

    async def _grant(self, request):
        ttl = (await request.json())["ttl_ms"]
        lease = 1000 + len(self.calls)
        self.leases[lease] = ttl
        return web.json_response({"lease": lease, "ttl_ms": ttl})

    async def _keep_alive(self, request):
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        return web.json_response({"ttl_ms": self.leases[lease]})

    async def _revoke(self, request):
        await self._expire(int(request.match_info["lease"]))
        return web.json_response({})

    async def _expire(self, lease):
        self.leases.pop(lease, None)
        await self._apply([], [k for k, i in self.items.items() if i.lease == lease])

    async def _apply(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            previous = self.items.get(key)
            created = previous.created if previous else self.revision
            item = _Item(value, self.revision, created, lease)
            self.items[key] = item
            self._history.append(self._render(key, item))
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self._history.append(event)
        async with self._changed:
            self._changed.notify_all()

    def _render(self, key, item):
        if item is None:
            return {"key": key, "revision": 0}
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }
