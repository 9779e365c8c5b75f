"""Why this instance could not try to connect."""

from enum import Enum


class ConnectFault(Enum):
    """A fault of this instance that says nothing about the address it connects to."""

    DESCRIPTORS_FULL = "descriptors_full"
