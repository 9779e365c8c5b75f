"""Parsing of response headers common to all backend servers."""

import math

# A server that names a longer time is asked again after this one.
MAX_RETRY_AFTER_S = 3600.0


def read_retry_after(headers):
    """Return the seconds of a `Retry-After` header, or None.

    The date form of the header is not supported and gives None.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the response.
    """
    try:
        seconds = float(headers.get("Retry-After", "nan"))
    except ValueError:
        return None
    if math.isnan(seconds):
        return None
    return min(MAX_RETRY_AFTER_S, max(0.0, seconds))
