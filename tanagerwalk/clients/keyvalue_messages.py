"""Messages of the key-value service, which speaks etcd v3 JSON."""

import base64
from typing import Annotated

import msgspec
import structlog
from expression import Error, Ok

from ..ids import Revision
from ..writes import Entry, StoreFault

log = structlog.get_logger(__name__)

# 64-bit numbers, which etcd writes as text.
_Number = Annotated[str, msgspec.Meta(pattern=r"^-?[0-9]{1,19}$")]


class _KeyValuePair(msgspec.Struct, frozen=True):
    key: str = ""
    value: str = ""
    mod_revision: str = "0"


class _Header(msgspec.Struct, frozen=True):
    revision: _Number = "0"


class RangeResponse(msgspec.Struct, frozen=True):
    """Pairs that were read."""

    header: _Header = _Header()
    kvs: list[_KeyValuePair] = []


class _OperationResponse(msgspec.Struct, frozen=True):
    response_range: RangeResponse | None = None
    response_txn: "TxnResponse | None" = None


class TxnResponse(msgspec.Struct, frozen=True):
    """Outcome of a transaction, and the responses of its operations."""

    header: _Header = _Header()
    succeeded: bool = False
    responses: list[_OperationResponse] = []


class _Event(msgspec.Struct, frozen=True):
    kv: _KeyValuePair = _KeyValuePair()
    type: str = "PUT"


class _WatchResult(msgspec.Struct, frozen=True):
    header: _Header = _Header()
    events: list[_Event] = []
    canceled: bool = False


class WatchResponse(msgspec.Struct, frozen=True):
    """Changes that a watch reports."""

    result: _WatchResult = _WatchResult()


class LeaseResponse(msgspec.Struct, frozen=True):
    """A lease that was granted."""

    ID: _Number = "0"
    TTL: _Number = "0"


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """The time that a renewed lease has left."""

    result: LeaseResponse = LeaseResponse()


def convert_first(pairs):
    """Return the Result of the first pair's Entry, None without one, or StoreFault."""
    return _convert(pairs[0]) if pairs else Ok(None)


def convert_readable(pairs):
    """Return the entries of the pairs that can be read; the others are logged."""
    results = map(_convert, pairs)
    return [result.ok for result in results if result.is_ok()]


def _convert(pair):
    """Return the Result of an Entry; a value that can't be read is empty."""
    try:
        key = base64.b64decode(pair.key, validate=True).decode()
        revision = Revision(int(pair.mod_revision))
    except ValueError as error:
        log.warning("unreadable pair of the store", problem=str(error))
        return Error(StoreFault.UNREADABLE)
    try:
        value = base64.b64decode(pair.value, validate=True)
    except ValueError as error:
        log.warning("unreadable value of the store", key=key, problem=str(error))
        value = b""
    return Ok(Entry(key, value, revision))
