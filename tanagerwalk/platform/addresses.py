"""Parsing of network addresses in the platform's format."""


def parse_address(text):
    """Parse `IP:PORT` into an (IP, port) tuple; return None if it is malformed.

    Parameters
    ----------
    text : str
        The address, as found in settings and server entries.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        return None
    return host, int(port)
