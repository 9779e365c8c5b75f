"""Reading of HTTP response headers that all backend servers share."""


def read_retry_after(headers):
    """Return the seconds of a `Retry-After` header, or None.

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
