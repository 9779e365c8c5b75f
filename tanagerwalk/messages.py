"""Data types passed between the filter chain, the decisions and the clients."""

from dataclasses import dataclass, field
from typing import Any

from .decisions.admission import Grant
from .decisions.exposure import Exposure
from .declarations import ClientAccount, WorkClass
from .ids import (
    AttemptId,
    BackendServerId,
    Fingerprint,
    PartKey,
    RequestId,
    VersionName,
)
from .outcomes import Interface, RetryReason


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts that a backend server reported for an answer."""

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
    """A conversation that is pinned to one version.

    Parameters
    ----------
    version : VersionName
        The version that serves every request of the session.
    token : str
        Token that the caller sends to continue the session.
    """

    version: VersionName
    token: str


@dataclass(frozen=True, slots=True)
class Plan:
    """Versions to try in order.

    The answer of each version but the last is rated before it is accepted.

    Parameters
    ----------
    steps : tuple of VersionName
        One version, or a cascade from cheap to expensive; empty for plain services.
    cost : float
        Expected cost of one request.
    quality : float
        Lower confidence bound of the expected quality, 0 to 1.
    candidate : VersionName or None
        The version under roll-out that serves this request, if there is one.
    duration : float
        Expected duration in seconds if every step runs.
    """

    steps: tuple[VersionName, ...]
    cost: float = 0.0
    quality: float = 1.0
    candidate: VersionName | None = None
    duration: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer to one request.

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
        Token counts summed over all attempts for the answer.
    finish_reason : str
        The engine's reason for ending generation.
    replayed : bool
        Whether this answer was stored by an earlier run of the same request.
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
    """An attempt that did not yield a complete answer.

    Parameters
    ----------
    reason : RetryReason
        Cause of the failure.
    sent : bool
        Whether any byte of the request may have reached the backend server. Also
        False if the server reported that the version is not loaded.
    server : BackendServerId or None
        The server that the attempt was sent to.
    retry_after : float or None
        Seconds to wait before a retry, as requested by the server.
    crashed : bool
        Whether the connection was lost while the server was processing the request,
        which may mean that it crashed.
    closing : bool
        Whether the server refused and closed the connection.
    has_begun : bool
        Whether the head of a response had been received.
    """

    reason: RetryReason
    sent: bool
    server: BackendServerId | None = None
    retry_after: float | None = None
    crashed: bool = False
    closing: bool = False
    has_begun: bool = False


class Sink:
    """Receives an answer incrementally as it is generated.

    This base class discards the text; the callers API streams it.
    """

    async def write(self, text):
        """Receive the next piece of generated text.

        Parameters
        ----------
        text : str
            The piece, never empty.

        Raises
        ------
        asyncio.CancelledError
            If the caller has disconnected.
        """


@dataclass(slots=True)
class RequestContext:
    """State of one request as it passes through the filter chain.

    Parameters
    ----------
    request_id : RequestId
        Unique within the client account; each id is billed once.
    payload : dict
        The caller's JSON body, forwarded to the backend server.
    credential : str
        The caller's bearer key.
    class_name : str
        The class of work that the caller requested.
    interface : Interface
        The interface that the caller called.
    idempotency_key : str or None
        Key that makes it safe to resend a non-idempotent request.
    first_submission : bool
        Whether the caller states that it has not sent the idempotency key before.
    session_token : str or None
        Token of the session to continue, or a session id chosen by the caller.
    session_id : str or None
        The id chosen by the caller, if that session does not exist yet.
    arrived : float
        Monotonic arrival time in seconds.
    sink : Sink
        Receives the answer incrementally.
    memory : RequestMemory or None
        Counts the whole answers of the request until it ends; None to count none.
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
    memory: Any = None
    account: ClientAccount | None = None
    work_class: WorkClass | None = None
    fingerprint: Fingerprint = Fingerprint("")
    shared_parts: tuple[PartKey, ...] = ()
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
