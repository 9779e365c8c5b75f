"""Watches answers that a client has not read yet."""

import asyncio
import fcntl
import math
import struct
import termios

import structlog

log = structlog.get_logger(__name__)

INT_FORMAT = "i"
CHECK_INTERVAL_S = 0.25
# Seconds without a byte taken that are borne while other answers wait for memory.
PRESSED_TIMEOUT_S = 0.5
# Seconds without a byte taken of a stream that its server goes on with. Servers break
# off what stays unread for some seconds, and would seem to be at fault.
STREAM_TIMEOUT_S = 5.0


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
    is_pressed : callable
        Returns whether other answers wait for the memory that this one takes.
    on_stalled : callable
        Called without arguments, once.
    """

    def __init__(
        self, transport, idle_timeout, waits_until, clock, is_pressed, on_stalled
    ):
        self._transport = transport
        self._idle_timeout = idle_timeout
        self._waits_until = waits_until
        self._clock = clock
        self._is_pressed = is_pressed
        self._on_stalled = on_stalled
        self._taken_at = clock()
        self._unread = count_unread_bytes(transport)
        self._handle = None
        self._schedule()

    def cancel(self):
        """Watch no longer."""
        self._handle.cancel()

    def _schedule(self):
        loop = asyncio.get_running_loop()
        seconds = min(self._idle_timeout, CHECK_INTERVAL_S)
        self._handle = loop.call_later(seconds, self._check)

    def _check(self):
        unread = count_unread_bytes(self._transport)
        now = self._clock()
        if unread < self._unread:
            self._taken_at = now
        self._unread = unread
        if now < self._waits_until or now - self._taken_at < self._find_limit():
            self._schedule()
            return
        log.info("stalled reader reset", unread_bytes=unread)
        self._on_stalled()

    def _find_limit(self):
        if self._is_pressed():
            return min(PRESSED_TIMEOUT_S, self._idle_timeout)
        return self._idle_timeout


async def wait_until_taken(transport, writable, clock, on_stalled):
    """Wait until a client has taken what was sent of a stream, or has left.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection of the client.
    writable : asyncio.Event
        Set while nothing waits for the client, and once it has left.
    clock : callable
        Returns monotonic time in seconds.
    on_stalled : callable
        Called without arguments if the client takes nothing for STREAM_TIMEOUT_S.
    """
    if writable.is_set():
        return
    watch = UnreadAnswerWatch(
        transport, STREAM_TIMEOUT_S, -math.inf, clock, _is_never_pressed, on_stalled
    )
    try:
        await writable.wait()
    finally:
        watch.cancel()


def _is_never_pressed():
    """Return False: a stream holds little memory."""
    return False


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
