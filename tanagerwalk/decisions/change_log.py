"""Recent changes of the store, kept so that other instances can ask for them."""

from collections import OrderedDict
from itertools import islice

from ..changes import Changes
from ..ids import Revision

MAX_CHANGES = 4096


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

    def start(self, revision):
        """Begin at a revision of the store; changes up to it are not known."""
        self._first = revision
        self._last = revision
        self._written.clear()
        self._deleted.clear()

    @property
    def is_started(self):
        """Whether the log covers any revision."""
        return self._first is not None

    def record(self, changes):
        """Add changes that follow the ones recorded so far."""
        for entry in changes.written:
            self._deleted.pop(entry.key, None)
            # Keeps the keys in the order of their last change.
            self._written.pop(entry.key, None)
            self._written[entry.key] = entry
        for key, revision in changes.deleted:
            written = self._written.get(key)
            if written is not None and written.revision > revision:
                # It was written again.
                continue
            self._written.pop(key, None)
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
        while len(self._written) + len(self._deleted) > MAX_CHANGES:
            self._drop_oldest()

    def _drop_oldest(self):
        key, revision = self._find_oldest()
        self._written.pop(key, None)
        self._deleted.pop(key, None)
        self._first = max(self._first, revision)

    def _find_oldest(self):
        oldest = [(r, k) for k, r in islice(self._deleted.items(), 1)]
        oldest += [(e.revision, k) for k, e in islice(self._written.items(), 1)]
        revision, key = min(oldest)
        return key, revision
