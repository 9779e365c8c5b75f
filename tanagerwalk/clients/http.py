"""HTTP sessions for calls to backend servers and the platform."""

import functools
import warnings

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from ..socket_options import has_pending_reset

# Headers that aiohttp adds to requests that lack them.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
MAX_BODY_BYTES = 16 * 1024 * 1024
# What a connection holds of an answer that isn't taken is a small multiple of this.
READ_BUFFER_BYTES = 32 * 1024


class StrictResponseHandler(ResponseHandler):
    """Connection whose loss by an error ends no body as if it were complete.

    A body without framing ends with the connection. aiohttp takes any end for that,
    also a reset, which says that the rest of the body is lost.
    """

    def eof_received(self):
        """Fail the body if this end of the stream follows a reset."""
        if has_pending_reset(self.transport):
            self._fail_body("reset")
        super().eof_received()

    def connection_lost(self, exc):
        """Fail the body that is being received, if the connection failed."""
        if exc is not None:
            self._fail_body(exc)
        super().connection_lost(exc)

    def _fail_body(self, cause):
        payload = self._payload
        if payload is not None and not payload.is_eof():
            error = aiohttp.ClientPayloadError(f"connection lost: {cause}")
            payload.set_exception(error)


class StrictConnector(aiohttp.TCPConnector):
    """Connector whose connections are StrictResponseHandlers."""

    def __init__(self, **options):
        super().__init__(**options)
        # aiohttp has no public option for the class of connections.
        self._factory = functools.partial(StrictResponseHandler, loop=self._loop)


def build_session(keep_connections=True):
    """Return a session that sends each request exactly once and unmodified.

    Whether a request may be repeated depends on its class of work, not on the HTTP
    method, so aiohttp's automatic retry on a broken keep-alive connection is disabled.
    Redirects are left to the individual calls.

    Parameters
    ----------
    keep_connections : bool
        Whether to reuse connections for several requests.
    """
    http = aiohttp.ClientSession(
        # A connection limit shared by all calls would let slow ones block fast ones,
        # such as drafts block lookups.
        connector=StrictConnector(limit=0, force_close=not keep_connections),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_HEADERS,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        trust_env=False,
    )
    with warnings.catch_warnings():
        # aiohttp has no public option to disable the retry.
        warnings.simplefilter("ignore", DeprecationWarning)
        http._retry_connection = False
    return http


def build_url(address, path):
    """Return a URL whose path is sent without re-quoting.

    Parameters
    ----------
    address : str
        `IP:port`.
    path : str
        Path and query, already quoted.
    """
    return URL(f"http://{address}{path}", encoded=True)


async def read_body(response, held=None):
    """Read the body of a response, of at most MAX_BODY_BYTES.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The response.
    held : HeldAnswer or None
        Counts the body in memory, and makes its reception wait for room.

    Returns
    -------
    bytes

    Raises
    ------
    aiohttp.ClientPayloadError
        If the body is longer, or the connection ends before it does.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        if held is not None:
            await held.grow(len(part))
        parts.append(part)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError("the body is too long")
    return b"".join(parts)
