"""Decodes the responses of the platform's metadata store."""

import base64
import binascii
from typing import Annotated

import msgspec
import structlog

from ..changes import REVISIONS_PER_ERA, Changes, Snapshot, combine_revision
from ..documents import decode_json
from ..ids import Revision
from ..writes import Entry, WriteOutcome

log = structlog.get_logger(__name__)

_Revision = Annotated[int, msgspec.Meta(ge=0, lt=REVISIONS_PER_ERA)]


class _Item(msgspec.Struct, frozen=True):
    key: str = ""
    value: str = ""
    # Revision of the key's last change, not of the store.
    revision: _Revision = 0
    deleted: bool = False


class _RangeResponse(msgspec.Struct, frozen=True):
    # Revision of the store at the read.
    current_rev: _Revision = 0
    # Decoded one by one, so that an item that can't be read costs itself alone.
    items: list[msgspec.Raw] = []
    # Whether there are further pages.
    more_pages: bool = False


class _WatchResponse(msgspec.Struct, frozen=True):
    current_rev: _Revision = 0
    events: list[msgspec.Raw] = []


class _WriteResponse(msgspec.Struct, frozen=True):
    revision: _Revision


class _LeaseResponse(msgspec.Struct, frozen=True):
    lease: int


class _ConflictResponse(msgspec.Struct, frozen=True):
    items: list[msgspec.Raw] = []


def decode_entry(era, body):
    """Decode a response with one item.

    All functions of this module share this signature.

    Parameters
    ----------
    era : int
        Era of the store that the response speaks for.
    body : bytes
        Body of the response.

    Returns
    -------
    Result of Entry, or of str
        The error is one line for the log.
    """
    return decode_json(body, _Item).map(lambda item: _convert_item(era, item))


def decode_page(era, body):
    """Return the Result of a page's Snapshot, and whether there are further pages."""
    return decode_json(body, _RangeResponse).map(lambda wire: _convert_page(era, wire))


def decode_changes(era, body):
    """Return the Result of the Changes that a watch reports."""
    return decode_json(body, _WatchResponse).map(
        lambda wire: _convert_changes(era, wire)
    )


def decode_written(era, body):
    """Return the Result of the Revision of a write that took effect."""
    return decode_json(body, _WriteResponse).map(
        lambda wire: combine_revision(era, wire.revision)
    )


def decode_conflict(era, body):
    """Return the Result of the WriteOutcome whose condition did not hold."""
    return decode_json(body, _ConflictResponse).map(
        lambda wire: _convert_conflict(era, wire)
    )


def decode_granted(era, body):
    """Return the Result of the id of a lease."""
    del era
    return decode_json(body, _LeaseResponse).map(lambda wire: wire.lease)


def _decode_items(raws):
    """Return the items that can be read; the others are logged."""
    items = []
    for raw in raws:
        decoded = decode_json(raw, _Item)
        if decoded.is_ok():
            items.append(decoded.ok)
        else:
            log.warning("unreadable item of the store", problem=decoded.error)
    return items


def _convert_item(era, item):
    revision = combine_revision(era, item.revision)
    return Entry(item.key, _decode_value(item), revision)


def _decode_value(item):
    """Return an item's value; empty, which names nothing, if it can't be read."""
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning("unreadable value", key=item.key, problem=str(error))
        return b""


def _convert_page(era, wire):
    entries = tuple(_convert_item(era, item) for item in _decode_items(wire.items))
    return Snapshot(entries, combine_revision(era, wire.current_rev)), wire.more_pages


def _convert_changes(era, wire):
    events = _decode_items(wire.events)
    return Changes(
        written=tuple(_convert_item(era, e) for e in events if not e.deleted),
        deleted=tuple(
            (e.key, combine_revision(era, e.revision)) for e in events if e.deleted
        ),
        revision=combine_revision(era, wire.current_rev),
    )


def _convert_conflict(era, wire):
    items = _decode_items(wire.items)
    existing = _convert_item(era, items[0]) if items else None
    if existing is not None and existing.revision == 0:
        existing = None
    return WriteOutcome(False, Revision(0), existing)
