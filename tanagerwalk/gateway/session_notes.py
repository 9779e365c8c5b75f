"""Notes about sessions that the instances exchange during a roll-out."""

from dataclasses import dataclass
from enum import Enum

from ..ids import ServiceName
from ..peers.gen.loads import ttypes

MS_PER_S = 1000.0
# Bounds what a note can make an owner keep.
MAX_LIFETIME_S = 600.0


class NoteKind(Enum):
    """What a note says.

    ASK: a request begins, and the owner is asked which release the session uses.
    ANSWER: its answer. BEGIN: a request begins on a release. END: a request has ended.
    """

    ASK = 0
    ANSWER = 1
    BEGIN = 2
    END = 3


@dataclass(frozen=True, slots=True)
class SessionNote:
    """A note about one request of a session.

    Parameters
    ----------
    kind : NoteKind
        What it says.
    service : ServiceName
        The service.
    order : int
        Revision of the order that started the roll-out.
    session : int
        Hash of the session.
    request : int
        Random number that identifies the request.
    lifetime : float
        Seconds until the request's deadline or, after its end, until the session
        expires.
    is_target : bool or None
        Whether the session is on the target; None in a question, and in the answer of
        an owner that cannot tell.
    is_known : bool
        Whether the owner knows the session, rather than proposing a release for it.
    """

    kind: NoteKind
    service: ServiceName
    order: int
    session: int
    request: int
    lifetime: float = 0.0
    is_target: bool | None = None
    is_known: bool = False


def encode_note(note):
    """Convert a SessionNote to the message of that name."""
    return ttypes.SessionNote(
        note.kind.value,
        note.service,
        note.order,
        note.session,
        note.request,
        int(min(note.lifetime, MAX_LIFETIME_S) * MS_PER_S),
        note.is_target,
        note.is_known or None,
    )


def decode_note(message):
    """Convert a message to a SessionNote, or None if this version cannot read it."""
    fields = (message.order, message.session, message.request)
    kinds = {kind.value for kind in NoteKind}
    if message.kind not in kinds or not message.service_name or None in fields:
        return None
    lifetime = max(0, message.lifetime_ms or 0) / MS_PER_S
    return SessionNote(
        NoteKind(message.kind),
        ServiceName(message.service_name),
        *fields,
        min(lifetime, MAX_LIFETIME_S),
        message.on_target,
        bool(message.is_known),
    )
