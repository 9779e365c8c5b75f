"""Client for the platform's key-value service, which speaks etcd v3 JSON over HTTP."""

import asyncio
import base64

import aiohttp
import structlog
from aiohttp.http_exceptions import LineTooLong
from expression import Error, Ok

from ..documents import decode_json
from ..ids import Revision
from ..writes import ABSENT, NewerRead, StoreFault, Write, WriteOutcome
from .http import read_body
from .keyvalue_messages import (
    KeepAliveResponse,
    LeaseResponse,
    RangeResponse,
    TxnResponse,
    WatchResponse,
    convert_first,
    convert_readable,
)

log = structlog.get_logger(__name__)

RANGE_END_ALL = b"\0"
REJECTED_STATUSES = frozenset({400, 404, 413})


class KeyValueClient:
    """Client for the etcd operations that the router needs.

    Every method returns a Result whose error is a `StoreFault`. `UNKNOWN` means that
    a write may have taken effect.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session used for all calls.
    base_url : str
        URL of the etcd gateway, with an IP address as host.
    timeout : float
        Timeout of one call in seconds.
    """

    def __init__(self, http, base_url, timeout):
        self._http = http
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def _call(self, path, body, response_type):
        try:
            async with self._http.post(
                self._base_url + path, json=body, timeout=self._timeout
            ) as response:
                content = await read_body(response)
                if response.status in REJECTED_STATUSES:
                    return Error(StoreFault.REJECTED)
                if response.status != 200:
                    return Error(StoreFault.UNKNOWN)
        except aiohttp.ClientConnectorError:
            return Error(StoreFault.NOT_APPLIED)
        except (aiohttp.ClientError, TimeoutError):
            return Error(StoreFault.UNKNOWN)
        return decode_json(content, response_type).map_error(_report_unreadable)

    async def get(self, key):
        """Read one key.

        Returns
        -------
        Result of Entry or None, or of StoreFault
        """
        body = {"key": _encode(key)}
        result = await self._call("/v3/kv/range", body, RangeResponse)
        return result.bind(lambda response: convert_first(response.kvs))

    async def get_newer(self, key, after):
        """Read one key if it was modified after a revision.

        Returns
        -------
        Result of NewerRead, or of StoreFault
        """
        body = {"key": _encode(key), "min_mod_revision": str(after + 1)}
        result = await self._call("/v3/kv/range", body, RangeResponse)
        return result.bind(_read_newer)

    async def list(self, prefix):
        """Read all keys that begin with `prefix`.

        Returns
        -------
        Result of list of Entry, or of StoreFault
        """
        body = {"key": _encode(prefix), "range_end": _encode_range_end(prefix)}
        result = await self._call("/v3/kv/range", body, RangeResponse)
        return result.map(lambda response: convert_readable(response.kvs))

    async def create(self, key, value, lease=0):
        """Write a key if it does not exist yet.

        Parameters
        ----------
        key : str
            The key.
        value : bytes
            The value.
        lease : int
            Lease that the key is attached to; 0 for none.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
        """
        return await self.write(Write(key, value, ABSENT, lease))

    async def replace(self, key, value, revision, lease=0):
        """Write a key if it was last modified at `revision`.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
        """
        return await self.write(Write(key, value, revision, lease))

    async def delete(self, key, revision):
        """Delete a key if it was last modified at `revision`.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
        """
        return await self.write(Write(key, None, revision))

    async def write(self, write):
        """Perform one conditional write.

        Parameters
        ----------
        write : Write
            The write.

        Returns
        -------
        Result of WriteOutcome, or of StoreFault
        """
        result = await self._call("/v3/kv/txn", _render_write(write), TxnResponse)
        return result.bind(lambda txn: _read_outcome(txn, txn.header))

    async def write_all(self, writes):
        """Perform conditional writes of distinct keys in one transaction.

        Each write depends on its own condition only.

        Parameters
        ----------
        writes : sequence of Write
            Fewer than the store's limit of operations per transaction.

        Returns
        -------
        Result of list of WriteOutcome, or of StoreFault
            In the order of `writes`. A single invalid write is enough for
            `REJECTED`.
        """
        nested = [{"request_txn": _render_write(write)} for write in writes]
        body = {"compare": [], "success": nested, "failure": []}
        result = await self._call("/v3/kv/txn", body, TxnResponse)
        return result.bind(_read_outcomes)

    async def wait_for_change(self, prefix, after, limit):
        """Wait until a key under `prefix` is modified after a revision.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        after : Revision
            Latest revision that the caller has seen.
        limit : float
            Longest time to wait in seconds.

        Returns
        -------
        Result of list of Entry, or of StoreFault
            The modified entries; empty if the wait timed out.
        """
        request = {
            "key": _encode(prefix),
            "range_end": _encode_range_end(prefix),
            "start_revision": str(after + 1),
        }
        try:
            async with (
                asyncio.timeout(limit),
                self._http.post(
                    self._base_url + "/v3/watch",
                    json={"create_request": request},
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response,
            ):
                return await _read_events(response)
        except TimeoutError:
            return Ok([])
        except LineTooLong:
            # It is no ClientError. The value is still read by `get`.
            return Error(StoreFault.UNKNOWN)
        except aiohttp.ClientError:
            return Error(StoreFault.UNKNOWN)

    async def grant_lease(self, ttl):
        """Create a lease with a time to live of `ttl` seconds.

        Returns
        -------
        Result of int, or of StoreFault
            The lease id.
        """
        body = {"TTL": str(int(ttl))}
        result = await self._call("/v3/lease/grant", body, LeaseResponse)
        return result.map(lambda response: int(response.ID))

    async def keep_lease(self, lease):
        """Renew a lease.

        Returns
        -------
        Result of bool, or of StoreFault
            False if the lease has expired.
        """
        body = {"ID": str(lease)}
        result = await self._call("/v3/lease/keepalive", body, KeepAliveResponse)
        return result.map(lambda response: int(response.result.TTL) > 0)

    async def revoke_lease(self, lease):
        """Revoke a lease, which deletes its keys.

        Returns
        -------
        Result of None, or of StoreFault
        """
        body = {"ID": str(lease)}
        result = await self._call("/v3/lease/revoke", body, LeaseResponse)
        return result.map(lambda _response: None)


def _report_unreadable(problem):
    log.warning("unreadable response of the store", problem=problem)
    return StoreFault.UNKNOWN


async def _read_events(response):
    if response.status != 200:
        return Error(StoreFault.UNKNOWN)
    async for line in response.content:
        decoded = decode_json(line, WatchResponse)
        if decoded.is_error():
            return decoded.map_error(_report_unreadable)
        result = decoded.ok.result
        if result.canceled:
            return Error(StoreFault.UNKNOWN)
        entries = convert_readable(e.kv for e in result.events if e.kv.key)
        if entries:
            return Ok(entries)
    return Error(StoreFault.UNKNOWN)


def _read_outcomes(txn):
    # Nested responses have no revision; all share that of the outer transaction.
    nested = [each.response_txn or TxnResponse() for each in txn.responses]
    outcomes = [_read_outcome(each, txn.header) for each in nested]
    faulty = [outcome for outcome in outcomes if outcome.is_error()]
    return faulty[0] if faulty else Ok([outcome.ok for outcome in outcomes])


def _read_outcome(txn, header):
    """Return the Result of a WriteOutcome, or of StoreFault."""
    pairs = [
        pair
        for operation in txn.responses
        if operation.response_range is not None
        for pair in operation.response_range.kvs[:1]
    ]
    revision = Revision(int(header.revision))
    return convert_first(pairs[-1:]).map(
        lambda existing: WriteOutcome(txn.succeeded, revision, existing)
    )


def _render_write(write):
    key = _encode(write.key)
    if write.revision == ABSENT:
        compare = {"key": key, "target": "CREATE", "create_revision": "0"}
    else:
        compare = {"key": key, "target": "MOD", "mod_revision": str(write.revision)}
    return {
        "compare": [{"result": "EQUAL", **compare}],
        "success": [
            _render_operation(write, key),
            *(_render_put(name, value) for name, value in write.extra_puts),
        ],
        "failure": [{"request_range": {"key": key}}],
    }


def _read_newer(response):
    revision = Revision(int(response.header.revision))
    return convert_first(response.kvs).map(lambda entry: NewerRead(entry, revision))


def _render_operation(write, key):
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    return _render_put(write.key, write.value, write.lease)


def _render_put(name, value, lease=0):
    put = {"key": _encode(name), "value": base64.b64encode(value).decode()}
    if lease:
        put["lease"] = str(lease)
    return {"request_put": put}


def _encode(key):
    return base64.b64encode(key.encode()).decode()


def _encode_range_end(prefix):
    raw = prefix.encode()
    end = raw[:-1] + bytes([raw[-1] + 1]) if raw else RANGE_END_ALL
    return base64.b64encode(end).decode()
