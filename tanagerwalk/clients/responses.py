"""Parsing of response headers common to all backend servers."""


def read_retry_after(headers):
    """Return the seconds of a `Retry-After` header, or None.

    The date form of the header is not supported and gives None.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the response.
    """
    raw = headers.get("Retry-After")
    try:
        return max(0.0, float(raw)) if raw is not None else None
    except ValueError:
        return None
