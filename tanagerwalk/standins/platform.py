"""Stand-in for the platform's instance list and its rating service."""

import hashlib
import json

from aiohttp import web

from .server import StandIn

RATING_SPREAD = 0.1


class PlatformStandIn(StandIn):
    """Serves the list of instances, and rates answers.

    The rating of an answer is the quality of the version plus an offset that is
    derived from a hash of the messages, so that ratings are reproducible.

    Attributes
    ----------
    groups : list of dict
        Target groups in the format of Prometheus HTTP service discovery.
    quality : dict of str to float
        Mean rating of each version.
    outage : bool
        Whether every call gets status 503.
    rated, lists_sent : int
        Number of answers rated and of full lists sent so far.
    """

    def __init__(self):
        super().__init__()
        self.groups = []
        self.quality = {}
        self.outage = False
        self.rated = 0
        self.lists_sent = 0

    def list_routes(self):
        """Return the HTTP routes of the platform."""
        return [web.get("/targets", self._targets), web.post("/rate", self._rate)]

    def add(self, address, **labels):
        """Add an instance to the list.

        Parameters
        ----------
        address : str
            `IP:port`.
        **labels : str
            `id`, `role`, `region`, `failure_domain`, `incarnation` and others.
        """
        self.groups.append({"targets": [address], "labels": labels})

    async def _targets(self, request):
        if self.outage:
            raise web.HTTPServiceUnavailable
        content = json.dumps(self.groups)
        tag = hashlib.sha256(content.encode()).hexdigest()[:16]
        if request.headers.get("If-None-Match") == f'"{tag}"':
            raise web.HTTPNotModified
        self.lists_sent += 1
        response = web.Response(text=content, content_type="application/json")
        response.etag = tag
        return response

    async def _rate(self, request):
        if self.outage:
            raise web.HTTPServiceUnavailable
        body = await request.json()
        self.rated += 1
        digest = hashlib.sha256(repr(body["messages"]).encode()).digest()
        spread = (digest[0] / 255.0 * 2.0 - 1.0) * RATING_SPREAD
        rating = self.quality.get(body["version"], 0.5) + spread
        return web.json_response({"rating": min(1.0, max(0.0, rating))})
