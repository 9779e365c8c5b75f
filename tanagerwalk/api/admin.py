"""Admin API of an instance: metrics and status."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from sanic.response import json as json_response
from sanic.response import raw

from .listener import Listener


class AdminApi:
    """Serves `/metrics` and `/status` to operators and monitoring.

    Parameters
    ----------
    metrics : Metrics
        Metrics served at `/metrics`.
    report_status : callable
        Returns the object served as JSON at `/status`.
    bounds : ConnectionBounds
        Limits of the connections.
    """

    def __init__(self, metrics, report_status, bounds):
        self._metrics = metrics
        self._report_status = report_status
        self.listener = Listener("admin", bounds)
        app = self.listener.app
        app.add_route(self._handle_metrics, "/metrics", methods=["GET"])
        app.add_route(self._handle_status, "/status", methods=["GET"])

    async def _handle_metrics(self, request):
        page = generate_latest(self._metrics.registry)
        return raw(page, content_type=CONTENT_TYPE_LATEST)

    async def _handle_status(self, request):
        return json_response(self._report_status())
