"""Silence of a host: packets to a socket are dropped before the kernel answers them."""

import contextlib
import ctypes
import socket
import struct

from ..socket_options import CLOSED_SOCKET_ERRORS

# From <asm-generic/socket.h>; the socket module doesn't name them.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# Instruction of a socket filter that accepts no byte of any packet: BPF_RET, 0.
DROP_INSTRUCTION = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0), 8)
# struct sock_fprog: the number of instructions, and where they are.
DROP_PROGRAM = struct.pack("HP", 1, ctypes.addressof(DROP_INSTRUCTION))


def drop_packets(sock):
    """Drop what comes to a socket from now on, acknowledgements included.

    A listening socket passes this on to what it accepts.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_PROGRAM)


def accept_packets(sock):
    """Accept again what comes to a socket.

    One that was closed, or whose packets were not dropped, is left alone.
    """
    with contextlib.suppress(*CLOSED_SOCKET_ERRORS):
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
