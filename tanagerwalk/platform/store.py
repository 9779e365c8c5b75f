"""Client of the platform's metadata store."""

import asyncio
import base64
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from expression import Error, Ok

from ..gateway.connections import open_connection
from ..ids import Revision
from ..writes import Entry, StoreFault, WriteOutcome

CONNECT_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 1.5
WATCH_SLACK_S = 1.5
MS_PER_S = 1000
OK_STATUS = 200
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 412
HISTORY_GONE_STATUS = 410
# These say that nothing was done.
REFUSED_STATUSES = frozenset({400, 403, 404, 413, 429, 503})


class _Item(msgspec.Struct, frozen=True):
    key: str = ""
    value: str = ""
    # Of the key's last change, not of the store.
    revision: int = 0
    deleted: bool = False


class _Range(msgspec.Struct, frozen=True):
    # Of the store, at the read.
    current_rev: int = 0
    items: list[_Item] = []
    # Whether another page follows.
    more_pages: bool = False


class _Changes(msgspec.Struct, frozen=True):
    current_rev: int = 0
    events: list[_Item] = []


class _Single(msgspec.Struct, frozen=True):
    key: str
    value: str
    revision: int


class _Written(msgspec.Struct, frozen=True):
    revision: int


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class _Conflict(msgspec.Struct, frozen=True):
    items: list[_Item] = []


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix, at or after a revision."""

    entries: tuple[Entry, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Changes:
    """Entries written and keys deleted since a revision.

    Parameters
    ----------
    written : tuple of Entry
        Entries that were written.
    deleted : tuple of (str, Revision)
        Keys that were deleted.
    revision : Revision
        Where to go on.
    lost : bool
        Whether the store no longer has the changes; list again.
    """

    written: tuple[Entry, ...] = ()
    deleted: tuple[tuple[str, Revision], ...] = ()
    revision: Revision = Revision(0)
    lost: bool = False

    @property
    def is_empty(self):
        """Whether nothing was written or deleted."""
        return not self.written and not self.deleted


class MetadataStore:
    """Calls the metadata store.

    Every method returns a Result whose error is a `StoreFault`; after `UNKNOWN` a
    write may have taken effect, or may still do so.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    """

    def __init__(self, address):
        self._address = address
        self._host = b"%s:%d" % (address[0].encode(), address[1])
        self._idle = []
        self.calls = 0

    async def get(self, key):
        """Read one key.

        Returns
        -------
        Result of Entry or None, or of StoreFault
        """
        path = f"/api/kv-key?key={quote(key, safe='')}"
        result = await self._call("GET", path)
        if result.is_error():
            return result
        status, body = result.ok
        if status == NOT_FOUND_STATUS:
            return Ok(None)
        item = _decode(status, body, _Single)
        return item.map(_convert_item)

    async def list(self, prefix):
        """Read every entry under a prefix.

        Returns
        -------
        Result of Snapshot, or of StoreFault
            The revision is that of the first page, so that a watch from there
            misses nothing that later pages may or may not show.
        """
        entries = {}
        revision = None
        after = ""
        while True:
            path = f"/api/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            result = await self._call("GET", path)
            if result.is_error():
                return result
            page = _decode(*result.ok, _Range)
            if page.is_error():
                return page
            for item in page.ok.items:
                entries[item.key] = _convert_item(item)
                after = item.key
            revision = page.ok.current_rev if revision is None else revision
            if not page.ok.more_pages or not page.ok.items:
                return Ok(Snapshot(tuple(entries.values()), Revision(revision)))

    async def wait_for_changes(self, prefix, after, wait):
        """Wait for changes under a prefix.

        Parameters
        ----------
        prefix : str
            The prefix.
        after : int
            Revision to go on from.
        wait : float
            Longest wait in seconds.

        Returns
        -------
        Result of Changes, or of StoreFault
        """
        path = (
            f"/api/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
            f"&wait_ms={int(wait * MS_PER_S)}"
        )
        result = await self._call("GET", path, limit=wait + WATCH_SLACK_S)
        if result.is_error():
            return result
        status, body = result.ok
        if status == HISTORY_GONE_STATUS:
            return Ok(Changes(lost=True))
        return _decode(status, body, _Changes).map(_convert_changes)

    async def write(self, write):
        """Write one key if it is as expected.

        Parameters
        ----------
        write : Write
            The write.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
        """
        puts = [(write.key, write.value), *write.extra_puts]
        body = {
            "expect": [{"key": write.key, "revision": write.revision}],
            "puts": [_render_put(k, v, write.lease) for k, v in puts if v is not None],
            "remove": [write.key] if write.value is None else [],
        }
        result = await self._call("POST", "/api/kv-txn", msgspec.json.encode(body))
        if result.is_error():
            return result
        status, content = result.ok
        if status == CONFLICT_STATUS:
            return _decode(OK_STATUS, content, _Conflict).map(_convert_conflict)
        written = _decode(status, content, _Written)
        return written.map(lambda w: WriteOutcome(True, Revision(w.revision)))

    async def put(self, key, value, lease=0):
        """Write one key, whatever it holds.

        Returns
        -------
        Result of Revision, or of StoreFault
        """
        body = {"expect": [], "puts": [_render_put(key, value, lease)], "remove": []}
        result = await self._call("POST", "/api/kv-txn", msgspec.json.encode(body))
        if result.is_error():
            return result
        return _decode(*result.ok, _Written).map(lambda w: Revision(w.revision))

    async def grant_lease(self, ttl):
        """Ask for a lease of `ttl` seconds.

        Returns
        -------
        Result of int, or of StoreFault
        """
        body = msgspec.json.encode({"ttl_ms": int(ttl * MS_PER_S)})
        result = await self._call("POST", "/api/kv-lease", body)
        if result.is_error():
            return result
        return _decode(*result.ok, _Lease).map(lambda granted: granted.lease)

    async def keep_lease(self, lease):
        """Renew a lease; `REJECTED` says that it may have ended.

        Returns
        -------
        Result of None, or of StoreFault
        """
        result = await self._call("POST", f"/api/kv-keep/{lease}")
        if result.is_error():
            return result
        status, _ = result.ok
        if status == NOT_FOUND_STATUS:
            return Error(StoreFault.REJECTED)
        return Ok(None) if status == OK_STATUS else Error(StoreFault.UNKNOWN)

    async def end_lease(self, lease):
        """End a lease, and with it its keys.

        Returns
        -------
        Result of tuple, or of StoreFault
        """
        return await self._call("DELETE", f"/api/kv-lease-end/{lease}")

    async def _call(self, method, path, body=b"", limit=CALL_TIMEOUT_S):
        self.calls += 1
        connection = await self._take_connection()
        if connection is None:
            return Error(StoreFault.NOT_APPLIED)
        connection.send(self._encode(method, path, body))
        try:
            async with asyncio.timeout(limit):
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

    async def _take_connection(self):
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
        """Close the kept connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()


def _decode(status, body, kind):
    if status in REFUSED_STATUSES:
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


def _render_put(key, value, lease):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "lease": lease,
    }
