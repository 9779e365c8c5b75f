"""What a client has sent that has not been read from its socket yet."""

import fcntl
import struct
import termios

import structlog

log = structlog.get_logger(__name__)

INT_FORMAT = "i"


def has_unread_input(transport):
    """Return whether bytes wait in the socket of a transport to be read.

    After a pause of the process, timers and other connections may come before them.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing() or sock.fileno() < 0:
        return False
    try:
        size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, struct.pack(INT_FORMAT, 0))
    except OSError as error:
        log.debug("socket input unknown", cause=repr(error))
        return False
    return struct.unpack(INT_FORMAT, size)[0] > 0
