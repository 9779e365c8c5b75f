"""Contents of the metadata store, and changes of them since a revision."""

from dataclasses import dataclass

from .ids import Revision
from .writes import Entry

# The store's own revisions are far smaller.
REVISIONS_PER_ERA = 1 << 44


def combine_revision(era, revision):
    """Return a Revision that orders by the era of the store first.

    A store that is restored from an older copy gives out revisions again, in a new era.

    Parameters
    ----------
    era : int
        Number of times that the store was restored.
    revision : int
        The store's own revision; 0 stands for an absent key in every era.
    """
    return Revision(era * REVISIONS_PER_ERA + revision if revision else 0)


def split_revision(revision):
    """Return the era of a Revision and the store's own revision in it."""
    return divmod(revision, REVISIONS_PER_ERA)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix.

    Pages are read one after another, so that an entry may be newer than `revision`.

    Parameters
    ----------
    entries : tuple of Entry
        The entries.
    revision : Revision
        Store revision from which to watch for changes.
    is_whole : bool
        Whether these are all entries. Otherwise there were too many to hold.
    """

    entries: tuple[Entry, ...]
    revision: Revision
    is_whole: bool = True


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix since a revision.

    Parameters
    ----------
    written : tuple of Entry
        Entries that were created or updated.
    deleted : tuple of (str, Revision)
        Deleted keys, each with the revision of the deletion.
    revision : Revision
        Store revision from which to continue the watch.
    compacted : bool
        Whether the store has compacted the history since the revision; the prefix
        must be listed again.
    unread_count : int
        Number of changes that were left out, as no instance reads their keys.
    """

    written: tuple[Entry, ...] = ()
    deleted: tuple[tuple[str, Revision], ...] = ()
    revision: Revision = Revision(0)
    compacted: bool = False
    unread_count: int = 0

    @property
    def is_empty(self):
        """Whether the store has reported neither writes nor deletions."""
        return not self.has_effect and not self.unread_count

    @property
    def has_effect(self):
        """Whether there are writes or deletions that an instance reads."""
        return bool(self.written or self.deleted)


@dataclass(frozen=True, slots=True)
class ConfirmedChanges:
    """Changes since a revision, and the time up to which they are complete.

    Parameters
    ----------
    changes : Changes
        The changes.
    confirmed_at : float
        Boot time in seconds up to which no change is missing.
    reconnected_at : float
        Boot time at which a peer, if the changes come from one, last regained the
        store after an outage.
    """

    changes: Changes
    confirmed_at: float
    reconnected_at: float = float("-inf")
