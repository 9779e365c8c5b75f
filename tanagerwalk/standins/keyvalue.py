"""In-memory stand-in for the key-value service, the JSON gateway of etcd v3."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass

from aiohttp import web

from .server import StandIn

MAX_TXN_OPERATIONS = 128


@dataclass(slots=True)
class _Item:
    value: str
    create_revision: int
    mod_revision: int
    lease: int = 0


class KeyValueStandIn(StandIn):
    """Serves range, txn, watch and lease calls, and can inject faults.

    Attributes
    ----------
    outage : bool
        Whether every call gets status 503.
    lose_answers : int
        Number of following txn calls that take effect, but whose response is lost.
    late_writes : int
        Number of following txn calls that get status 504 and take effect `late_delay`
        seconds later.
    late_delay : float
        Delay of late writes in seconds.
    delay : float
        Seconds before a call takes effect, except for watches.
    hold_answers : float
        Seconds between the effect of a txn call and its response.
    calls, writes : int
        Number of calls and of written or deleted keys so far.
    """

    def __init__(self):
        super().__init__()
        self.outage = False
        self.lose_answers = 0
        self.late_writes = 0
        self.late_delay = 0.5
        self.delay = 0.0
        self.hold_answers = 0.0
        self.calls = 0
        self.writes = 0
        self.revision = 0
        self._items = {}
        self._leases = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()

    def list_routes(self):
        """Return the HTTP routes of the JSON gateway."""
        return [
            web.post("/v3/kv/range", self._wrap_handler(self._range)),
            web.post("/v3/kv/txn", self._wrap_handler(self._txn)),
            web.post("/v3/watch", self._watch),
            web.post("/v3/lease/grant", self._wrap_handler(self._grant)),
            web.post("/v3/lease/keepalive", self._wrap_handler(self._keep_alive)),
            web.post("/v3/lease/revoke", self._wrap_handler(self._revoke)),
        ]

    def _wrap_handler(self, handler):
        async def handle(request):
            self.calls += 1
            body = await request.json()
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.outage:
                raise web.HTTPServiceUnavailable
            self._expire_leases()
            if "compare" in body and self.late_writes > 0:
                self.late_writes -= 1
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_delay, handler, body)
                raise web.HTTPGatewayTimeout
            response = handler(body)
            if "compare" in body and self.hold_answers:
                await asyncio.sleep(self.hold_answers)
            if "compare" in body and self.lose_answers > 0:
                self.lose_answers -= 1
                request.transport.close()
            return web.json_response(response)

        return handle

    def _header(self):
        return {"revision": str(self.revision)}

    def _expire_leases(self):
        now = time.monotonic()
        for lease, (_ttl, ends) in list(self._leases.items()):
            if ends <= now:
                self._drop_lease(lease)

    def _drop_lease(self, lease):
        self._leases.pop(lease, None)
        self.revision += 1
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self._delete(key)
        self._notify_watchers()

    def _find_keys(self, body):
        key = body["key"]
        if "range_end" not in body:
            return [key] if key in self._items else []
        low = base64.b64decode(key)
        high = base64.b64decode(body["range_end"])
        return sorted(k for k in self._items if low <= base64.b64decode(k) < high)

    def _range(self, body):
        after = int(body.get("min_mod_revision", 0)) - 1
        keys = [
            key for key in self._find_keys(body) if self._is_modified_after(key, after)
        ]
        pairs = [self._render(key) for key in keys]
        return {"header": self._header(), "kvs": pairs}

    def _render(self, key):
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "create_revision": str(item.create_revision),
            "mod_revision": str(item.mod_revision),
        }

    def _txn(self, body):
        _validate_txn(body, MAX_TXN_OPERATIONS, set())
        self._check_leases(body)
        # As in etcd, all writes of a transaction have the same revision.
        before = self.writes
        self.revision += 1
        response = self._run_txn(body)
        if self.writes == before:
            self.revision -= 1
            return {"header": self._header(), **response}
        self._notify_watchers()
        return {"header": self._header(), **response}

    def _run_txn(self, body):
        succeeded = all(self._compare(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        responses = [self._apply(operation) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _check_leases(self, body):
        for operation in body.get("success", []):
            if "request_txn" in operation:
                self._check_leases(operation["request_txn"])
            lease = int(operation.get("request_put", {}).get("lease", 0))
            if lease and lease not in self._leases:
                raise web.HTTPNotFound(text="requested lease not found")

    def _compare(self, compare):
        item = self._items.get(compare["key"])
        if compare["target"] == "CREATE":
            current = item.create_revision if item else 0
            return current == int(compare["create_revision"])
        current = item.mod_revision if item else 0
        return current == int(compare["mod_revision"])

    def _apply(self, operation):
        if "request_txn" in operation:
            return {"response_txn": self._run_txn(operation["request_txn"])}
        if "request_put" in operation:
            self._put(operation["request_put"])
            return {"response_put": {}}
        if "request_delete_range" in operation:
            for key in self._find_keys(operation["request_delete_range"]):
                self._delete(key)
            return {"response_delete_range": {}}
        return {"response_range": self._range(operation["request_range"])}

    def _put(self, body):
        self.writes += 1
        key = body["key"]
        previous = self._items.get(key)
        created = previous.create_revision if previous else self.revision
        lease = int(body.get("lease", 0))
        if lease and lease not in self._leases:
            raise web.HTTPNotFound(text="requested lease not found")
        self._items[key] = _Item(body["value"], created, self.revision, lease)

    def _delete(self, key):
        self.writes += 1
        del self._items[key]

    def _notify_watchers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _watch(self, request):
        self.calls += 1
        create_request = (await request.json())["create_request"]
        if self.outage:
            raise web.HTTPServiceUnavailable
        response = web.StreamResponse()
        await response.prepare(request)
        await self._send(response, {"created": True})
        last_revision = int(create_request.get("start_revision", 0)) - 1
        while True:
            changed = self._changed
            keys = [
                k
                for k in self._find_keys(create_request)
                if self._is_modified_after(k, last_revision)
            ]
            if keys and not self.outage:
                last_revision = max(self._items[key].mod_revision for key in keys)
                events = [{"type": "PUT", "kv": self._render(key)} for key in keys]
                await self._send(response, {"events": events})
            await changed.wait()

    def _is_modified_after(self, key, last_revision):
        return self._items[key].mod_revision > last_revision

    async def _send(self, response, result):
        message = {"result": {"header": self._header(), **result}}
        await response.write(json.dumps(message).encode() + b"\n")

    def _grant(self, body):
        self._next_lease += 1
        ttl = int(body["TTL"])
        self._leases[self._next_lease] = (ttl, time.monotonic() + ttl)
        return {"ID": str(self._next_lease), "TTL": str(ttl)}

    def _keep_alive(self, body):
        lease = int(body["ID"])
        if lease not in self._leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl = self._leases[lease][0]
        self._leases[lease] = (ttl, time.monotonic() + ttl)
        return {"result": {"ID": str(lease), "TTL": str(ttl)}}

    def _revoke(self, body):
        self._drop_lease(int(body["ID"]))
        return {}


def _validate_txn(body, max_operations, keys):
    """Reject transactions as etcd does.

    etcd rejects too many operations, and two puts of the same key.
    """
    success = body.get("success", [])
    size = max(len(body.get("compare", [])), len(success), len(body.get("failure", [])))
    if size > max_operations:
        raise web.HTTPBadRequest(text="too many operations in txn request")
    for operation in success:
        if "request_txn" in operation:
            _validate_txn(operation["request_txn"], max_operations - size, keys)
        put = operation.get("request_put")
        if put is None:
            continue
        if put["key"] in keys:
            raise web.HTTPBadRequest(text="duplicate key given in txn request")
        keys.add(put["key"])
