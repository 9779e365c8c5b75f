"""HTTP client of the platform's metadata store."""

import asyncio
import base64
from urllib.parse import quote

import msgspec
from expression import Error, Ok

from ..changes import Changes, Snapshot
from ..gateway.connections import open_connection
from ..ids import Revision
from ..writes import Entry, StoreFault, WriteOutcome

CONNECT_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 1.5
# Time that a watch may take beyond the wait it asked for.
WATCH_TIMEOUT_MARGIN_S = 1.5
MS_PER_S = 1000
OK_STATUS = 200
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 412
COMPACTED_STATUS = 410
# With these the store guarantees that the call had no effect.
REJECTED_STATUSES = frozenset({400, 403, 404, 413, 429, 503})


class _Item(msgspec.Struct, frozen=True):
    key: str = ""
    value: str = ""
    # Revision of the key's last change, not of the store.
    revision: int = 0
    deleted: bool = False


class _RangeResponse(msgspec.Struct, frozen=True):
    # Revision of the store at the read.
    current_rev: int = 0
    items: list[_Item] = []
    # Whether there are further pages.
    more_pages: bool = False


class _WatchResponse(msgspec.Struct, frozen=True):
    current_rev: int = 0
    events: list[_Item] = []


class _KeyResponse(msgspec.Struct, frozen=True):
    key: str
    value: str
    revision: int


class _WriteResponse(msgspec.Struct, frozen=True):
    revision: int


class _LeaseResponse(msgspec.Struct, frozen=True):
    lease: int


class _ConflictResponse(msgspec.Struct, frozen=True):
    items: list[_Item] = []


