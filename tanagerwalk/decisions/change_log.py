"""Recent changes of the store, kept so that other instances can ask for them."""

from collections import OrderedDict
from itertools import islice

from ..changes import Changes
from ..entry_reduction import estimate_entry_bytes
from ..ids import Revision

MAX_CHANGES = 4096
# Of written entries; those that the copy of the store has, too, take no more for it.
MAX_BYTES = 6 * 1024 * 1024


class ChangeLog:
    """The last change of each key since a revision.

    A key that changed several times is reported once, as it is now: a reader that
    applies all changes since a revision ends with the same entries.
    """

    def __init__(self):
        self._first = None
        self._last = Revision(0)
        # Dropping the first key of a plain dict passes all that were dropped before.
        self._written = OrderedDict()
        self._deleted = OrderedDict()
        self._size = 0

    def start(self, revision):
        """Begin at a revision of the store; changes up to it are not known."""
        self._first = revision
        self._last = revision
        self._written.clear()
        self._deleted.clear()
        self._size = 0

    @property
    def is_started(self):
        """Whether the log covers any revision."""
        return self._first is not None

    def record(self, changes):
        """Add changes that follow the ones recorded so far."""
        for entry in changes.written:
            self._deleted.pop(entry.key, None)
            # Keeps the keys in the order of their last change.
            self._forget_written(entry.key)
            self._written[entry.key] = entry
            self._size += estimate_entry_bytes(entry)
        for key, revision in changes.deleted:
            written = self._written.get(key)
            if written is not None and written.revision > revision:
                # It was written again.
                continue
            self._forget_written(key)
            self._deleted.pop(key, None)
            self._deleted[key] = revision
        self._last = max(self._last, changes.revision)
        self._trim()

    def list_since(self, revision):
        """Return the Changes since a revision.

        They are marked as compacted if the log does not reach back so far.
        """
        if self._first is None or revision < self._first:
            return Changes(compacted=True)
        return Changes(
            written=tuple(e for e in self._written.values() if e.revision > revision),
            deleted=tuple((k, r) for k, r in self._deleted.items() if r > revision),
            revision=Revision(max(self._last, revision)),
        )

    def _trim(self):
        while self._is_overlong:
            self._drop_oldest()

    @property
    def _is_overlong(self):
        count = len(self._written) + len(self._deleted)
        return count > MAX_CHANGES or (self._size > MAX_BYTES and count > 1)

    def _forget_written(self, key):
        entry = self._written.pop(key, None)
        if entry is not None:
            self._size -= estimate_entry_bytes(entry)

    def _drop_oldest(self):
        key, revision = self._find_oldest()
        self._forget_written(key)
        self._deleted.pop(key, None)
        self._first = max(self._first, revision)

    def _find_oldest(self):
        oldest = [(r, k) for k, r in islice(self._deleted.items(), 1)]
        oldest += [(e.revision, k) for k, e in islice(self._written.items(), 1)]
        revision, key = min(oldest)
        return key, revision
