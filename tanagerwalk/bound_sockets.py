"""Sockets that are bound to an address, for the event loop to serve.

An event loop that is given an address looks it up in a pool of threads, which reserve
tens of megabytes of address space each; one that is given a socket has no need to.
"""

import errno
import socket
from dataclasses import dataclass

from expression import Error, Ok

BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class PeerSockets:
    """A TCP socket and a UDP socket of the same address and port."""

    stream: socket.socket
    datagram: socket.socket

    def fileno(self):
        """Return the lower descriptor of both, -1 if one is closed."""
        return min(self.stream.fileno(), self.datagram.fileno())

    def close(self):
        """Close both."""
        self.stream.close()
        self.datagram.close()


def lacks_descriptors(error):
    """Return whether an OSError says that no descriptor is left."""
    return error.errno in (errno.EMFILE, errno.ENFILE)


def bind_stream(address):
    """Return the Result of a TCP socket, or of an OSError.

    The event loop makes it listen, which may fail too if another process has bound the
    port at the same time.

    Parameters
    ----------
    address : tuple of (str, int)
        Numeric IP address and port; port 0 for any free one.
    """

    def bind(sock):
        # A port that a former process has just left counts as free.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)

    return _open(address, socket.SOCK_STREAM, bind)


def bind_datagram(address):
    """Return the Result of a UDP socket, or of an OSError.

    Parameters
    ----------
    address : tuple of (str, int)
        Numeric IP address and port; port 0 for any free one.
    """
    return _open(address, socket.SOCK_DGRAM, lambda sock: sock.bind(address))


def bind_pair(ip, ports):
    """Return the Result of PeerSockets at the first port that is free for both.

    Parameters
    ----------
    ip : str
        Numeric IP address.
    ports : iterable of int
        The ports to try, in order; at least one.

    Returns
    -------
    Result of PeerSockets, or of OSError
        The error is that of the last port.
    """
    result = Error(OSError("no port"))
    for port in ports:
        result = _bind_pair_at((ip, port))
        if result.is_ok():
            break
    return result


def _bind_pair_at(address):
    stream = bind_stream(address)
    if stream.is_error():
        return stream
    datagram = bind_datagram(stream.ok.getsockname()[:2])
    if datagram.is_error():
        stream.ok.close()
        return datagram
    return Ok(PeerSockets(stream.ok, datagram.ok))


def _open(address, kind, bind):
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, kind)
    except OSError as error:
        return Error(error)
    try:
        sock.setblocking(False)
        bind(sock)
    except OSError as error:
        sock.close()
        return Error(error)
    return Ok(sock)
