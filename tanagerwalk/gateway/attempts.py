"""Data types of an attempt to run a request on one backend server."""

from dataclasses import dataclass, field
from enum import Enum

from ..decisions.engine_load import EngineLoad
from ..decisions.latency_baselines import LatencySample
from ..decisions.server_notices import ServerNotice
from ..decisions.server_usage import Work
from ..ids import ModelName
from ..registry import RegisteredServer
from .connect_faults import ConnectFault, ReadFault


@dataclass(frozen=True, slots=True)
class Attempt:
    """One delivery of a request to one backend server.

    Parameters
    ----------
    server : RegisteredServer
        The backend server that the request is sent to.
    time_left : float
        Seconds until the request's deadline, sent to the server.
    model : ModelName or None
        Model to run; None forwards the model header of the client.
    last_event : int or None
        Last stream event that the client already has; None forwards the
        Last-Event-ID header of the client.
    priority : int or None
        Scheduling priority at the engine, 0 to 9; None for the engine's default.
    work : Work or None
        Estimated cost at an inference engine; None for a service without models.
    was_silent : bool
        Whether the server had been silent before the request was sent to it.
    was_rejected : bool
        Whether the server has rejected this request before. It then goes over a new
        connection: on one that is kept, the rejection, which bears the same attempt
        id, could come once more.
    """

    server: RegisteredServer
    time_left: float
    model: ModelName | None = None
    last_event: int | None = None
    priority: int | None = None
    work: Work | None = None
    was_silent: bool = False
    was_rejected: bool = False


class ResponseKind(Enum):
    """How the status and headers of a response are classified.

    REJECTED: the server states that it did not run the request. UNTRUSTED: a status
    below 500 without the signature or the echoed attempt id, or one that promises what
    the server does not state. FAILED: any other 5xx status.
    ANSWERED: everything else.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    UNTRUSTED = "untrusted"


@dataclass(frozen=True, slots=True)
class ClassifiedHead:
    """Status and headers of a backend server's response, classified.

    Parameters
    ----------
    kind : ResponseKind
        The classification.
    is_success : bool
        Whether the status is 2xx.
    misdirected : bool
        Whether the status is 421: another server now listens at the address.
    confidence : int or None
        The model's confidence in its response, 0 to 100.
    load : EngineLoad or None
        Load that the server reported.
    headers : list of tuple of (bytes, bytes)
        Headers that are forwarded to the client.
    notice : ServerNotice
        What the server says about itself.
    """

    kind: ResponseKind
    is_success: bool
    misdirected: bool = False
    confidence: int | None = None
    load: EngineLoad | None = None
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    notice: ServerNotice = ServerNotice()


class Outcome(Enum):
    """How an attempt ended.

    NOT_SENT: no connection could be opened. CLOSED: the connection was lost before the
    request was written to it. WITHHELD: once there was a connection, the request could
    not be sent to the server any more. REJECTED and MISDIRECTED: the server
    did not run the request. FAILED: an error response. DECLINED: the gateway
    discarded a response of low confidence. LOST: the connection broke or the
    response was invalid. SILENT: a timeout expired.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    WITHHELD = "withheld"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    DECLINED = "declined"
    LOST = "lost"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the response if it was buffered.

    Parameters
    ----------
    outcome : Outcome
        How the attempt ended.
    detail : str
        Details for the log.
    status : int
        Status of the buffered response.
    reason : bytes
        Reason phrase of the buffered response.
    head : ClassifiedHead or None
        Classified status and headers of the buffered response.
    body : bytes
        Body of the buffered response.
    latency_sample : LatencySample or None
        Latency measurements of the response.
    load : EngineLoad or None
        Load that the server reported.
    kept : bool
        Whether the connection had been opened for an earlier request.
    via : str or None
        Incarnation of the instance through which the server was reached, if any.
    broke_off : bool
        Whether the connection was closed before the response was complete.
    connected_at : float
        Monotonic time at which the connection was opened, in seconds.
    written_for : float or None
        Seconds from the response head to the end; None without a head.
    fault : ConnectFault, ReadFault or None
        Why this instance could not connect, or not read on; the server isn't to
        blame. With a ReadFault, it has run the request.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    reason: bytes = b""
    head: ClassifiedHead | None = None
    body: bytes = b""
    latency_sample: LatencySample | None = None
    load: EngineLoad | None = None
    kept: bool = False
    via: str | None = None
    broke_off: bool = False
    connected_at: float = float("inf")
    written_for: float | None = None
    fault: ConnectFault | ReadFault | None = None

    @property
    def is_success(self):
        """Whether the response was delivered and has a 2xx status."""
        return self.outcome is Outcome.DELIVERED and 200 <= self.status < 300

    @property
    def has_lasted(self):
        """Whether its duration tells how long the server takes for an answer."""
        return self.is_success or (
            self.outcome is Outcome.SILENT and self.fault is None
        )

    @property
    def has_answered(self):
        """Whether the server completed a response, be it an error."""
        return self.outcome is Outcome.DELIVERED or self.head is not None
