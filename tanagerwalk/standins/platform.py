"""Stand-in of the platform's instance list and of its rating service."""

import hashlib
import json

from aiohttp import web

from .server import StandIn

RATING_SPREAD = 0.1


class PlatformStandIn(StandIn):
    """Lists instances and rates answers.

    The rating of an answer is the version's quality plus a spread that depends
    only on the request, so that equal runs give equal ratings.

    Attributes
    ----------
    groups : list of dict
        Target groups as in Prometheus HTTP discovery.
    quality : dict of str to float
        Mean rating of each version.
    outage : bool
        Whether every call is answered by status 503.
    rated : int
        Answers rated so far.
    list_reads, list_bytes : int
        Readings of the list, and the bytes of the lists sent.
    """

    def __init__(self):
        super().__init__()
        self.groups = []
        self.quality = {}
        self.outage = False
        self.rated = 0
        self.list_reads = 0
        self.list_bytes = 0

    def list_routes(self):
        """Return the routes of the platform."""
        return [web.get("/targets", self._targets), web.post("/rate", self._rate)]

    def add(self, address, **labels):
        """List one instance.

        Parameters
        ----------
        address : str
            `IP:port`.
        **labels : str
            `id`, `role`, `region`, `failure_domain`, `incarnation` and more.
        """
        self.groups.append({"targets": [address], "labels": labels})

    async def _targets(self, request):
        if self.outage:
            raise web.HTTPServiceUnavailable
        self.list_reads += 1
        content = json.dumps(self.groups)
        etag = f'"{hashlib.sha256(content.encode()).hexdigest()}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        self.list_bytes += len(content)
        headers = {"ETag": etag}
        return web.Response(
            text=content, content_type="application/json", headers=headers
        )

    async def _rate(self, request):
        if self.outage:
            raise web.HTTPServiceUnavailable
        body = await request.json()
        self.rated += 1
        digest = hashlib.sha256(repr(body["messages"]).encode()).digest()
        spread = (digest[0] / 255.0 * 2.0 - 1.0) * RATING_SPREAD
        rating = self.quality.get(body["version"], 0.5) + spread
        return web.json_response({"rating": min(1.0, max(0.0, rating))})