class MetadataStore:
    """Client of the metadata store that reuses idle connections.

    Every method returns a Result whose error is a `StoreFault`. After `UNKNOWN` a
    write may have taken effect, or may still do so; it is never retried here.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.

    Attributes
    ----------
    calls : int
        Number of calls so far.
    """

    def __init__(self, address):
        self._address = address
        self._host = b"%s:%d" % (address[0].encode(), address[1])
        self._idle = []
        self.calls = 0

    async def get(self, key):
        """Read one key; a missing key is None.

        Returns
        -------
        Result of Entry or None, or of StoreFault
        """
        path = f"/api/kv-key?key={quote(key, safe='')}"
        result = await self._request("GET", path)
        if result.is_error():
            return result
        status, body = result.ok
        if status == NOT_FOUND_STATUS:
            return Ok(None)
        item = _decode(status, body, _KeyResponse)
        return item.map(_convert_item)

    async def list(self, prefix, may_be_old=False):
        """Read all entries under a prefix, page by page.

        Parameters
        ----------
        prefix : str
            Key prefix.
        may_be_old : bool
            Whether the entries may be seconds old, which makes the calls cheaper.

        Returns
        -------
        Result of Snapshot, or of StoreFault
            The revision is that of the first page: later pages may or may not
            include changes made since, and a watch from there reports them all.
        """
        entries = {}
        revision = None
        after = ""
        while True:
            path = f"/api/kv-range?prefix={quote(prefix, safe='')}"
            if may_be_old:
                path += "&stale_ok=1"
            if after:
                path += f"&after={quote(after, safe='')}"
            result = await self._request("GET", path)
            if result.is_error():
                return result
            page = _decode(*result.ok, _RangeResponse)
            if page.is_error():
                return page
            for item in page.ok.items:
                entries[item.key] = _convert_item(item)
                after = item.key
            revision = page.ok.current_rev if revision is None else revision
            if not page.ok.more_pages or not page.ok.items:
                return Ok(Snapshot(tuple(entries.values()), Revision(revision)))

    async def wait_for_changes(self, prefix, after, wait):
        """Wait for changes under a prefix by long polling.

        Parameters
        ----------
        prefix : str
            Key prefix.
        after : int
            Revision after which changes are reported.
        wait : float
            Seconds after which the store responds without changes.

        Returns
        -------
        Result of Changes, or of StoreFault
        """
        path = (
            f"/api/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
            f"&wait_ms={int(wait * MS_PER_S)}"
        )
        result = await self._request("GET", path, timeout=wait + WATCH_TIMEOUT_MARGIN_S)
        if result.is_error():
            return result
        status, body = result.ok
        if status == COMPACTED_STATUS:
            return Ok(Changes(compacted=True))
        return _decode(status, body, _WatchResponse).map(_convert_changes)

    async def write(self, write):
        """Write a key on condition that it still has the expected revision.

        Parameters
        ----------
        write : Write
            Key, value (None deletes), expected revision, further puts and lease.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
        """
        puts = [(write.key, write.value), *write.extra_puts]
        body = {
            "expect": [{"key": write.key, "revision": write.revision}],
            "puts": [_build_put(k, v, write.lease) for k, v in puts if v is not None],
            "remove": [write.key] if write.value is None else [],
        }
        result = await self._request("POST", "/api/kv-txn", msgspec.json.encode(body))
        if result.is_error():
            return result
        status, content = result.ok
        if status == CONFLICT_STATUS:
            return _decode(OK_STATUS, content, _ConflictResponse).map(_convert_conflict)
        written = _decode(status, content, _WriteResponse)
        return written.map(lambda w: WriteOutcome(True, Revision(w.revision)))

    async def put(self, key, value, lease=0):
        """Write a key unconditionally.

        Returns
        -------
        Result of Revision, or of StoreFault
        """
        body = {"expect": [], "puts": [_build_put(key, value, lease)], "remove": []}
        result = await self._request("POST", "/api/kv-txn", msgspec.json.encode(body))
        if result.is_error():
            return result
        return _decode(*result.ok, _WriteResponse).map(lambda w: Revision(w.revision))

    async def grant_lease(self, ttl):
        """Create a lease that expires after `ttl` seconds.

        Returns
        -------
        Result of int, or of StoreFault
        """
        body = msgspec.json.encode({"ttl_ms": int(ttl * MS_PER_S)})
        result = await self._request("POST", "/api/kv-lease", body)
        if result.is_error():
            return result
        return _decode(*result.ok, _LeaseResponse).map(lambda granted: granted.lease)

    async def renew_lease(self, lease):
        """Renew a lease; `REJECTED` means that it may have ended.

        Returns
        -------
        Result of None, or of StoreFault
        """
        result = await self._request("POST", f"/api/kv-keep/{lease}")
        if result.is_error():
            return result
        status, _ = result.ok
        if status == NOT_FOUND_STATUS:
            return Error(StoreFault.REJECTED)
        return Ok(None) if status == OK_STATUS else Error(StoreFault.UNKNOWN)

    async def revoke_lease(self, lease):
        """Revoke a lease, which deletes the keys attached to it.

        Returns
        -------
        Result of tuple, or of StoreFault
        """
        return await self._request("DELETE", f"/api/kv-lease-end/{lease}")

    async def _request(self, method, path, body=b"", timeout=CALL_TIMEOUT_S):
        self.calls += 1
        connection = await self._get_connection()
        if connection is None:
            return Error(StoreFault.NOT_APPLIED)
        connection.send(self._encode(method, path, body))
        try:
            async with asyncio.timeout(timeout):
                head = await connection.read_head()
                content = await connection.read_body() if head.is_ok() else head
        except TimeoutError:
            connection.abort()
            return Error(StoreFault.UNKNOWN)
        except asyncio.CancelledError:
            connection.abort()
            raise
        if content.is_error():
            connection.abort()
            return Error(StoreFault.UNKNOWN)
        if connection.is_reusable():
            self._idle.append(connection)
        return Ok((head.ok.status, content.ok))

    async def _get_connection(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
        result = await open_connection(self._address, CONNECT_TIMEOUT_S)
        return result.ok if result.is_ok() else None

    def _encode(self, method, path, body):
        lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: " + self._host]
        if body:
            lines.append(b"Content-Type: application/json")
        if body or method == "POST":
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def close(self):
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()


def _decode(status, body, kind):
    if status in REJECTED_STATUSES:
        return Error(StoreFault.REJECTED)
    if status != OK_STATUS:
        return Error(StoreFault.UNKNOWN)
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError:
        return Error(StoreFault.UNKNOWN)


def _convert_item(item):
    return Entry(item.key, base64.b64decode(item.value), Revision(item.revision))


def _convert_changes(wire):
    return Changes(
        written=tuple(_convert_item(e) for e in wire.events if not e.deleted),
        deleted=tuple((e.key, Revision(e.revision)) for e in wire.events if e.deleted),
        revision=Revision(wire.current_rev),
    )


def _convert_conflict(wire):
    existing = _convert_item(wire.items[0]) if wire.items else None
    if existing is not None and existing.revision == 0:
        existing = None
    return WriteOutcome(False, Revision(0), existing)


def _build_put(key, value, lease):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "lease": lease,
    }
