"""Addresses as the platform writes them."""


def parse_address(text):
    """Return the (IP, port) tuple of an `IP:PORT` text, or None if it is not one.

    Parameters
    ----------
    text : str
        What the platform wrote.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        return None
    return host, int(port)
