"""Loopback addresses that only one process of the tests uses."""

import os


def choose_network():
    """Return the first three bytes of loopback addresses for this process alone."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}"
