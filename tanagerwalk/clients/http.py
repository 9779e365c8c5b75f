"""HTTP sessions towards backend servers and the platform."""

import warnings

import aiohttp
from yarl import URL

# What the library would add to a request that did not have it.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


def build_session(keep_connections=True):
    """Return a session that sends each request once and as it is.

    What may be repeated follows from the kind of work, never from the method, so
    that the library's own repeat over a kept connection is off. Redirects are up to
    each call.

    Parameters
    ----------
    keep_connections : bool
        Whether a connection serves more than one request.
    """
    http = aiohttp.ClientSession(
        # One connector limit for all would let slow drafts block lookups.
        connector=aiohttp.TCPConnector(limit=0, force_close=not keep_connections),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_HEADERS,
        auto_decompress=False,
        trust_env=False,
    )
    with warnings.catch_warnings():
        # The library has no public switch for it.
        warnings.simplefilter("ignore", DeprecationWarning)
        http._retry_connection = False
    return http


def build_url(address, path):
    """Return a URL whose path goes out byte for byte.

    Parameters
    ----------
    address : str
        `IP:port`.
    path : str
        Path and query, as they are to be sent.
    """
    return URL(f"http://{address}{path}", encoded=True)
