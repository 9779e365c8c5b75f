"""Plan of one attempt: what is sent, for how long it may take, and whom it asks."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..decisions.engine_load import EngineLoad
from ..decisions.latency_baselines import LatencySample
from .attempts import Attempt, ClassifiedHead
from .requests import GatewayRequest
from .stream_progress import StreamProgress
from .succession import AnswerClaim


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Timeouts of one attempt, in seconds.

    Parameters
    ----------
    unresponsive : float
        For the response head, while the server sends nothing to any request, or has
        no queue.
    idle : float
        Between two chunks of the response body.
    head : float
        For the response head, while the server works off its queue.
    stalled : float
        Between two events of a stream whose server sends other bytes.
    client_gap : float
        Between two events of a stream, even if no other attempt can follow.
    """

    unresponsive: float
    idle: float
    head: float
    stalled: float
    client_gap: float


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """An attempt with its timeouts and the state of the client's stream.

    Parameters
    ----------
    request : GatewayRequest
        The client's request.
    attempt : Attempt
        Server and changed headers of the attempt.
    timeouts : AttemptTimeouts
        When to abort the attempt.
    accepts_head : callable
        Coroutine function that takes a ClassifiedHead and returns whether the response
        may be delivered; False discards it, as a larger model has been asked.
    progress : StreamProgress
        What the client has received, over all attempts.
    on_latency : callable
        Takes a LatencySample, and the load that the server reported, once there is
        enough to compare with other answers, long before the end of a slow one.
    on_abandoned : callable
        Called without arguments if the client leaves before the answer.
    claim : AnswerClaim
        Its claim to the client's answer.
    allows_peer : callable or None
        Takes the incarnation of another instance and returns whether the request may
        pass through it; None if it may pass through any.
    may_send : callable
        Takes the incarnation of the instance through which the connection leads, or
        None, and returns whether the request may be sent now; called right before.
    outlasts_silence : callable
        Takes the same and returns whether the attempt goes on though its server is
        silent; if it holds the answer, it does until another attempt replaces it.
    """

    request: GatewayRequest
    attempt: Attempt
    timeouts: AttemptTimeouts
    accepts_head: Callable[[ClassifiedHead], Awaitable[bool]]
    progress: StreamProgress
    on_latency: Callable[[LatencySample, EngineLoad | None], None]
    on_abandoned: Callable[[], None]
    claim: AnswerClaim
    allows_peer: Callable[[str], bool] | None = None
    may_send: Callable[[str | None], bool] = lambda via: True
    outlasts_silence: Callable[[str | None], bool] = lambda via: False
