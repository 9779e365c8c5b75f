"""Requests that got no answer from a server which may have crashed."""

from collections import OrderedDict
from dataclasses import dataclass

from ..ids import Fingerprint, PartKey
from .part_records import CrashWeight

SUSPICION_LIFETIME_S = 15.0
# The same for a request whose answer was declined; a crash follows soon or never.
DECLINED_LIFETIME_S = 1.0
MAX_SUSPICIONS = 1024


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request that was in flight on a server which may have crashed.

    Parameters
    ----------
    fingerprint : Fingerprint
        The request.
    shared_parts : tuple of PartKey
        Parts of its prompt that other requests may share, in order.
    weight : CrashWeight or None
        How strongly a crash speaks against these parts; None if it does not, since
        the server had been writing the answer for a while.
    lifetime : float
        Seconds for which the end of the server counts as a crash.
    """

    fingerprint: Fingerprint
    shared_parts: tuple[PartKey, ...] = ()
    weight: CrashWeight | None = CrashWeight.PRESENT
    lifetime: float = SUSPICION_LIFETIME_S


class CrashSuspicions:
    """Keeps unanswered requests until their server is known to have ended.

    A timeout, a client that left or a lost path don't tell whether the server crashed.
    """

    def __init__(self):
        self._suspected_at = OrderedDict()
        self._servers = {}

    def record(self, suspicion, incarnation, server, now):
        """Record a request that a server did not answer.

        Parameters
        ----------
        suspicion : Suspicion
            The request.
        incarnation : Incarnation
            The start of the server.
        server : RegisteredServer
            The server.
        now : float
            Monotonic time in seconds.
        """
        key = (incarnation, suspicion)
        self._suspected_at[key] = now
        self._suspected_at.move_to_end(key)
        self._servers[incarnation] = server
        if len(self._suspected_at) > MAX_SUSPICIONS:
            self._suspected_at.popitem(last=False)
            suspected = {life for life, _ in self._suspected_at}
            self._servers = {life: self._servers[life] for life in suspected}

    def find_server(self, incarnation):
        """Return the server of which requests are suspected, or None."""
        return self._servers.get(incarnation)

    def pop(self, incarnation, now):
        """Return the requests that a server, which has ended, left unanswered.

        Returns
        -------
        list of Suspicion
        """
        self._servers.pop(incarnation, None)
        keys = [key for key in self._suspected_at if key[0] == incarnation]
        suspected_at = {key: self._suspected_at.pop(key) for key in keys}
        return [
            suspicion
            for (_, suspicion), at in suspected_at.items()
            if now - at <= suspicion.lifetime
        ]
