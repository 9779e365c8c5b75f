"""Stand-in of a model engine: chat completions with streaming, load and models."""

import asyncio
import json

from aiohttp import web

from .server import StandIn

CHARS_PER_TOKEN = 4
DEFAULT_TOKENS = 8


class EngineStandIn(StandIn):
    """Generates the words `VERSION-0 VERSION-1 ...` token by token.

    A request whose last message contains `poison` crashes the engine.

    Parameters
    ----------
    versions : iterable of str
        Versions that are loaded.
    capacity : int
        Requests that run at once; more of them wait.

    Attributes
    ----------
    token_delay : float
        Seconds from token to token.
    refuse : bool
        Whether requests are answered by status 503.
    cut_after : int
        Tokens after which the next streams are cut; 0 for never.
    cuts : int
        So many streams are cut.
    log : list of dict
        Every request that was taken.
    """

    def __init__(self, versions=(), capacity=8):
        super().__init__()
        self.versions = list(versions)
        self.token_delay = 0.001
        self.refuse = False
        self.cut_after = 0
        self.cuts = 0
        self.log = []
        self.crashed = False
        self.running = 0
        self.waiting = 0
        self._room = asyncio.Semaphore(capacity)

    def list_routes(self):
        """Return the routes of an engine."""
        return [
            web.post("/v1/chat/completions", self._complete),
            web.get("/v1/models", self._models),
            web.get("/metrics", self._metrics),
        ]

    async def _models(self, request):
        return web.json_response({"data": [{"id": name} for name in self.versions]})

    async def _metrics(self, request):
        lines = [
            "# TYPE vllm:num_requests_running gauge",
            f'vllm:num_requests_running{{engine="0"}} {self.running}',
            "# TYPE vllm:num_requests_waiting gauge",
            f'vllm:num_requests_waiting{{engine="0"}} {self.waiting}',
        ]
        return web.Response(text="\n".join(lines) + "\n")

    async def _complete(self, request):
        body = await request.json()
        self.log.append(body)
        if self.refuse:
            raise web.HTTPServiceUnavailable(headers={"Retry-After": "1"})
        if body["model"] not in self.versions:
            raise web.HTTPNotFound(text="model not found")
        if "poison" in str(body["messages"][-1].get("content", "")):
            self.crashed = True
            await self.crash()
            raise web.HTTPInternalServerError
        self.waiting += 1
        async with self._room:
            self.waiting -= 1
            self.running += 1
            try:
                return await self._stream(request, body)
            finally:
                self.running -= 1

    async def _stream(self, request, body):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        total = int(body.get("max_tokens", DEFAULT_TOKENS))
        first = _count_done(body)
        for number in range(first, total):
            if self.cuts > 0 and number - first >= self.cut_after:
                self.cuts -= 1
                request.transport.abort()
                return response
            await asyncio.sleep(self.token_delay)
            text = f"{body['model']}-{number} "
            await _send(response, {"choices": [{"delta": {"content": text}}]})
        await _send(response, {"choices": [{"delta": {}, "finish_reason": "stop"}]})
        usage = {
            "prompt_tokens": len(json.dumps(body["messages"])) // CHARS_PER_TOKEN,
            "completion_tokens": total - first,
        }
        await _send(response, {"choices": [], "usage": usage})
        await response.write(b"data: [DONE]\n\n")
        return response


def _count_done(body):
    if not body.get("continue_final_message"):
        return 0
    return len(body["messages"][-1]["content"].split())


async def _send(response, chunk):
    await response.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")
