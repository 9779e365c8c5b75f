"""Messages that pass between the filter chain, the decisions and the clients."""

from dataclasses import dataclass, field
from typing import Any

from .decisions.admission import Grant
from .decisions.exposure import Exposure
from .declarations import ClientAccount, WorkClass
from .ids import (
    AttemptId,
    BackendServerId,
    Fingerprint,
    RequestId,
    VersionName,
)
from .outcomes import Interface, RetryReason


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that a backend server counted for an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    def add(self, other):
        """Return the sum of this usage and another one."""
        return Usage(
            self.prompt_tokens + other.prompt_tokens,
            self.completion_tokens + other.completion_tokens,
        )


@dataclass(frozen=True, slots=True)
class Session:
    """A conversation that is bound to one version.

    Parameters
    ----------
    version : VersionName
        The version that serves the session for its whole life.
    token : str
        What the caller sends to continue the session.
    """

    version: VersionName
    token: str


@dataclass(frozen=True, slots=True)
class Plan:
    """Versions to try in order; each but the last is rated before it is accepted.

    Parameters
    ----------
    steps : tuple of VersionName
        One version, or a cascade from cheap to costly. Empty for plain services.
    cost : float
        Expected cost of one request.
    quality : float
        Lower confidence bound of the expected quality, 0 to 1.
    candidate : VersionName or None
        The version under roll-out that this plan exposes the request to.
    duration : float
        Expected seconds if every step runs.
    """

    steps: tuple[VersionName, ...]
    cost: float = 0.0
    quality: float = 1.0
    candidate: VersionName | None = None
    duration: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer to one request.

    Parameters
    ----------
    status : int
        HTTP status of the backend server.
    content : bytes
        Generated text (UTF-8) for chat classes, the response body for services.
    content_type : str
        Media type of `content`.
    version : VersionName or None
        The version that generated the answer; None for plain services.
    usage : Usage
        Tokens of all attempts that the answer needed.
    finish_reason : str
        The engine's reason for ending the answer.
    replayed : bool
        Whether this is the stored answer of an earlier run of the same request.
    """

    status: int
    content: bytes
    content_type: str = "application/json"
    version: VersionName | None = None
    usage: Usage = Usage()
    finish_reason: str = "stop"
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt that gave no whole answer.

    Parameters
    ----------
    reason : RetryReason
        What went wrong.
    sent : bool
        Whether any byte of the request may have reached the backend server; False
        also if the server said that it has not loaded the version.
    server : BackendServerId or None
        The server that was tried.
    retry_after : float or None
        Seconds that the server asked to wait.
    crashed : bool
        Whether the connection broke while the server had the request, so that the
        server may have crashed.
    closing : bool
        Whether the server refused and closed the connection.
    """

    reason: RetryReason
    sent: bool
    server: BackendServerId | None = None
    retry_after: float | None = None
    crashed: bool = False
    closing: bool = False


class Sink:
    """Receives the pieces of an answer as they are generated.

    This base class discards them; the callers' API has one that streams.
    """

    async def write(self, text):
        """Take the next piece of generated text.

        Parameters
        ----------
        text : str
            The piece, never empty.

        Raises
        ------
        asyncio.CancelledError
            If the caller has gone.
        """


@dataclass(slots=True)
class RequestContext:
    """Everything that the filter chain knows about one request.

    Parameters
    ----------
    request_id : RequestId
        Unique within the client account; billing is once per id.
    payload : dict
        The caller's JSON body, passed through to the backend server.
    credential : str
        The bearer key of the caller.
    class_name : str
        The class of work that the caller named.
    interface : Interface
        The interface that the caller used.
    idempotency_key : str or None
        Key that makes resends of a non-idempotent request safe.
    first_submission : bool
        Whether the caller says that it sends the idempotency key for the first time.
    session_token : str or None
        Token of the session to continue, or an id that the caller chose.
    session_id : str or None
        That id, if its session is yet to begin.
    arrived : float
        Monotonic time of arrival, in seconds.
    sink : Sink
        Receives the answer piece by piece.
    """

    request_id: RequestId
    payload: dict[str, Any]
    credential: str
    class_name: str
    interface: Interface = Interface.CHAT
    idempotency_key: str | None = None
    first_submission: bool = False
    session_token: str | None = None
    session_id: str | None = None
    wants_session: bool = False
    arrived: float = 0.0
    sink: Sink = field(default_factory=Sink)
    account: ClientAccount | None = None
    work_class: WorkClass | None = None
    fingerprint: Fingerprint = Fingerprint("")
    deadline: float = 0.0
    session: Session | None = None
    plan: Plan | None = None
    exposure: Exposure | None = None
    version: VersionName | None = None
    attempt: AttemptId | None = None
    grant: Grant | None = None
    generated: list[str] = field(default_factory=list)
    usage: Usage = Usage()
    sent: bool = False
    claimed: bool = False
    suspect: bool = False
    cost: float = 0.0
    tried: set[BackendServerId] = field(default_factory=set)
