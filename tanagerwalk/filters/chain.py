"""Filter interface and composition of filters into a handler."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from ..messages import RequestContext

Handler = Callable[[RequestContext], Awaitable]


class Filter(Protocol):
    """One filter of the chain."""

    async def handle(self, context, proceed):
        """Handle a request, usually by calling the rest of the chain.

        Parameters
        ----------
        context : RequestContext
            The request.
        proceed : Handler
            The rest of the chain; may be called any number of times.

        Returns
        -------
        Result of Answer, or of Refusal
            Filters between the retry filter and the end of the chain may return an
            AttemptFailure as the error; the retry filter handles it.
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
    raise AssertionError(
        f"request {context.request_id} was passed on by the last filter of the chain"
    )
