"""Options of sockets that detect a dead peer, and the errors that they report."""

import contextlib
import socket
import struct

USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
KEEPALIVE_OPTIONS = (
    # Nagle's algorithm would hold back small events.
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
# First byte of TCP_INFO: the state of the connection, as the kernel numbers it.
TCP_STATE_CLOSED = 7
# What the event loops raise for the socket of a closed transport: uvloop a ValueError,
# also if the socket was looked up before.
CLOSED_SOCKET_ERRORS = (OSError, ValueError)


def has_pending_reset(transport):
    """Return whether a connection reset follows the data already received.

    The event loop may report such a reset as an orderly end of the stream. The socket
    error tells them apart, unless a write has met the reset first and taken the error;
    the state of the connection still does then.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport whose stream has ended.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
            return True
        # After an orderly end of the stream the connection is still open for writing.
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] == TCP_STATE_CLOSED
    except CLOSED_SOCKET_ERRORS:
        # Aborted meanwhile: what is missing of the stream can't be told any more.
        return True


def set_reset_on_close(sock):
    """Make the next close reset the connection, so that its peer knows at once."""
    linger = struct.pack("ii", 1, 0)
    _set_options(sock, ((socket.SOL_SOCKET, socket.SO_LINGER, linger),))


def set_socket_options(sock):
    """Set short timeouts that detect a dead server, store or instance."""
    user_timeout = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    _set_options(sock, (*KEEPALIVE_OPTIONS, user_timeout))


def set_client_socket_options(sock):
    """Set short timeouts that detect a dead client, but bear one that reads slowly.

    TCP_USER_TIMEOUT would also bound for how long a client's window may stay closed,
    though the client answers every probe and goes on reading.
    """
    _set_options(sock, KEEPALIVE_OPTIONS)


def _set_options(sock, options):
    if sock is None:
        return
    for level, name, value in options:
        # The transport may have been closed in the meantime.
        with contextlib.suppress(*CLOSED_SOCKET_ERRORS):
            sock.setsockopt(level, name, value)
