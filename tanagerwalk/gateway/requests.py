"""Client requests: the raw HTTP request and its decoded form."""

from dataclasses import dataclass, field

from ..decisions.tallies import CountedAnswer, RolloutSide
from ..ids import ClientAccountId, Fingerprint, PartKey
from ..manifest import Manifest, Route
from .request_memory import UNCOUNTED, RequestMemory, UncountedMemory


@dataclass(frozen=True, slots=True)
class RawRequest:
    """An HTTP request split into its parts, with uninterpreted headers.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query as the client sent them.
    headers : list of tuple of (bytes, bytes)
        Names with their original case and values, in the order received.
    body : bytes
        Complete body, with any chunked encoding removed.
    received_at : float
        Monotonic time in seconds at which the request was complete.
    memory : RequestMemory or UncountedMemory
        Counts the memory that the request and its answers take.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    memory: RequestMemory | UncountedMemory = UNCOUNTED


@dataclass(frozen=True, slots=True)
class PromptInfo:
    """Prompt metadata from the headers of the client.

    Parameters
    ----------
    prompt_tokens : int
        Number of tokens in the prompt.
    max_output_tokens : int
        Maximum number of tokens to generate.
    parts : tuple of tuple of (str, int)
        Id and token count of each part of the prompt, in order.
    expected_output_tokens : int or None
        The client's estimate of the number of generated tokens.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    expected_output_tokens: int | None = None

    @property
    def output_tokens(self):
        """Expected number of generated tokens; half the maximum without an estimate."""
        if self.expected_output_tokens is None:
            return 0.5 * self.max_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)


@dataclass(slots=True)
class GatewayRequest:
    """A decoded client request, to which the filter chain adds routing data.

    Parameters
    ----------
    raw : RawRequest
        Request as received from the client.
    id : bytes
        Id that the client assigned to this attempt.
    host : str
        Host name in lower case, without the port.
    path : str
        Path without the query string.
    key : str or None
        API key of the client.
    client_timeout : float
        Number of seconds that the client waits for the response.
    any_model : bool
        Whether the client lets the gateway choose the model.
    last_event : int or None
        Number of the last event that the client received, when resuming a stream.
    prompt_info : PromptInfo
        Metadata of the prompt.
    session : bytes or None
        Id of the session that the request belongs to.
    responder : Responder or None
        Writes the response.
    manifest : Manifest or None
        Manifest that the request was routed with.
    route : Route or None
        Matching route.
    account : ClientAccountId or None
        Client account that the key belongs to.
    deadline : float
        Monotonic time in seconds at which the request expires.
    fingerprint : Fingerprint
        Hash that identifies repeated requests with the same content.
    shared_parts : tuple of PartKey
        Parts of the prompt that other requests may share, in order.
    is_trial : bool
        Whether the request is sent although a part of it is quarantined.
    counted_answers : dict of RolloutSide to CountedAnswer
        Releases whose answer was counted for a roll-out, and whether it was bad.
    has_failed : bool
        Whether a server has answered the request with an error.
    """

    raw: RawRequest
    id: bytes
    host: str
    path: str
    key: str | None
    client_timeout: float
    any_model: bool = False
    last_event: int | None = None
    prompt_info: PromptInfo = PromptInfo()
    session: bytes | None = None
    responder: object = None
    manifest: Manifest | None = None
    route: Route | None = None
    account: ClientAccountId | None = None
    deadline: float = 0.0
    fingerprint: Fingerprint = Fingerprint("")
    shared_parts: tuple[PartKey, ...] = ()
    is_trial: bool = False
    counted_answers: dict[RolloutSide, CountedAnswer] = field(default_factory=dict)
    has_failed: bool = False
