"""Parsing and validation of request bodies."""

import msgspec
from expression import Error, Ok

from ..documents import decode_json
from ..outcomes import Interface, Refusal, RefusalReason

# The router sets these itself, or cannot pass on the parts of the engine's response
# that they cause.
UNSUPPORTED_PARAMETERS = (
    "add_generation_prompt",
    "audio",
    "continue_final_message",
    "function_call",
    "functions",
    "logprobs",
    "modalities",
    "priority",
    "stream_options",
    "tool_choice",
    "tools",
    "top_logprobs",
)
ROUTER_ONLY_PARAMETERS = ("model", "stream")


class ChatMessage(msgspec.Struct, frozen=True):
    """Message of a conversation; other fields are passed through unchecked."""

    role: str
    content: str | list | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """Chat-completion parameters that the router validates or uses."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    n: int = 1
    max_tokens: int | None = None


class CheckedBody(msgspec.Struct, frozen=True):
    """Validated request body.

    Parameters
    ----------
    payload : dict
        Parameters to pass on to the backend server.
    class_name : str
        Class of work named by the caller.
    stream : bool
        Whether the caller requested server-sent events.
    """

    payload: dict
    class_name: str
    stream: bool = False


def read_body(content, interface, class_name=""):
    """Parse and validate the body of a request.

    Parameters
    ----------
    content : bytes
        Raw body.
    interface : Interface
        Interface that the caller used.
    class_name : str
        Class of work from the request path; for chat it is the `model` parameter.

    Returns
    -------
    Result of CheckedBody, or of Refusal
    """
    decoded = decode_json(content, dict)
    if decoded.is_error():
        return _refuse(f"the body is not a valid request: {decoded.error}")
    payload = decoded.ok
    if interface is Interface.SERVICE:
        return Ok(CheckedBody(payload, class_name))
    try:
        body = msgspec.convert(payload, ChatBody)
    except msgspec.ValidationError as error:
        return _refuse(f"the body is not a valid request: {error}")
    violation = _find_violation(payload, body)
    if violation is not None:
        return _refuse(violation)
    for name in ROUTER_ONLY_PARAMETERS:
        payload.pop(name, None)
    return Ok(CheckedBody(payload, body.model, body.stream))


def _find_violation(payload, body):
    for name in UNSUPPORTED_PARAMETERS:
        if payload.get(name) not in (None, False):
            return f'parameter "{name}" is not supported'
    if body.n != 1:
        return 'parameter "n" must be 1'
    if not body.messages:
        return 'parameter "messages" is empty'
    if body.max_tokens is not None and body.max_tokens < 1:
        return 'parameter "max_tokens" must be at least 1'
    return None


def _refuse(message):
    return Error(Refusal(RefusalReason.INVALID_REQUEST, message))
