"""Watches answers that a client has not read yet."""

import asyncio
import fcntl
import struct
import termios

import structlog

log = structlog.get_logger(__name__)

INT_FORMAT = "i"


class UnreadAnswerWatch:
    """Finds out whether a client has stopped reading for good.

    A client that takes any byte is borne, however slow it is, and so is one for as long
    as it may wait for its answer.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection of the client.
    idle_timeout : float
        Seconds without a byte taken after which a client counts as stalled.
    waits_until : float
        Monotonic time in seconds until which the client waits for its answer.
    clock : callable
        Returns monotonic time in seconds.
    on_stalled : callable
        Called without arguments, once.
    """

    def __init__(self, transport, idle_timeout, waits_until, clock, on_stalled):
        self._transport = transport
        self._idle_timeout = idle_timeout
        self._waits_until = waits_until
        self._clock = clock
        self._on_stalled = on_stalled
        self._unread = count_unread_bytes(transport)
        self._handle = None
        self._schedule(idle_timeout)

    def cancel(self):
        """Watch no longer."""
        self._handle.cancel()

    def _schedule(self, seconds):
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(seconds, self._check)

    def _check(self):
        unread = count_unread_bytes(self._transport)
        has_read = unread < self._unread
        self._unread = unread
        patience = self._waits_until - self._clock()
        if has_read:
            self._schedule(self._idle_timeout)
        elif patience > 0.0:
            self._schedule(min(patience, self._idle_timeout))
        else:
            log.info("stalled reader reset", unread_bytes=unread)
            self._on_stalled()


def count_unread_bytes(transport):
    """Return how many bytes wait for a client, here and in its socket.

    The system takes bytes in large steps from the process, but one by one from the
    socket as the client acknowledges them.
    """
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return size
    try:
        queued = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, struct.pack(INT_FORMAT, 0)
        )
    except OSError as error:
        log.debug("socket queue unknown", cause=repr(error))
        return size
    return size + struct.unpack(INT_FORMAT, queued)[0]
