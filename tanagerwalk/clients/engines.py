"""Client of model engines: the OpenAI chat-completions API with streaming."""

from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from expression import Error, Ok

from ..decisions.servers import LoadReport
from ..messages import AttemptFailure, Usage
from ..outcomes import RetryReason
from .attempts import REQUEST_ID_HEADER, build_timeout, classify_status, run_attempt
from .http import build_url
from .loads import parse_adapter_slots, parse_load

DATA_PREFIX = b"data: "
END_MARKER = b"[DONE]"
OK_STATUS = 200
NOT_FOUND_STATUS = 404


@dataclass(frozen=True, slots=True)
class ChatAttempt:
    """One attempt to be sent to an engine.

    Parameters
    ----------
    attempt : AttemptId
        Unique name of the attempt.
    address : str
        `IP:port` of the engine.
    version : VersionName
        The version that must answer.
    payload : dict
        The caller's parameters of the chat-completions API.
    generated : str
        Text that earlier attempts generated; the engine continues it.
    priority : int
        The engine serves lower numbers first.
    """

    attempt: str
    address: str
    version: str
    payload: dict[str, Any]
    generated: str = ""
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ChatOutcome:
    """The end of an answer that came whole, or the engine's own refusal of it."""

    status: int
    usage: Usage = Usage()
    finish_reason: str = "stop"
    error: bytes = b""


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct, frozen=True):
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _Model(msgspec.Struct, frozen=True):
    id: str


class _Models(msgspec.Struct, frozen=True):
    data: list[_Model]


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class EngineClient:
    """Calls model engines.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session to call with.
    retries : RetrySettings
        Time limits.
    """

    def __init__(self, http, retries):
        self._http = http
        self._timeout = build_timeout(retries)

    async def complete(self, attempt, deadline, on_text):
        """Run one attempt and pass its text on as it comes.

        Parameters
        ----------
        attempt : ChatAttempt
            What to send, and where.
        deadline : float
            Seconds that the attempt may take.
        on_text : callable
            Awaited with each piece of text; raises `asyncio.CancelledError` if the
            caller has gone, which is no failure of the engine.

        Returns
        -------
        Result of ChatOutcome, or of AttemptFailure
            Ok only if the engine sent its end marker, or refused the request as
            such (status 400 to 499, but for a version that it has not loaded).
        """
        return await run_attempt(self._exchange(attempt, on_text), deadline)

    async def _exchange(self, attempt, on_text):
        async with self._http.post(
            build_url(attempt.address, "/v1/chat/completions"),
            data=_encode_body(attempt),
            allow_redirects=False,
            headers={
                "Content-Type": "application/json",
                REQUEST_ID_HEADER: attempt.attempt,
            },
            timeout=self._timeout,
        ) as response:
            failure = classify_status(response)
            if failure is not None:
                return Error(failure)
            if response.status == NOT_FOUND_STATUS:
                # The engine's own word that it has no such model: nothing ran.
                return Error(AttemptFailure(RetryReason.VERSION_MISSING, sent=False))
            if response.status != OK_STATUS:
                return Ok(ChatOutcome(response.status, error=await response.read()))
            return await _read_stream(response, on_text)

    async def read_load(self, address, timeout, models=True):
        """Read an engine's load and the versions that it has loaded.

        Parameters
        ----------
        address : str
            `IP:port` of the engine.
        timeout : float
            Time limit in seconds.
        models : bool
            Whether to read the versions too.

        Returns
        -------
        Result of LoadReport, or of str
        """
        limit = aiohttp.ClientTimeout(total=timeout)
        base = f"http://{address}"
        try:
            async with self._http.get(f"{base}/metrics", timeout=limit) as response:
                page = await response.text()
            running, waiting = parse_load(page)
            versions = await self._read_models(base, limit) if models else None
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Error(f"engine {address}: {type(error).__name__}")
        return Ok(LoadReport(running, waiting, versions, parse_adapter_slots(page)))

    async def _read_models(self, base, limit):
        async with self._http.get(f"{base}/v1/models", timeout=limit) as response:
            models = msgspec.json.decode(await response.read(), type=_Models)
        return frozenset(model.id for model in models.data)


def _encode_body(attempt):
    body = dict(attempt.payload)
    body["model"] = attempt.version
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = attempt.priority
    if attempt.generated:
        partial = {"role": "assistant", "content": attempt.generated}
        body["messages"] = [*body.get("messages", []), partial]
        body["continue_final_message"] = True
        body["add_generation_prompt"] = False
    return msgspec.json.encode(body)


async def _read_stream(response, on_text):
    usage = Usage()
    finish_reason = None
    async for line in response.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_MARKER:
            if finish_reason is None:
                break
            return Ok(ChatOutcome(OK_STATUS, usage, finish_reason))
        chunk = _CHUNK_DECODER.decode(data)
        if chunk.usage is not None:
            usage = Usage(chunk.usage.prompt_tokens, chunk.usage.completion_tokens)
        for choice in chunk.choices:
            finish_reason = choice.finish_reason or finish_reason
            if choice.delta.content:
                await on_text(choice.delta.content)
    return Error(AttemptFailure(RetryReason.INCOMPLETE_ANSWER, True, crashed=True))
