"""First filter: finds route and client account, or refuses."""

from expression import Error

from ..outcomes import Refusal, RefusalReason

STALE_RETRY_S = 0.2
MISSING_RETRY_S = 1.0


class RouteFilter:
    """Checks a request against the manifest.

    Parameters
    ----------
    knowledge : Knowledge
        Holds the manifest.
    freshness : Freshness
        Says whether keys may be accepted.
    """

    def __init__(self, knowledge, freshness):
        self._knowledge = knowledge
        self._freshness = freshness

    async def handle(self, request, proceed):
        """Refuse what the manifest does not allow; pass the rest on."""
        manifest = self._knowledge.manifest
        if manifest is None or not self._knowledge.complete:
            return Error(_refuse_uninformed())
        route = manifest.find_route(request.host, request.path)
        needs_key = manifest.needs_keys and not (route and route.public)
        # An old manifest may lack a route or a key that a newer one has.
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


def _refuse_uninformed():
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
