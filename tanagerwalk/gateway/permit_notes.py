"""Notes about permits and slots that the instances exchange."""

from dataclasses import dataclass
from enum import Enum

from ..decisions.server_room import Ending
from ..ids import ServiceName
from ..peers.gen.loads import ttypes

MS_PER_S = 1000.0
# Bounds how long a note can make a coordinator keep a request that waits.
MAX_WAIT_S = 30.0


class PermitNoteKind(Enum):
    """What a note says.

    ASK: a request needs a place; the coordinator answers with one of the next three.
    RENEW: which requests of the sender are at servers. END: a request has ended.
    ASK_SLOT: a request needs a slot of the receiver's part of a server's limit; the
    answer is one of the next two.
    """

    ASK = 0
    GRANTED = 1
    QUEUED = 2
    DENIED = 3
    RENEW = 4
    END = 5
    ASK_SLOT = 6
    SLOT_GRANTED = 7
    SLOT_DENIED = 8


ANSWER_KINDS = frozenset(
    {PermitNoteKind.GRANTED, PermitNoteKind.QUEUED, PermitNoteKind.DENIED}
)
SLOT_KINDS = frozenset(
    {
        PermitNoteKind.ASK_SLOT,
        PermitNoteKind.SLOT_GRANTED,
        PermitNoteKind.SLOT_DENIED,
    }
)
# Notes that name the server of each request.
PLACING_KINDS = frozenset(
    {PermitNoteKind.GRANTED, PermitNoteKind.RENEW, PermitNoteKind.SLOT_GRANTED}
)


@dataclass(frozen=True, slots=True)
class PermitNote:
    """A note about requests to the servers of one service.

    Parameters
    ----------
    kind : PermitNoteKind
        What it says.
    service : ServiceName
        The service.
    requests : tuple of int
        Numbers that the holder gave its requests; one, but for RENEW.
    lives : tuple of int
        `hash_life` of servers: those that may be asked for, or that of each request.
    wait : float
        Seconds that a request waits, or until a place may come free or a slot begins.
    is_urgent : bool
        Whether the request has been at a server before.
    is_complete : bool
        Whether a RENEW names all requests of the sender.
    ending : Ending
        How a request ended.
    """

    kind: PermitNoteKind
    service: ServiceName
    requests: tuple[int, ...]
    lives: tuple[int, ...] = ()
    wait: float = 0.0
    is_urgent: bool = False
    is_complete: bool = False
    ending: Ending = Ending.UNUSED


def encode_permit_note(note):
    """Convert a PermitNote to the message of that name."""
    return ttypes.PermitNote(
        note.kind.value,
        note.service,
        list(note.requests),
        list(note.lives) or None,
        int(min(note.wait, MAX_WAIT_S) * MS_PER_S) or None,
        note.is_urgent or None,
        note.ending.value if note.kind is PermitNoteKind.END else None,
        note.is_complete or None,
    )


def decode_permit_note(message):
    """Convert a message to a PermitNote, or None if this version cannot read it."""
    kinds = {kind.value for kind in PermitNoteKind}
    endings = {ending.value for ending in Ending}
    if message.kind not in kinds or not message.service_name:
        return None
    kind = PermitNoteKind(message.kind)
    requests = tuple(message.requests or ())
    lives = tuple(message.servers or ())
    is_single = kind is not PermitNoteKind.RENEW
    if is_single and len(requests) != 1:
        return None
    if kind in PLACING_KINDS and len(requests) != len(lives):
        return None
    ending = message.ending if message.ending in endings else Ending.UNUSED.value
    return PermitNote(
        kind,
        ServiceName(message.service_name),
        requests,
        lives,
        min(MAX_WAIT_S, max(0, message.wait_ms or 0) / MS_PER_S),
        bool(message.is_urgent),
        bool(message.is_complete),
        Ending(ending),
    )
