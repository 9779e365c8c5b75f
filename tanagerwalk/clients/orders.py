"""Client for vLLM's API that loads and unloads adapters at run time."""

from dataclasses import dataclass

import aiohttp
import msgspec

from ..decisions.orders import OrderOutcome
from ..decisions.placement import MoveKind
from ..documents import decode_json
from .http import read_body
from .responses import read_retry_after

FENCING_HEADER = "X-Fencing-Token"
PATH_BY_KIND = {
    MoveKind.LOAD: "/v1/load_lora_adapter",
    MoveKind.UNLOAD: "/v1/unload_lora_adapter",
}
ALREADY_LOADED_TEXT = "already been loaded"
OUTCOME_BY_STATUS = {
    200: OrderOutcome.APPLIED,
    405: OrderOutcome.UNSUPPORTED,
    409: OrderOutcome.FENCED,
    412: OrderOutcome.FENCED,
    429: OrderOutcome.BUSY,
    500: OrderOutcome.IN_DOUBT,
    501: OrderOutcome.UNSUPPORTED,
    502: OrderOutcome.IN_DOUBT,
    503: OrderOutcome.BUSY,
    504: OrderOutcome.IN_DOUBT,
    507: OrderOutcome.NO_MEMORY,
}


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of sending an order.

    Parameters
    ----------
    outcome : OrderOutcome
        `IN_DOUBT` if the order may have taken effect.
    retry_after : float or None
        Seconds to wait, from the engine's `Retry-After` header.
    """

    outcome: OrderOutcome
    retry_after: float | None = None


class _ErrorDetail(msgspec.Struct, frozen=True):
    message: str = ""


class _ErrorBody(msgspec.Struct, frozen=True):
    """Error body of vLLM, in the nested form or the flat one of older versions."""

    error: _ErrorDetail | None = None
    object: str = ""
    message: str = ""


class OrderClient:
    """Sends load and unload orders to engines.

    An order states whether the engine is to have one version loaded. Orders are
    idempotent, so one whose outcome is in doubt may be sent again.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session used for all calls.
    settings : OrderSettings
        Timeouts and the path prefix of the weights.
    """

    def __init__(self, http, settings):
        self._http = http
        self._weights_path = settings.weights
        self._timeout = aiohttp.ClientTimeout(
            total=settings.timeout, connect=settings.connect_timeout
        )

    async def send(self, order):
        """Send an order and wait for the engine's response.

        Parameters
        ----------
        order : Order
            The order.

        Returns
        -------
        OrderResult
        """
        kind = order.move.kind
        body = {"lora_name": order.move.version}
        if kind is MoveKind.LOAD:
            body["lora_path"] = self._weights_path + order.move.version
        try:
            async with self._http.post(
                f"http://{order.address}{PATH_BY_KIND[kind]}",
                json=body,
                headers={FENCING_HEADER: str(order.token)},
                timeout=self._timeout,
            ) as response:
                return _classify_response(kind, response, await read_body(response))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderResult(OrderOutcome.NOT_SENT)
        except (aiohttp.ClientError, TimeoutError):
            return OrderResult(OrderOutcome.IN_DOUBT)


def _classify_response(kind, response, content):
    status = response.status
    if status == 404:
        return OrderResult(_classify_not_found(kind, content))
    if status == 400 and kind is MoveKind.LOAD and _is_already_loaded(content):
        return OrderResult(OrderOutcome.APPLIED)
    outcome = OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)
    return OrderResult(outcome, read_retry_after(response.headers))


def _classify_not_found(kind, content):
    """Distinguish a missing version from an engine without the endpoint.

    Only an error body in vLLM's format shows that the endpoint exists.
    """
    if not _read_message(content):
        return OrderOutcome.UNSUPPORTED
    if kind is MoveKind.UNLOAD:
        return OrderOutcome.APPLIED
    return OrderOutcome.VERSION_MISSING


def _is_already_loaded(content):
    return ALREADY_LOADED_TEXT in _read_message(content)


def _read_message(content):
    decoded = decode_json(content, _ErrorBody)
    if decoded.is_error():
        return ""
    body = decoded.ok
    if body.error is not None:
        return body.error.message
    return body.message if body.object == "error" else ""
