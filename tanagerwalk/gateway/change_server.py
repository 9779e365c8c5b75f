"""Serves the changes of the local copy of the store to other instances."""

import structlog

from ..changes import Changes
from ..entry_reduction import estimate_entry_bytes
from ..peers.codec import decode, encode
from ..peers.gen.changes.ttypes import (
    ChangesRequest,
    ChangesResponse,
    DeletedEntry,
    WrittenEntry,
)
from ..peers.rpc import MessageKind
from .clocks import read_boot_clock

log = structlog.get_logger(__name__)

MS_PER_S = 1000.0
MAX_REPORTED_AGE_S = 1e6
# With the objects of its entries; the frame that carries it is smaller.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class ChangeServer:
    """Serves changes of the local copy of the store to other instances.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store.
    """

    def __init__(self, mirror):
        self._mirror = mirror

    def register(self, peer_server):
        """Answer the questions for changes that reach a PeerServer."""
        peer_server.register_handler(MessageKind.FETCH_CHANGES, self._serve)

    async def _serve(self, payload, sender):
        request = decode(ChangesRequest, payload)
        if request.is_error() or request.ok.revision is None:
            log.warning("malformed request for changes", peer=sender)
            return encode(ChangesResponse(0, 0, [], [], True))
        changes = self._mirror.change_log.list_since(request.ok.revision)
        if _exceeds_answer(changes):
            # The peer asks the store instead.
            changes = Changes(compacted=True)
        return encode(encode_changes(changes, self._mirror, read_boot_clock()))


def _exceeds_answer(changes):
    """Return whether changes are more than an answer to a peer takes."""
    written = sum(estimate_entry_bytes(entry) for entry in changes.written)
    deleted = sum(len(key) for key, _ in changes.deleted)
    return written + deleted > MAX_ANSWER_BYTES


def encode_changes(changes, mirror, now):
    """Convert Changes to a ChangesResponse message, with the age of the copy.

    Parameters
    ----------
    changes : Changes
        The changes.
    mirror : Mirror
        The copy that they come from.
    now : float
        Boot time in seconds.
    """
    age = min(now - mirror.confirmed_at, MAX_REPORTED_AGE_S)
    reconnected_ago = now - mirror.reconnected_at
    return ChangesResponse(
        revision=changes.revision,
        age_ms=int(age * MS_PER_S) + 1,
        written=[WrittenEntry(e.key, e.value, e.revision) for e in changes.written],
        deleted=[DeletedEntry(key, revision) for key, revision in changes.deleted],
        compacted=changes.compacted,
        reconnected_ago_ms=int(reconnected_ago * MS_PER_S)
        if reconnected_ago < MAX_REPORTED_AGE_S
        else None,
    )
