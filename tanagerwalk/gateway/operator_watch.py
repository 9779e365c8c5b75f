"""Wakes the local copy of the store as soon as the operators write."""

import asyncio

from ..ids import Revision

# The store's longest: watches that wait long are few calls, and the copy is read
# meanwhile in any case.
WAIT_S = 30.0
# A series of changes arrives in a few reads.
MIN_PAUSE_S = 0.1
IDLE_PAUSE_S = 1.0


class OperatorWatch:
    """Watches the operators' entries, of which there are few changes.

    The mirror reads changes of all entries with pauses in between, as servers write
    all the time. This watch only ends a pause; what it misses is read after it. An
    instance that reads for others pauses too briefly to need it.

    Parameters
    ----------
    store : MetadataStore
        The store.
    prefix : str
        Key prefix of the operators' entries.
    mirror : Mirror
        The local copy.
    feed : SharedFeed
        Tells whether this instance watches the store, with long pauses.
    """

    def __init__(self, store, prefix, mirror, feed):
        self._store = store
        self._prefix = prefix
        self._mirror = mirror
        self._feed = feed
        self._revision = Revision(0)

    async def run(self):
        """Wake the copy after each change, until cancelled."""
        while True:
            pause = await self._watch()
            await asyncio.sleep(pause)

    async def _watch(self):
        """Wait for a change; return how long to pause then, in seconds."""
        revision = self._mirror.revision
        if revision is None or not self._feed.has_long_pauses:
            return IDLE_PAUSE_S
        self._revision = max(self._revision, revision)
        result = await self._store.wait_for_changes(
            self._prefix, self._revision, WAIT_S
        )
        if result.is_error():
            # The mirror finds out when the store is back.
            return IDLE_PAUSE_S
        changes = result.ok
        if changes.compacted:
            # The mirror will find out, too, and list the store again.
            self._mirror.wake()
            return IDLE_PAUSE_S
        self._revision = max(self._revision, changes.revision)
        if changes.has_effect:
            self._mirror.wake()
        return MIN_PAUSE_S
