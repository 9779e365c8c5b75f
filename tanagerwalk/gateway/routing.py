"""First filter of the chain: resolves the route and the client account."""

from expression import Error

from ..controllers.loop import poll_until
from ..decisions.freshness import find_start_retry_delay, find_start_wait
from ..outcomes import Refusal, RefusalReason

STALE_RETRY_S = 0.2
START_POLL_INTERVAL_S = 0.02


class RouteFilter:
    """Authenticates a request and finds its route in the manifest.

    Parameters
    ----------
    cluster_state : ClusterState
        Provides the manifest.
    freshness : Freshness
        Tells whether the manifest is recent enough to accept keys.
    """

    def __init__(self, cluster_state, freshness):
        self._cluster_state = cluster_state
        self._freshness = freshness

    async def handle(self, request, proceed):
        """Refuse what the manifest does not allow; pass the rest to the next filter."""
        await self._wait_for_first_copy(request)
        manifest = self._cluster_state.manifest
        if not self._has_copy():
            return Error(self._refuse_without_manifest())
        route = manifest.find_route(request.host, request.path)
        needs_key = manifest.needs_keys and not (route and route.public)
        # Checked first, because a stale manifest may lack a route or a key that a
        # newer one has.
        if needs_key and not self._freshness.is_fresh():
            return Error(_refuse_stale(self._freshness.age))
        if route is None:
            message = f"no route for host {request.host} and path {request.path}"
            return Error(Refusal(RefusalReason.CLASS_UNKNOWN, message))
        if needs_key:
            request.account = manifest.accounts.get(request.key)
            if request.account is None:
                message = "the key is missing or unknown"
                return Error(Refusal(RefusalReason.UNAUTHENTICATED, message))
        request.manifest = manifest
        request.route = route
        request.deadline = request.raw.received_at + min(
            request.client_timeout, route.timeout
        )
        if route.models and not request.any_model:
            message = "the model is chosen by the router: name * as the model"
            return Error(Refusal(RefusalReason.MODEL_NOT_NAMED, message))
        return await proceed(request)

    async def _wait_for_first_copy(self, request):
        """Wait for the first copy of the store if the instance has just started.

        After a restart of the whole fleet, no other instance could answer the client.
        """
        if self._has_copy():
            return
        wait = find_start_wait(self._freshness.uptime, request.client_timeout)
        await poll_until(self._has_copy, START_POLL_INTERVAL_S, wait)

    def _has_copy(self):
        return self._cluster_state.is_complete

    def _refuse_without_manifest(self):
        return Refusal(
            RefusalReason.MANIFEST_MISSING,
            "this instance has not read the manifest yet",
            retry_after=find_start_retry_delay(self._freshness.uptime),
        )


def _refuse_stale(age):
    return Refusal(
        RefusalReason.MANIFEST_STALE,
        f"this instance last confirmed the manifest {age:.1f} s ago",
        retry_after=STALE_RETRY_S,
    )
