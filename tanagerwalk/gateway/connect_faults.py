"""Faults of this instance that keep it from connecting, or from reading."""

from enum import Enum


class ConnectFault(Enum):
    """A fault of this instance that says nothing about the address it connects to.

    DESCRIPTORS_FULL: it has no descriptor left. NO_ALLOWED_PATH: only instances through
    which the request may not pass are known to reach the address.
    """

    DESCRIPTORS_FULL = "descriptors_full"
    NO_ALLOWED_PATH = "no_allowed_path"


class ReadFault(Enum):
    """A fault that says nothing about the server that answers.

    MEMORY_FULL: this instance had no memory to read on. CLIENT_SLOW: the client held
    the stream up before the server broke it off.
    """

    MEMORY_FULL = "memory_full"
    CLIENT_SLOW = "client_slow"
