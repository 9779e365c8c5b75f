"""Entries of the store that an instance keeps, and the memory that they take."""

import time

from ..entry_reduction import estimate_entry_bytes
from ..repeated_warnings import RateLimitedWarning

# Ten times what the entries of the largest fleet take.
CAPACITY_BYTES = 16 * 1024 * 1024
# Share of the capacity that servers' entries may take: any number of them may come from
# other writers, and the others must find room beside them.
SERVER_SHARE = 0.75


class EntryMemory:
    """Counts the memory of entries, and tells which new ones have room.

    Parameters
    ----------
    server_prefix : str
        Key prefix of the entries of backend servers.
    capacity : int
        Most bytes that entries take before new ones are left out.

    Attributes
    ----------
    used : int
        Bytes in use.
    hold : callable
        Takes by how many bytes the use grows or, if negative, shrinks.
    has_left_out : bool
        Whether an entry was left out since the store was listed last.
    """

    def __init__(self, server_prefix, capacity=CAPACITY_BYTES):
        self._server_prefix = server_prefix
        self._capacity = capacity
        self._warning = RateLimitedWarning(
            "no room for an entry of the store", time.monotonic
        )
        self.used = 0
        self.hold = _ignore
        self.has_left_out = False

    def change(self, amount):
        """Count more bytes, or fewer if the amount is negative."""
        self.used += amount
        self.hold(amount)

    def has_room(self, entry):
        """Return whether a new entry has room; log it otherwise."""
        is_server = entry.key.startswith(self._server_prefix)
        limit = self._capacity * (SERVER_SHARE if is_server else 1.0)
        if self.used + estimate_entry_bytes(entry) <= limit:
            return True
        self.has_left_out = True
        self._warning.record(key=entry.key, used=self.used)
        return False

    @property
    def may_list_again(self):
        """Whether entries were left out that may have room by now."""
        return self.has_left_out and self.used <= 0.5 * self._capacity


class EntryTable(dict):
    """Entries by key, whose memory is counted.

    It is changed by `put` and `discard` alone.

    Parameters
    ----------
    memory : EntryMemory
        Counts the memory; other tables may share it.
    """

    def __init__(self, memory):
        super().__init__()
        self._memory = memory

    def put(self, entry):
        """Keep an entry; return whether there is room, as for one that replaces."""
        earlier = self.get(entry.key)
        if earlier is None and not self._memory.has_room(entry):
            return False
        before = 0 if earlier is None else estimate_entry_bytes(earlier)
        self[entry.key] = entry
        self._memory.change(estimate_entry_bytes(entry) - before)
        return True

    def discard(self, key):
        """Remove an entry and return it, or None if there is none."""
        entry = self.pop(key, None)
        if entry is not None:
            self._memory.change(-estimate_entry_bytes(entry))
        return entry


def _ignore(amount):
    del amount
