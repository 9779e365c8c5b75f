"""Why client connections end, and what is logged if an answer is missing then."""

from dataclasses import dataclass
from enum import Enum

import structlog

log = structlog.get_logger(__name__)

MS_PER_S = 1000.0


class EndCause(Enum):
    """Who or what has ended a client connection.

    CLIENT_CLOSED, CLIENT_RESET: the client. CLIENT_SILENT: the kernel, as the client
    acknowledged nothing. LOST: another error of the connection. IDLE: the idle timeout,
    a planned stop, or the want of descriptors. AFTER_ANSWER: an answer with
    `Connection: close`. NO_ROOM: no descriptor was left when the client connected.
    BROKEN_OFF: an answer could not be completed. NO_ANSWER: the handler has ended
    without one. STALLED_READER: the client has taken nothing for long.
    PROCESS_END: the end of this process.
    """

    CLIENT_CLOSED = "client_closed"
    CLIENT_RESET = "client_reset"
    CLIENT_SILENT = "client_silent"
    LOST = "lost"
    IDLE = "idle"
    AFTER_ANSWER = "after_answer"
    NO_ROOM = "no_room"
    BROKEN_OFF = "broken_off"
    NO_ANSWER = "no_answer"
    STALLED_READER = "stalled_reader"
    PROCESS_END = "process_end"


@dataclass(frozen=True, slots=True)
class UnansweredEnd:
    """A client connection that ended while an answer was owed.

    Parameters
    ----------
    cause : EndCause
        Who or what ended it.
    request_id : bytes or None
        The request that was handled; None if there was none, or it wasn't parsed.
    has_begun : bool
        Whether the client has been sent a part of its answer.
    is_unread : bool
        Whether a complete answer was sent that the client has not taken.
    queued : int
        Whole requests behind it that were not handled.
    is_partial : bool
        Whether a part of another request had been received.
    age : float or None
        Seconds since the handled request was received.
    """

    cause: EndCause
    request_id: bytes | None = None
    has_begun: bool = False
    is_unread: bool = False
    queued: int = 0
    is_partial: bool = False
    age: float | None = None


def find_loss_cause(error):
    """Return the EndCause of a connection that broke with an exception, or None.

    None stands for an end without an error, which someone else has to name.
    """
    if error is None:
        return None
    if isinstance(error, TimeoutError):
        return EndCause.CLIENT_SILENT
    if isinstance(error, ConnectionError):
        return EndCause.CLIENT_RESET
    return EndCause.LOST


def log_unanswered_end(end):
    """Log an UnansweredEnd."""
    log.info(
        "client connection ended unanswered",
        cause=end.cause.value,
        id=None if end.request_id is None else end.request_id.decode("latin-1"),
        begun=end.has_begun,
        unread=end.is_unread,
        queued=end.queued,
        partial=end.is_partial,
        ms=None if end.age is None else round(end.age * MS_PER_S),
    )
