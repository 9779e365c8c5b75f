"""Tells what instances read of the entries in the platform's metadata store."""

import time

import msgspec

from ..gateway.own_keys import READ_PREFIXES
from ..repeated_warnings import RateLimitedWarning
from ..writes import Entry
from .names import (
    EVACUATION_PREFIX,
    MANIFEST_KEY,
    ROLLOUT_ORDER_PREFIX,
    SERVER_PREFIX,
)
from .servers import decode_order, decode_server, parse_rollout_order, parse_server

# The store's longest key.
MAX_KEY_CHARACTERS = 200
# Larger values are encoded anew, with nothing but the fields that are read.
MAX_WHOLE_BYTES = 1024
# An entry of an instance has a few hundred bytes.
MAX_OWN_BYTES = 4096
PLATFORM_PREFIXES = (SERVER_PREFIX, ROLLOUT_ORDER_PREFIX, EVACUATION_PREFIX)


class EntryReduction:
    """Reduces entries to what the gateway reads of them.

    Whatever another writer has left, an entry other than the manifest then takes a few
    kilobytes at most.
    """

    def __init__(self):
        self._unreadable = RateLimitedWarning(
            "cannot decode store entry", time.monotonic
        )

    def is_read(self, key):
        """Return whether instances read the entry of a key."""
        if key == MANIFEST_KEY:
            return True
        is_known = key.startswith(PLATFORM_PREFIXES) or key.startswith(READ_PREFIXES)
        return is_known and len(key) <= MAX_KEY_CHARACTERS

    def is_server(self, key):
        """Return whether a key is that of a backend server, which writes it often."""
        return key.startswith(SERVER_PREFIX)

    def reduce(self, entry):
        """Return the Entry with what is read of it, or None if that is nothing.

        Parameters
        ----------
        entry : Entry
            An entry whose key is read.
        """
        if entry.key == MANIFEST_KEY:
            return entry
        if self.is_server(entry.key):
            return self._reduce_document(entry, parse_server, decode_server)
        if entry.key.startswith(ROLLOUT_ORDER_PREFIX):
            return self._reduce_document(entry, parse_rollout_order, decode_order)
        if entry.key.startswith(EVACUATION_PREFIX):
            # The key says everything.
            return Entry(entry.key, b"", entry.revision)
        return self._reduce_own(entry)

    def _reduce_document(self, entry, parse, decode):
        parsed = parse(entry.key, entry.value, entry.revision)
        if parsed.is_error():
            self._unreadable.record(key=entry.key, problem=parsed.error)
            return None
        if len(entry.value) <= MAX_WHOLE_BYTES:
            return entry
        value = msgspec.json.encode(decode(entry.value))
        return Entry(entry.key, value, entry.revision)

    def _reduce_own(self, entry):
        if len(entry.value) <= MAX_OWN_BYTES:
            return entry
        size = len(entry.value)
        self._unreadable.record(key=entry.key, problem=f"{size} bytes")
        return None
