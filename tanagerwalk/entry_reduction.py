"""Reduces entries of the metadata store to what instances read of them.

Every writer of the store may leave any number of entries there, each with a value of a
megabyte. An instance must not hold what it doesn't read.
"""

from .changes import Changes

# Objects of an entry and of what is decoded from it, and its places in tables.
ENTRY_BYTES = 1024


class WholeEntries:
    """Keeps every entry as it is, for callers that name the keys which they read."""

    def is_read(self, key):
        """Return whether instances read the entry of a key."""
        del key
        return True

    def is_server(self, key):
        """Return whether a key is that of a backend server, which writes it often."""
        del key
        return False

    def reduce(self, entry):
        """Return the Entry with what is read of it, or None if that is nothing."""
        return entry


WHOLE_ENTRIES = WholeEntries()


class ReducedChanges:
    """Collects changes, or the entries of a list, reduced to what is read of them.

    Of several writes of a key the last one counts, and a deletion before it is dropped.

    Parameters
    ----------
    reduction : WholeEntries or EntryReduction
        Tells what is read.
    """

    def __init__(self, reduction):
        self._reduction = reduction
        self._written = {}
        self._deleted = {}
        self._unread_count = 0
        self._size = 0

    @property
    def size(self):
        """Estimated bytes of memory that the collected entries take."""
        return self._size

    @property
    def written(self):
        """Collected entries, as a tuple."""
        return tuple(self._written.values())

    def is_read(self, key):
        """Return whether a change of a key is read; count it as unread otherwise."""
        if self._reduction.is_read(key):
            return True
        self._unread_count += 1
        return False

    def add_written(self, entry):
        """Add an entry that was written; one that can't be read counts as deleted.

        Its key is one that is read.
        """
        reduced = self._reduction.reduce(entry)
        if reduced is None:
            self.add_deleted(entry.key, entry.revision)
            return
        self._deleted.pop(entry.key, None)
        earlier = self._written.pop(entry.key, None)
        if earlier is not None:
            self._size -= estimate_entry_bytes(earlier)
        self._written[entry.key] = reduced
        self._size += estimate_entry_bytes(reduced)

    def add_deleted(self, key, revision):
        """Add a key, which is read, that was deleted at a revision."""
        self._deleted[key] = revision

    def build(self, revision):
        """Return the Changes up to a revision."""
        return Changes(
            written=self.written,
            deleted=tuple(self._deleted.items()),
            revision=revision,
            unread_count=self._unread_count,
        )


def estimate_entry_bytes(entry):
    """Return an upper estimate of the bytes that a reduced entry takes."""
    return ENTRY_BYTES + len(entry.key) + len(entry.value)
