"""Stand-in for a plain service with bookings, which must run once, and lookups."""

import asyncio

from aiohttp import web

from .server import StandIn


class ServiceStandIn(StandIn):
    """Answers every call with its sequence number, and records the calls.

    Attributes
    ----------
    delay : float
        Duration of a call in seconds.
    lose_answers : int
        Number of following calls that take effect, but whose response is lost.
    refuse : bool
        Whether calls get status 503.
    closing : bool
        Whether a 503 response also closes the connection, as a server does that is
        shutting down.
    padding : int
        Bytes that are added to each answer.
    runs : list of str
        Idempotency key of each call that took effect, in order of execution.
    """

    def __init__(self):
        super().__init__()
        self.delay = 0.0
        self.lose_answers = 0
        self.refuse = False
        self.closing = False
        self.padding = 0
        self.runs = []
        self.running = 0

    def list_routes(self):
        """Return the HTTP routes of the service."""
        return [
            web.get("/metrics", self._metrics),
            web.get("/runs", self._list_runs),
            web.post("/{work_class}", self._call),
        ]

    async def _metrics(self, request):
        return web.Response(
            text="# TYPE num_requests_running gauge\n"
            f"num_requests_running {self.running}\n"
        )

    async def _list_runs(self, request):
        return web.json_response(self.runs)

    async def _call(self, request):
        if self.refuse:
            headers = {"Retry-After": "1"}
            if self.closing:
                headers["Connection"] = "close"
            raise web.HTTPServiceUnavailable(headers=headers)
        body = await request.json()
        self.running += 1
        try:
            self.runs.append(request.headers.get("Idempotency-Key", ""))
            number = len(self.runs)
            if self.delay:
                await asyncio.sleep(self.delay)
        finally:
            self.running -= 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            request.transport.abort()
        answer = {"number": number, "asked": body}
        if self.padding:
            answer["padding"] = "x" * self.padding
        return web.json_response(answer)
