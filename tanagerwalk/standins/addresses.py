"""Loopback address that the stand-ins and their clusters listen on."""

import os

DEFAULT_ADDRESS = "127.0.0.1"
ADDRESS_VARIABLE = "TANAGERWALK_STANDIN_ADDRESS"


def find_address():
    """Return the loopback address of the stand-ins of this process.

    Processes that run at the same time can be given addresses of their own, so that
    none reaches a port that a stand-in of another has left.
    """
    return os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
