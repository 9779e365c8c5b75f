"""First filter of the chain: resolves the route and the client account."""

from expression import Error

from ..outcomes import Refusal, RefusalReason

STALE_RETRY_S = 0.2
MISSING_RETRY_S = 1.0


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
        manifest = self._cluster_state.manifest
        if manifest is None or not self._cluster_state.is_complete:
            return Error(_refuse_without_manifest())
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


def _refuse_without_manifest():
    return Refusal(
        RefusalReason.MANIFEST_MISSING,
        "this instance has not read the manifest yet",
        retry_after=MISSING_RETRY_S,
    )


def _refuse_stale(age):
    return Refusal(
        RefusalReason.MANIFEST_STALE,
        f"this instance last confirmed the manifest {age:.1f} s ago",
        retry_after=STALE_RETRY_S,
    )
