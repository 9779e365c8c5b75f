"""Decodes the responses of the platform's metadata store."""

import base64
import binascii
import time
from typing import Annotated

import msgspec
from expression import Ok

from ..changes import REVISIONS_PER_ERA, Snapshot, combine_revision
from ..documents import decode_json
from ..entry_reduction import WHOLE_ENTRIES, ReducedChanges
from ..ids import Revision
from ..repeated_warnings import RateLimitedWarning
from ..writes import Entry, WriteOutcome

# Another writer may leave any number of them.
_UNREADABLE_ITEMS = RateLimitedWarning("unreadable item of the store", time.monotonic)
_UNREADABLE_VALUES = RateLimitedWarning("unreadable value", time.monotonic)

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


class ItemCollector:
    """Collects the items of a response, one by one, reduced to what is read of them.

    Parameters
    ----------
    era : int
        Era of the store that the response speaks for.
    reduction : WholeEntries or EntryReduction
        Tells what is read.

    Attributes
    ----------
    changes : ReducedChanges
        The items.
    last_key : str or None
        Key of the last item, whether it is read or not.
    """

    def __init__(self, era, reduction=WHOLE_ENTRIES):
        self._era = era
        self.changes = ReducedChanges(reduction)
        self.last_key = None

    def add(self, raw):
        """Add an item in JSON; one that can't be read is logged."""
        decoded = decode_json(raw, _Item)
        if decoded.is_error():
            _UNREADABLE_ITEMS.record(problem=decoded.error)
            return
        item = decoded.ok
        self.last_key = item.key
        if not self.changes.is_read(item.key):
            return
        if item.deleted:
            revision = combine_revision(self._era, item.revision)
            self.changes.add_deleted(item.key, revision)
        else:
            self.changes.add_written(_convert_item(self._era, item))

    def build_page(self, envelope):
        """Return the Result of a page's Snapshot, and whether there are further pages.

        Parameters
        ----------
        envelope : bytes
            The response; items that are still in it are added.
        """
        decoded = decode_json(envelope, _RangeResponse)
        if decoded.is_error():
            return decoded
        page = decoded.ok
        self._add_all(page.items)
        revision = combine_revision(self._era, page.current_rev)
        return Ok((Snapshot(self.changes.written, revision), page.more_pages))

    def build_changes(self, envelope):
        """Return the Result of the Changes that a watch reports; see `build_page`."""
        decoded = decode_json(envelope, _WatchResponse)
        if decoded.is_error():
            return decoded
        self._add_all(decoded.ok.events)
        revision = combine_revision(self._era, decoded.ok.current_rev)
        return Ok(self.changes.build(revision))

    def _add_all(self, raws):
        for raw in raws:
            self.add(raw)


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
    return ItemCollector(era).build_page(body)


def decode_changes(era, body):
    """Return the Result of the Changes that a watch reports."""
    return ItemCollector(era).build_changes(body)


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
            _UNREADABLE_ITEMS.record(problem=decoded.error)
    return items


def _convert_item(era, item):
    revision = combine_revision(era, item.revision)
    return Entry(item.key, _decode_value(item), revision)


def _decode_value(item):
    """Return an item's value; empty, which names nothing, if it can't be read."""
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        _UNREADABLE_VALUES.record(key=item.key, problem=str(error))
        return b""


def _convert_conflict(era, wire):
    items = _decode_items(wire.items)
    existing = _convert_item(era, items[0]) if items else None
    if existing is not None and existing.revision == 0:
        existing = None
    return WriteOutcome(False, Revision(0), existing)
