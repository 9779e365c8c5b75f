"""How the filters of a request are linked."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from ..messages import RequestContext

Handler = Callable[[RequestContext], Awaitable]


class Filter(Protocol):
    """One step of the chain."""

    async def handle(self, context, proceed):
        """Handle a request, or pass it on.

        Parameters
        ----------
        context : RequestContext
            The request.
        proceed : Handler
            The rest of the chain; may be called any number of times.

        Returns
        -------
        Result of Answer, or of Refusal
            The last filter, which calls the backend server, returns an
            AttemptFailure as its error instead; the retry filter consumes it.
        """


def link_filters(filters):
    """Return the Handler that runs `filters` in order.

    Parameters
    ----------
    filters : sequence of Filter
        The last one never calls `proceed`.
    """
    handler = _end_chain
    for step in reversed(filters):
        handler = _link(step, handler)
    return handler


def _link(step, next_handler):
    async def handle(context):
        return await step.handle(context, next_handler)

    return handle


async def _end_chain(context):
    raise AssertionError(f"request {context.request_id} left the end of the chain")
