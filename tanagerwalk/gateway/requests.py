"""A request as the gateway received it, and what was decided about it."""

from dataclasses import dataclass

from ..ids import ClientAccountId, Fingerprint
from ..manifest import Manifest, Route


@dataclass(frozen=True, slots=True)
class RawRequest:
    """The bytes of one request, parsed but not interpreted.

    Parameters
    ----------
    method : bytes
        Method.
    target : bytes
        Path and query as the client sent them.
    headers : list of tuple of (bytes, bytes)
        Names as sent and values, in order.
    body : bytes
        The whole body.
    received_at : float
        Monotonic time in seconds at which the last byte was read.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class PromptInfo:
    """What a client says about its prompt.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    max_output_tokens : int
        Most tokens that it wants generated.
    parts : tuple of tuple of (str, int)
        Ids and tokens of the parts of the prompt, in order.
    expected_output : int or None
        The client's estimate of the tokens that will be generated.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    expected_output: int | None = None

    @property
    def output_tokens(self):
        """Tokens that are expected to be generated."""
        if self.expected_output is None:
            return 0.5 * self.max_output_tokens
        return min(self.expected_output, self.max_output_tokens)


@dataclass(slots=True)
class GatewayRequest:
    """One request on its way through the chain.

    Parameters
    ----------
    raw : RawRequest
        What the client sent.
    id : bytes
        The client's own id of this attempt.
    host : str
        Host without port, in lower case.
    path : str
        Path without query.
    key : str or None
        The client's key.
    client_timeout : float
        Seconds that the client waits.
    any_model : bool
        Whether the client leaves the choice of the model to the router.
    last_event : int or None
        Number of the last event that the client has.
    prompt_info : PromptInfo
        The prompt.
    session : bytes or None
        Session that the request belongs to.
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
