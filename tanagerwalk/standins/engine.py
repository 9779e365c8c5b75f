"""Stand-in for a model engine with the HTTP API of vLLM.

Serves streamed chat completions, the list of models, metrics, and orders to load
or unload a version (LoRA adapter).
"""

import asyncio
import json
from dataclasses import dataclass

from aiohttp import web

from .server import StandIn

CHARS_PER_TOKEN = 4
DEFAULT_TOKENS = 8
LOAD_PATH = "/v1/load_lora_adapter"
UNLOAD_PATH = "/v1/unload_lora_adapter"


class WeightStore:
    """Stand-in for the weight store, which limits the number of concurrent loads.

    Parameters
    ----------
    concurrency : int
        Maximum number of concurrent loads, over all engines that share the store.
    load_time : float
        Duration of a load in seconds.

    Attributes
    ----------
    may_finish : asyncio.Event
        Cleared to keep loads running.
    peak_running : int
        Highest number of loads that ran concurrently.
    loads : int
        Number of loads so far.
    """

    def __init__(self, concurrency=2, load_time=0.0):
        self.concurrency = concurrency
        self.load_time = load_time
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.running = 0
        self.peak_running = 0
        self.loads = 0

    async def fetch(self):
        """Fetch the weights of a version; return False if the limit is reached."""
        if self.running >= self.concurrency:
            return False
        self.running += 1
        self.loads += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await asyncio.sleep(self.load_time)
            await self.may_finish.wait()
        finally:
            self.running -= 1
        return True


@dataclass(frozen=True, slots=True)
class ExecutedOrder:
    """A load or unload order that an engine carried out."""

    path: str
    version: str
    token: int


class EngineStandIn(StandIn):
    """Generates the words `VERSION-0 VERSION-1 ...`, one token each.

    Crashes on a request whose last message contains `poison`, and as soon as it begins
    to answer one of which another message does.

    Parameters
    ----------
    versions : iterable of str
        Versions that are loaded at the start.
    capacity : int
        Number of requests that run concurrently; further requests wait.
    slots : int
        Number of versions that fit in memory; 0 for an engine without load orders.
    checks_fencing : bool
        Whether orders with a fencing token older than the newest seen are refused.
    store : WeightStore or None
        Where versions are loaded from; by default a store of its own.

    Attributes
    ----------
    token_delay : float
        Seconds between two tokens.
    refuse : bool
        Whether completion requests get status 503.
    cut_after : int
        Number of tokens after which a stream is cut.
    cuts : int
        Number of following streams to cut; 0 for none.
    log : list of dict
        Body of every completion request received.
    orders : list of ExecutedOrder
        Every order that was carried out.
    lose_orders : int
        Number of following orders that take effect, but whose response is lost.
    missing_versions : list of str
        Versions whose weights the weight store lacks.
    """

    def __init__(
        self, versions=(), capacity=8, slots=0, checks_fencing=False, store=None
    ):
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
        self._run_slots = asyncio.Semaphore(capacity)
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.store = store or WeightStore()
        self.orders = []
        self.lose_orders = 0
        self.missing_versions = []
        self.newest_token = 0
        self._loading = set()

    def list_routes(self):
        """Return the HTTP routes of an engine."""
        return [
            web.post("/v1/chat/completions", self._chat_completions),
            web.get("/v1/models", self._models),
            web.get("/metrics", self._metrics),
            web.post(LOAD_PATH, self._handle_order),
            web.post(UNLOAD_PATH, self._handle_order),
        ]

    def restart(self):
        """Forget the loaded versions and the newest fencing token."""
        self.versions.clear()
        self.newest_token = 0

    async def _handle_order(self, request):
        if not self.slots:
            raise web.HTTPNotFound
        token = int(request.headers.get("X-Fencing-Token", 0))
        if self.checks_fencing and token < self.newest_token:
            raise web.HTTPPreconditionFailed
        self.newest_token = max(token, self.newest_token)
        name = (await request.json())["lora_name"]
        refusal = await self._apply_order(request.path, name)
        if refusal is not None:
            return refusal
        self.orders.append(ExecutedOrder(request.path, name, token))
        if self.lose_orders > 0:
            self.lose_orders -= 1
            request.transport.abort()
        return web.Response(text="Success")

    async def _apply_order(self, path, name):
        if path == UNLOAD_PATH:
            if name not in self.versions:
                return _refuse_order(404, f"adapter '{name}' cannot be found")
            self.versions.remove(name)
            return None
        if name in self.versions:
            return _refuse_order(400, f"adapter '{name}' has already been loaded")
        if name in self.missing_versions:
            return _refuse_order(404, f"no weights of '{name}'")
        if len({*self.versions, *self._loading, name}) > self.slots:
            return _refuse_order(507, "out of memory")
        self._loading.add(name)
        try:
            if not await self.store.fetch():
                return _refuse_order(429, "weight store is busy")
        finally:
            self._loading.discard(name)
        if name not in self.versions:
            self.versions.append(name)
        return None

    async def _models(self, request):
        return web.json_response({"data": [{"id": name} for name in self.versions]})

    async def _metrics(self, request):
        lines = [
            "# TYPE vllm:num_requests_running gauge",
            f'vllm:num_requests_running{{engine="0"}} {self.running}',
            "# TYPE vllm:num_requests_waiting gauge",
            f'vllm:num_requests_waiting{{engine="0"}} {self.waiting}',
            "# TYPE vllm:lora_requests_info gauge",
            f'vllm:lora_requests_info{{max_lora="{self.slots}"}} 1',
        ]
        return web.Response(text="\n".join(lines) + "\n")

    async def _chat_completions(self, request):
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
        async with self._run_slots:
            self.waiting -= 1
            self.running += 1
            try:
                return await self._stream(request, body)
            finally:
                self.running -= 1

    async def _stream(self, request, body):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        if "poison" in str(body["messages"][:-1]):
            self.crashed = True
            await self.crash()
            return response
        total = int(body.get("max_tokens", DEFAULT_TOKENS))
        first = _count_generated_tokens(body)
        for number in range(first, total):
            if self.cuts > 0 and number - first >= self.cut_after:
                self.cuts -= 1
                request.transport.abort()
                return response
            await asyncio.sleep(self.token_delay)
            text = f"{body['model']}-{number} "
            await _send_event(response, {"choices": [{"delta": {"content": text}}]})
        await _send_event(
            response, {"choices": [{"delta": {}, "finish_reason": "stop"}]}
        )
        usage = {
            "prompt_tokens": len(json.dumps(body["messages"])) // CHARS_PER_TOKEN,
            "completion_tokens": total - first,
        }
        await _send_event(response, {"choices": [], "usage": usage})
        await response.write(b"data: [DONE]\n\n")
        return response


def _refuse_order(status, message):
    error = {"message": message, "type": "BadRequestError", "code": status}
    return web.json_response({"error": error}, status=status)


def _count_generated_tokens(body):
    if not body.get("continue_final_message"):
        return 0
    return len(body["messages"][-1]["content"].split())


async def _send_event(response, chunk):
    await response.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")
