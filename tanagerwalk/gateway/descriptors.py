"""Keeps the connections of the process within its limit of descriptors."""

import asyncio
import resource
import time

import structlog
from expression import Error

from ..repeated_warnings import RateLimitedWarning
from .connect_faults import ConnectFault
from .connections import Connection, open_connection

log = structlog.get_logger(__name__)

UNLIMITED = 2**31
# After an abort, the event loop closes the descriptor in one of its next turns.
CLOSE_DELAY_S = 0.002


def raise_system_limit(max_descriptors):
    """Raise the soft limit of the operating system as far as the settings allow.

    Parameters
    ----------
    max_descriptors : int
        Limit of the settings.
    """
    wanted = max_descriptors
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY:
            wanted = min(hard, wanted)
        if soft == resource.RLIM_INFINITY or soft >= wanted:
            return
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError) as error:
        log.warning("descriptor limit not raised", wanted=wanted, problem=str(error))


def read_system_limit():
    """Return how many descriptors the operating system allows the process."""
    try:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError as error:
        log.warning("descriptor limit not read", problem=str(error))
        return UNLIMITED
    return UNLIMITED if soft == resource.RLIM_INFINITY else soft


class LimitedDial:
    """Opens TCP connections within a part of the descriptors.

    Parameters
    ----------
    part : DescriptorPart
        Descriptors that may be used.
    make_room : callable
        Closes a connection that is not in use, and returns whether there was one.
    dial : callable
        Opens a TCP connection, like `open_connection`.
    """

    def __init__(self, part, make_room, dial=open_connection):
        self._part = part
        self._make_room = make_room
        self._dial = dial
        self._warning = RateLimitedWarning("out of descriptors", time.monotonic)

    async def open(self, address, timeout, create_protocol=Connection):
        """Open a TCP connection, like `open_connection`.

        Returns
        -------
        Result of asyncio.Protocol, or of ConnectFault or str
            With a ConnectFault, the address has nothing to do with it.
        """
        if not self._reserve():
            self._warning.record(used=self._part.used)
            return Error(ConnectFault.DESCRIPTORS_FULL)
        protocol = None
        try:
            result = await self._dial_with_room(address, timeout, create_protocol)
            if result.is_ok():
                protocol = result.ok
                protocol.on_closed = self._part.release
        finally:
            if protocol is None:
                self._part.release()
        if protocol is not None and protocol.closed:
            protocol.report_closed()
        return result

    async def _dial_with_room(self, address, timeout, create_protocol):
        """Try once more if the system has no descriptor but a connection can close."""
        result = await self._dial(address, timeout, create_protocol)
        if not result.is_error() or result.error is not ConnectFault.DESCRIPTORS_FULL:
            return result
        self._warning.record(used=self._part.used)
        if not self._make_room():
            return result
        await asyncio.sleep(CLOSE_DELAY_S)
        return await self._dial(address, timeout, create_protocol)

    def _reserve(self):
        while not self._part.try_reserve():
            if not self._make_room():
                return False
        return True
