"""HTTP client of the platform's metadata store."""

import asyncio
import base64
from dataclasses import replace
from urllib.parse import quote

import msgspec
import structlog
from expression import Error, Ok

from ..changes import Changes, Snapshot, split_revision
from ..entry_reduction import WHOLE_ENTRIES, ReducedChanges, estimate_entry_bytes
from ..gateway.connections import open_connection
from ..ids import Revision
from ..writes import StoreFault, WriteOutcome
from .names import STORE_ERA
from .numbers import parse_count
from .store_messages import (
    ItemCollector,
    decode_conflict,
    decode_entry,
    decode_granted,
    decode_written,
)
from .store_responses import OK_STATUS, Response, read_envelope

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 1.5
# Time that a watch may take beyond the wait it asked for.
WATCH_TIMEOUT_MARGIN_S = 1.5
MS_PER_S = 1000
# With more restores than this, revisions would not fit the messages between instances.
MAX_ERA = 2**16
MAX_LOGGED_BYTES = 80
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 412
COMPACTED_STATUS = 410
# Most memory that a list takes; more entries than this are left out. Servers leave room
# to the others, which are written once.
MAX_LISTED_BYTES = 24 * 1024 * 1024
MAX_LISTED_SERVER_BYTES = 18 * 1024 * 1024
# An item with the longest value takes less; lists and watches have their own bounds.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class MetadataStore:
    """Client of the metadata store that reuses idle connections.

    Revisions are ordered over all eras of the store; see `combine_revision`.

    Every method returns a Result whose error is a `StoreFault`. After `UNKNOWN` a
    write may have taken effect, or may still do so; it is never retried here.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    reduction : WholeEntries or EntryReduction
        Tells what lists and watches return of the entries that they find.

    Attributes
    ----------
    calls : int
        Number of calls so far.
    era : int
        The newest era that the store has told.
    """

    def __init__(self, address, reduction=WHOLE_ENTRIES):
        self._address = address
        self._reduction = reduction
        self._host = b"%s:%d" % (address[0].encode(), address[1])
        self._idle = []
        self.calls = 0
        self.era = 0

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
        if result.ok.status == NOT_FOUND_STATUS:
            return Ok(None)
        return result.ok.decode(decode_entry)

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
            The revision is the smallest of all pages, of which an old read may answer
            each from another time. Pages may or may not include changes made since,
            and a watch from there reports them all.
        """
        listed = ReducedChanges(WHOLE_ENTRIES)
        is_whole = True
        revision = None
        after = ""
        while True:
            path = f"/api/kv-range?prefix={quote(prefix, safe='')}"
            if may_be_old:
                path += "&stale_ok=1"
            if after:
                path += f"&after={quote(after, safe='')}"
            result = await self._request_items(path, CALL_TIMEOUT_S)
            if result.is_error():
                return result
            page = result.ok.decode_items(ItemCollector.build_page)
            if page.is_error():
                return page
            snapshot, has_more = page.ok
            if revision is not None and _is_other_era(snapshot.revision, revision):
                # The store was restored between two pages.
                return Error(StoreFault.UNKNOWN)
            for entry in snapshot.entries:
                if self._has_room(listed, entry):
                    listed.add_written(entry)
                else:
                    is_whole = False
            revision = min(snapshot.revision, revision or snapshot.revision)
            if not has_more:
                return Ok(Snapshot(listed.written, revision, is_whole))
            after = result.ok.items.last_key
            if after is None:
                # Nothing tells where the next page begins.
                return Error(StoreFault.UNKNOWN)

    def _has_room(self, listed, entry):
        is_server = self._reduction.is_server(entry.key)
        limit = MAX_LISTED_SERVER_BYTES if is_server else MAX_LISTED_BYTES
        return listed.size + estimate_entry_bytes(entry) <= limit

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
        era, own_revision = split_revision(after)
        if era != self.era:
            # The store may have given out this revision again.
            return Ok(Changes(compacted=True))
        path = (
            f"/api/kv-watch?prefix={quote(prefix, safe='')}&after={own_revision}"
            f"&wait_ms={int(wait * MS_PER_S)}"
        )
        result = await self._request_items(path, wait + WATCH_TIMEOUT_MARGIN_S)
        if result.is_error() and result.error is StoreFault.OVERLONG:
            # What a list holds is bounded.
            return Ok(Changes(compacted=True))
        if result.is_error():
            return result
        response = result.ok
        if response.status == COMPACTED_STATUS or response.era != era:
            return Ok(Changes(compacted=True))
        return response.decode_items(ItemCollector.build_changes)

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
        era, own_revision = split_revision(write.revision)
        if own_revision and era != self.era:
            return Ok(WriteOutcome(False, Revision(0)))
        puts = [(write.key, write.value), *write.extra_puts]
        body = {
            "expect": [{"key": write.key, "revision": own_revision}],
            "puts": [_build_put(k, v, write.lease) for k, v in puts if v is not None],
            "remove": [write.key] if write.value is None else [],
        }
        result = await self._request("POST", "/api/kv-txn", msgspec.json.encode(body))
        if result.is_error():
            return result
        response = result.ok
        if response.status == CONFLICT_STATUS:
            conflict = replace(response, status=OK_STATUS)
            return conflict.decode(decode_conflict)
        written = response.decode(decode_written)
        return written.map(lambda revision: WriteOutcome(True, revision))

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
        return result.ok.decode(decode_written)

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
        return result.ok.decode(decode_granted)

    async def renew_lease(self, lease):
        """Renew a lease; `REJECTED` means that it may have ended.

        Returns
        -------
        Result of None, or of StoreFault
        """
        result = await self._request("POST", f"/api/kv-keep/{lease}")
        if result.is_error():
            return result
        status = result.ok.status
        if status == NOT_FOUND_STATUS:
            return Error(StoreFault.REJECTED)
        return Ok(None) if status == OK_STATUS else Error(StoreFault.UNKNOWN)

    async def revoke_lease(self, lease):
        """Revoke a lease, which deletes the keys attached to it.

        Returns
        -------
        Result of None, or of StoreFault
        """
        result = await self._request("DELETE", f"/api/kv-lease-end/{lease}")
        return result.map(lambda response: None)

    async def _request(self, method, path, body=b"", timeout=CALL_TIMEOUT_S):
        async def read(connection, limit):
            head = await connection.read_head()
            if head.is_error():
                return head
            content = await connection.read_body(MAX_ANSWER_BYTES)
            return content.map(
                lambda body: Response(head.ok.status, body, self._read_era(head.ok))
            )

        return await self._call(self._encode(method, path, body), timeout, read)

    async def _request_items(self, path, timeout):
        """Make a call whose response has items; see `read_envelope`."""

        async def read(connection, limit):
            head = await connection.read_head()
            if head.is_error():
                return head
            era = self._read_era(head.ok)
            items = ItemCollector(era, self._reduction)
            content = await read_envelope(connection, head.ok, items, limit)
            return content.map(lambda body: Response(head.ok.status, body, era, items))

        return await self._call(self._encode("GET", path), timeout, read)

    async def _call(self, request, timeout, read):
        """Send a request and return the Result of reading its response.

        Parameters
        ----------
        request : bytes
            The encoded request.
        timeout : float
            Timeout of the call in seconds.
        read : callable
            Coroutine function that takes the Connection and the asyncio.Timeout, and
            returns a Result of Response, or of ConnectionFailure or StoreFault.
        """
        self.calls += 1
        connection = await self._get_connection()
        if connection is None:
            return Error(StoreFault.NOT_APPLIED)
        if connection.send(request).is_error():
            return Error(StoreFault.NOT_APPLIED)
        try:
            async with asyncio.timeout(timeout) as limit:
                response = await read(connection, limit)
        except TimeoutError:
            connection.abort()
            # The others may have been cut with it.
            self.drop_idle()
            return Error(StoreFault.UNKNOWN)
        except BaseException:
            # Cancelled, or a defect: whatever may still arrive belongs to no call.
            connection.abort()
            raise
        if response.is_error():
            connection.abort()
            is_overlong = response.error is StoreFault.OVERLONG
            return Error(StoreFault.OVERLONG if is_overlong else StoreFault.UNKNOWN)
        if connection.is_reusable():
            self._idle.append(connection)
        return response

    def _read_era(self, head):
        """Return the era of a response, and remember the newest one."""
        value = head.get_header(STORE_ERA) or b"0"
        era = parse_count(value)
        if era is None or era > MAX_ERA:
            log.warning("invalid era of the store", value=value[:MAX_LOGGED_BYTES])
            return self.era
        if era > self.era:
            log.info("store restored from an older copy", era=era, before=self.era)
            self.era = era
        return era

    async def _get_connection(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
        result = await open_connection(self._address, CONNECT_TIMEOUT_S)
        return result.ok if result.is_ok() else None

    def _encode(self, method, path, body=b""):
        lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: " + self._host]
        if body:
            lines.append(b"Content-Type: application/json")
        if body or method == "POST":
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def drop_idle(self):
        """Close the idle connections, so that the next call opens a new one."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def close(self):
        """Close the idle connections at the end."""
        self.drop_idle()


def _is_other_era(revision, other):
    return split_revision(revision)[0] != split_revision(other)[0]


def _build_put(key, value, lease):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "lease": lease,
    }
