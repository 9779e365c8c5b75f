"""Which incarnations of backend servers are leaving, and how that is known."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import Incarnation

SUSPICION_WINDOW_S = 15.0
SUSPICION_GAP_S = 0.5
MIN_SUSPICIONS = 3
INFERRED_LIFETIME_S = 60.0
MAX_REMEMBERED = 10_000


class Suspicion(Enum):
    """What makes a server look as if it were leaving."""

    CLOSING_REFUSAL = "closing_refusal"
    CONNECT_FAILED = "connect_failed"


@dataclass(slots=True)
class _Evidence:
    count: int = 0
    refusals: int = 0
    first_at: float = 0.0
    last_at: float = float("-inf")


class LeavingTracker:
    """Remembers leaving incarnations.

    The platform's word, direct or through a peer, holds for the incarnation's whole
    life. What is inferred from refusals holds for a bounded time: an overloaded or
    unreachable server looks much the same, and must not be lost for good. A failed
    connection alone never counts, since a cut link shows just that.
    """

    def __init__(self):
        self._listed = OrderedDict()
        self._inferred: dict[Incarnation, float] = {}
        self._evidence: dict[Incarnation, _Evidence] = {}

    def record_listed(self, incarnation):
        """Note the platform's word that an incarnation is leaving."""
        self._listed[incarnation] = None
        self._listed.move_to_end(incarnation)
        self._inferred.pop(incarnation, None)
        self._evidence.pop(incarnation, None)
        # An entry outlives the server's place in the list: a lagging list may
        # show the server again, as live.
        if len(self._listed) > MAX_REMEMBERED:
            self._listed.popitem(last=False)

    def infer(self, incarnation, until):
        """Take an incarnation for leaving until a monotonic time in seconds."""
        if incarnation not in self._listed:
            known = self._inferred.get(incarnation, until)
            self._inferred[incarnation] = max(known, until)

    def suspect(self, incarnation, suspicion, now):
        """Weigh a suspicion.

        Parameters
        ----------
        incarnation : Incarnation
            Of the backend server.
        suspicion : Suspicion
            What was seen.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the incarnation is now taken for leaving.
        """
        evidence = self._evidence.get(incarnation)
        if evidence is None or now - evidence.first_at > SUSPICION_WINDOW_S:
            evidence = _Evidence(first_at=now)
            self._evidence[incarnation] = evidence
        # Attempts that fail together are one observation.
        if now - evidence.last_at < SUSPICION_GAP_S:
            return self.is_leaving(incarnation)
        evidence.last_at = now
        evidence.count += 1
        evidence.refusals += suspicion is Suspicion.CLOSING_REFUSAL
        if evidence.refusals and evidence.count >= MIN_SUSPICIONS:
            self.infer(incarnation, now + INFERRED_LIFETIME_S)
            del self._evidence[incarnation]
        return self.is_leaving(incarnation)

    def clear_suspicion(self, incarnation):
        """Forget the suspicions against a server that answered."""
        self._evidence.pop(incarnation, None)

    def expire(self, now):
        """Forget what was inferred too long ago, and old suspicions."""
        for incarnation, until in list(self._inferred.items()):
            if until <= now:
                del self._inferred[incarnation]
        for incarnation, evidence in list(self._evidence.items()):
            if now - evidence.first_at > SUSPICION_WINDOW_S:
                del self._evidence[incarnation]

    def is_leaving(self, incarnation):
        """Return whether an incarnation is known or taken to be leaving."""
        return incarnation in self._listed or incarnation in self._inferred

    def is_listed(self, incarnation):
        """Return whether the platform says that an incarnation is leaving."""
        return incarnation in self._listed

    def list_inferred(self):
        """Return the incarnations inferred to be leaving, with the time it holds to."""
        return dict(self._inferred)

    def list_leaving(self):
        """Return all incarnations that are known or taken to be leaving."""
        return frozenset(self._listed) | frozenset(self._inferred)
