"""Faults of this instance that keep it from connecting, or from reading."""

from enum import Enum


class ConnectFault(Enum):
    """A fault of this instance that says nothing about the address it connects to."""

    DESCRIPTORS_FULL = "descriptors_full"


class ReadFault(Enum):
    """A fault of this instance that says nothing about the server that answers."""

    MEMORY_FULL = "memory_full"
