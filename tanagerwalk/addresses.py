"""Numeric network addresses, as other programs state them."""

import ipaddress

MIN_PORT = 1
MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def parse_address(text):
    """Parse `IP:PORT` into an (IP, port) tuple; return None if it is malformed.

    Host names are malformed: looking them up would take time and may fail in ways of
    its own. An IPv6 address stands in brackets.

    Parameters
    ----------
    text : str
        The address.
    """
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return None
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    if not MIN_PORT <= int(port) <= MAX_PORT or _parse_ip(host) is None:
        return None
    return host, int(port)


def is_connectable(address):
    """Return whether an (IP, port) tuple can be the address of another process.

    Parameters
    ----------
    address : tuple of (str, int)
        Address that was not necessarily parsed by `parse_address`.
    """
    host, port = address
    ip = _parse_ip(host)
    if ip is None or not MIN_PORT <= port <= MAX_PORT:
        return False
    is_broadcast = ip.version == 4 and ip == ipaddress.IPv4Address("255.255.255.255")
    return not (ip.is_unspecified or ip.is_multicast or is_broadcast)


def _parse_ip(host):
    # A scope names an interface of one machine.
    if "%" in host:
        return None
    try:
        return ipaddress.ip_address(host)
    except ValueError:
        return None
