"""Builds the listener for clients."""

from ..manifest import ClientLimits
from .connection_ends import log_unanswered_end
from .listener import Listener


def build_client_listener(
    request_handler, cluster_state, limits, metrics, clock, random
):
    """Return the Listener that has the requests of clients handled.

    Parameters
    ----------
    request_handler : RequestHandler
        Handles the requests, and refuses those that have not been read to their end.
    cluster_state : ClusterState
        Provides the limits for clients.
    limits : ProcessLimits
        Budgets of memory and descriptors.
    metrics : GatewayMetrics
        Counts stalled readers, and connections that end unanswered.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Spreads the times at which refused clients come back.
    """

    def get_client_limits():
        manifest = cluster_state.manifest
        return ClientLimits() if manifest is None else manifest.limits

    def report_unanswered(end):
        metrics.unanswered.labels(end.cause.value).inc()
        log_unanswered_end(end)

    listener = Listener(
        request_handler.handle,
        request_handler.refuse,
        get_client_limits,
        limits.memory,
        limits.admission,
        clock,
        random,
    )
    listener.on_stalled_reader = metrics.stalled_readers.inc
    listener.on_unanswered = report_unanswered
    return listener
