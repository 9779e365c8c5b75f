"""One attempt at one backend server, and what came of it."""

from dataclasses import dataclass, field
from enum import Enum

from ..decisions.paces import PaceSample
from ..decisions.uses import Work
from ..ids import ModelName
from ..registry import RegisteredServer


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request for one backend server.

    Parameters
    ----------
    server : RegisteredServer
        Where it goes.
    time_left : float
        Seconds that the server may work on it.
    model : ModelName or None
        The model that is to answer; None leaves what the client said.
    last_event : int or None
        Last event that need not be sent again; None leaves what the client said.
    priority : int or None
        Rank at the engine, 0 to 9; None for the engine's default.
    work : Work or None
        What the attempt costs an engine; None at a plain service.
    """

    server: RegisteredServer
    time_left: float
    model: ModelName | None = None
    last_event: int | None = None
    priority: int | None = None
    work: Work | None = None


class ResponseKind(Enum):
    """What the head of an answer means."""

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    UNSIGNED = "unsigned"


@dataclass(frozen=True, slots=True)
class ClassifiedHead:
    """The head of a backend server's answer, in the gateway's terms.

    Parameters
    ----------
    kind : ResponseKind
        What it means.
    is_success : bool
        Whether it promises a result.
    misdirected : bool
        Whether another server has the address.
    confidence : int or None
        The model's own opinion of its answer, 0 to 100.
    load : tuple of (int, int, int) or None
        Running requests, waiting requests and slots of the server.
    closes_connection : bool
        Whether the server ends the connection.
    headers : list of tuple of (bytes, bytes)
        Headers that the client receives.
    """

    kind: ResponseKind
    is_success: bool
    misdirected: bool = False
    confidence: int | None = None
    load: tuple[int, int, int] | None = None
    closes_connection: bool = False
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    DECLINED = "declined"
    LOST = "lost"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, and the answer that is kept of it.

    Parameters
    ----------
    outcome : Outcome
        The end.
    detail : str
        What was seen, for the log.
    status : int
        Status of the kept answer.
    reason : bytes
        Its reason phrase.
    head : ClassifiedHead or None
        Its head.
    body : bytes
        Its body.
    pace : PaceSample or None
        How fast it came.
    load : tuple of (int, int, int) or None
        Running requests, waiting requests and slots that the server told.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    reason: bytes = b""
    head: ClassifiedHead | None = None
    body: bytes = b""
    pace: PaceSample | None = None
    load: tuple[int, int, int] | None = None
