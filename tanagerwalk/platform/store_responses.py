"""Responses of the platform's metadata store, as they are read from a connection."""

import asyncio
from dataclasses import dataclass

import structlog
from expression import Error

from ..writes import StoreFault
from .item_splitter import ItemSplitter
from .store_messages import ItemCollector

log = structlog.get_logger(__name__)

OK_STATUS = 200
# With these the store guarantees that the call had no effect.
REJECTED_STATUSES = frozenset({400, 403, 404, 413, 429, 503})
# Longer responses are split into their items while they are read.
MAX_WHOLE_BYTES = 256 * 1024
# Longest response that is read; the store tells the same in pages, too.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Most memory that the items of one response take.
MAX_ITEMS_BYTES = 24 * 1024 * 1024
# Longest time in seconds that a response may take, while more of it arrives.
MAX_READ_TIME_S = 10.0


@dataclass(frozen=True, slots=True)
class Response:
    """A response of the store.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Body, or its envelope if the items have been taken out.
    era : int
        Era of the store that it speaks for.
    items : ItemCollector or None
        Where the items of a list or a watch go.
    """

    status: int
    body: bytes
    era: int
    items: ItemCollector | None = None

    def decode(self, decode_body):
        """Return the Result of the body, by a function of `store_messages`.

        Parameters
        ----------
        decode_body : callable
            Takes the era and the body.
        """
        return self._check(lambda: decode_body(self.era, self.body))

    def decode_items(self, build):
        """Return the Result of a list or a watch, by a method of ItemCollector."""
        return self._check(lambda: build(self.items, self.body))

    def _check(self, decode):
        if self.status in REJECTED_STATUSES:
            return Error(StoreFault.REJECTED)
        if self.status != OK_STATUS:
            return Error(StoreFault.UNKNOWN)
        decoded = decode()
        if decoded.is_error():
            log.warning("unreadable response of the store", problem=decoded.error)
            return Error(StoreFault.UNKNOWN)
        return decoded


async def read_envelope(connection, head, items, limit):
    """Read the body of a list or a watch, and take the items out of a long one.

    Neither their number nor their size is bounded, as others write them. Every item is
    reduced to what is read of it before the next one is looked at.

    Parameters
    ----------
    connection : Connection
        Connection whose response has begun.
    head : ResponseHead
        Head of the response.
    items : ItemCollector
        Receives the items.
    limit : asyncio.Timeout
        Ends the call; moved on while more of the body arrives.

    Returns
    -------
    Result of bytes, or of StoreFault
        The envelope; that of a short response still contains its items.
    """
    size = head.content_length
    if size is not None and size <= MAX_WHOLE_BYTES:
        return (await connection.read_body()).map_error(_report_broken)
    timeout = limit.when() - asyncio.get_running_loop().time()
    ends_at = limit.when() + MAX_READ_TIME_S
    splitter = ItemSplitter()
    read_size = 0
    while (chunk := await connection.read_chunk()).is_ok() and chunk.ok:
        for item in splitter.feed(chunk.ok):
            items.add(item)
        read_size += len(chunk.ok)
        if items.changes.size > MAX_ITEMS_BYTES or read_size > MAX_RESPONSE_BYTES:
            return Error(StoreFault.OVERLONG)
        if not splitter.is_plausible:
            return Error(StoreFault.UNKNOWN)
        limit.reschedule(min(ends_at, asyncio.get_running_loop().time() + timeout))
    if splitter.overlong_count:
        log.warning("overlong items of the store", count=splitter.overlong_count)
    return chunk.map(lambda end: splitter.envelope).map_error(_report_broken)


def _report_broken(failure):
    del failure
    return StoreFault.UNKNOWN
