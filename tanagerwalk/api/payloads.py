"""Reading and checking of request bodies."""

import msgspec
from expression import Error, Ok

from ..outcomes import Interface, Refusal, RefusalReason

# The router sets these itself, or can't pass on what the engine answers to them.
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
    """One message of a conversation; other fields pass through unread."""

    role: str
    content: str | list | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The parameters of a chat completion that the router reads."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    n: int = 1
    max_tokens: int | None = None


class CheckedBody(msgspec.Struct, frozen=True):
    """A body that passed the checks.

    Parameters
    ----------
    payload : dict
        What is passed on to the backend server.
    class_name : str
        The class of work that the caller named.
    stream : bool
        Whether the caller wants server-sent events.
    """

    payload: dict
    class_name: str
    stream: bool = False


def read_body(content, interface, class_name=""):
    """Read the body of a request.

    Parameters
    ----------
    content : bytes
        The body.
    interface : Interface
        The interface that the caller used.
    class_name : str
        The class of work, where the path names it.

    Returns
    -------
    Result of CheckedBody, or of Refusal
    """
    try:
        payload = msgspec.json.decode(content, type=dict)
        if interface is Interface.SERVICE:
            return Ok(CheckedBody(payload, class_name))
        body = msgspec.convert(payload, ChatBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
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
