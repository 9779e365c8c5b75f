"""Options of sockets that detect a dead peer, and the errors that they report."""

import contextlib
import fcntl
import socket
import struct
import termios

# TCP_USER_TIMEOUT bounds for how long bytes stay unacknowledged, and also decides when
# keep-alive probes give up, whatever their count: here after three lost ones, while
# nothing is awaited from the peer.
IDLE_USER_TIMEOUT_MS = 4500
# While something is awaited and bytes are unacknowledged, unless the peer has closed
# its window.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
# While a peer keeps its window closed: TCP_USER_TIMEOUT would end the connection
# however many probes of the window it acknowledges.
NO_USER_TIMEOUT_MS = 0
# Silence and unanswered probes after which a peer that has closed its window is gone.
# A silence of 1.5 s may swallow two of the probes, which are a second apart, beside
# one that the peer leaves unanswered as it came too soon after another.
CLOSED_WINDOW_SILENCE_S = 3.5
CLOSED_WINDOW_PROBES = 3
# While something is awaited and none are; the next probe after it ends the connection.
SILENCE_TIMEOUT_MS = 2750
AWAITED_KEEPALIVE_IDLE_S = 1
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Linux 6.15 and later bound the pauses between probes of a closed window by this, which
# double otherwise. The socket module doesn't name it.
TCP_RTO_MAX_MS = 44
MAX_RETRANSMISSION_PAUSE_MS = 1000
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
# Of TCP_INFO: milliseconds since the last data and the last acknowledgement came.
LAST_RECEIVED = struct.Struct("@52xII")
# Of TCP_INFO: the window probes without an answer, the size of segments, and how many
# are in flight.
WINDOW_STATE = struct.Struct("@3xB12xI4xI")
MS_PER_S = 1000.0
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
    """Set timeouts that detect a dead server, store or instance.

    They bear a peer that is silent for 1.5 s at any time; see `probe_peer` for one from
    which something is awaited.
    """
    user_timeout = _build_user_timeout(IDLE_USER_TIMEOUT_MS)
    pause = (socket.IPPROTO_TCP, TCP_RTO_MAX_MS, MAX_RETRANSMISSION_PAUSE_MS)
    _set_options(sock, (*KEEPALIVE_OPTIONS, user_timeout, pause))


def probe_peer(sock):
    """Send a keep-alive probe now, or end the connection if its peer is gone.

    Setting TCP_KEEPIDLE makes the kernel look at once how long the peer has been
    silent, which its own timers do only each second: for less than a second, it does
    nothing; from the user timeout on, it resets the connection if a probe was not
    answered; in between it sends one. The keep-alive timer goes on beside this.

    With unacknowledged bytes the kernel sends no such probes, but retransmits, or
    probes a closed window, until the user timeout. A closed window has none, as long as
    the peer answers.
    """
    user_timeout = SILENCE_TIMEOUT_MS
    if has_unacknowledged(sock):
        user_timeout = UNACKNOWLEDGED_TIMEOUT_MS
        if _is_window_held_closed(sock):
            user_timeout = NO_USER_TIMEOUT_MS
    keepalive = (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, AWAITED_KEEPALIVE_IDLE_S)
    _set_options(sock, (_build_user_timeout(user_timeout), keepalive))


def end_probes(sock):
    """Put the timeouts in force again that hold while nothing is awaited."""
    keepalive = (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    _set_options(sock, (_build_user_timeout(IDLE_USER_TIMEOUT_MS), keepalive))


def has_unacknowledged(sock):
    """Return whether the peer has not acknowledged all bytes written to a socket."""
    try:
        unacknowledged = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except CLOSED_SOCKET_ERRORS:
        return False
    return any(unacknowledged)


def measure_silence(sock):
    """Return for how long nothing has come from the peer of a connection, in seconds.

    An answer to a keep-alive probe counts. It is 0 for a socket that was closed, and
    where the kernel doesn't tell.
    """
    last_received = _read_info(sock, LAST_RECEIVED)
    return 0.0 if last_received is None else min(last_received) / MS_PER_S


def _is_window_held_closed(sock):
    """Return whether a peer takes no bytes, but may still be there.

    It is False where the kernel doesn't tell.
    """
    state = _read_info(sock, WINDOW_STATE)
    if state is None:
        return False
    probes, segment_size, in_flight = state
    # An imitation of the kernel may leave out what it doesn't know. Segments in flight
    # are those for which the peer had room.
    if not segment_size or in_flight:
        return False
    is_lately_heard = measure_silence(sock) < CLOSED_WINDOW_SILENCE_S
    return is_lately_heard or probes < CLOSED_WINDOW_PROBES


def _read_info(sock, fields):
    """Return fields of TCP_INFO, or None where the kernel doesn't tell them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, fields.size)
    except CLOSED_SOCKET_ERRORS:
        return None
    return fields.unpack(info) if len(info) == fields.size else None


def set_client_socket_options(sock):
    """Set short timeouts that detect a dead client, but bear one that reads slowly.

    TCP_USER_TIMEOUT would also bound for how long a client's window may stay closed,
    though the client answers every probe and goes on reading.
    """
    _set_options(sock, KEEPALIVE_OPTIONS)


def _build_user_timeout(milliseconds):
    return (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def _set_options(sock, options):
    if sock is None:
        return
    for level, name, value in options:
        # The transport may have been closed in the meantime.
        with contextlib.suppress(*CLOSED_SOCKET_ERRORS):
            sock.setsockopt(level, name, value)
