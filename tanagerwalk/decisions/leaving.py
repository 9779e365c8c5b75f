"""Tracking of backend server incarnations that are leaving."""

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
    """Observation that suggests that a server is leaving."""

    CLOSING_REFUSAL = "closing_refusal"
    CONNECT_FAILED = "connect_failed"


@dataclass(slots=True)
class _Evidence:
    count: int = 0
    refusals: int = 0
    first_at: float = 0.0
    last_at: float = float("-inf")


class LeavingTracker:
    """Tracks the incarnations that are confirmed or inferred to be leaving.

    An incarnation is confirmed to be leaving if the platform listed it as such, to
    this instance or to a peer. That holds for the lifetime of the incarnation. An
    inference from refusals expires: an overloaded or unreachable server looks similar
    and must not be excluded permanently. Failed connections alone are never enough,
    because a network partition causes them too.
    """

    def __init__(self):
        self._confirmed = OrderedDict()
        self._inferred: dict[Incarnation, float] = {}
        self._evidence: dict[Incarnation, _Evidence] = {}

    def record_confirmed(self, incarnation):
        """Record that the platform listed an incarnation as leaving."""
        self._confirmed[incarnation] = None
        self._confirmed.move_to_end(incarnation)
        self._inferred.pop(incarnation, None)
        self._evidence.pop(incarnation, None)
        # Keep the entry after the server has disappeared from the platform's list:
        # an outdated list may show the server as live again.
        if len(self._confirmed) > MAX_REMEMBERED:
            self._confirmed.popitem(last=False)

    def infer(self, incarnation, until):
        """Treat an incarnation as leaving until a monotonic time in seconds."""
        if incarnation not in self._confirmed:
            known = self._inferred.get(incarnation, until)
            self._inferred[incarnation] = max(known, until)

    def suspect(self, incarnation, suspicion, now):
        """Record a suspicion and evaluate the ones collected so far.

        Parameters
        ----------
        incarnation : Incarnation
            Incarnation of the backend server.
        suspicion : Suspicion
            The observation.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the incarnation now counts as leaving.
        """
        evidence = self._evidence.get(incarnation)
        if evidence is None or now - evidence.first_at > SUSPICION_WINDOW_S:
            evidence = _Evidence(first_at=now)
            self._evidence[incarnation] = evidence
        # Count attempts that fail at about the same time as one observation.
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
        """Remove the suspicions against an incarnation that answered."""
        self._evidence.pop(incarnation, None)

    def expire(self, now):
        """Remove expired inferences and suspicions."""
        for incarnation, until in list(self._inferred.items()):
            if until <= now:
                del self._inferred[incarnation]
        for incarnation, evidence in list(self._evidence.items()):
            if now - evidence.first_at > SUSPICION_WINDOW_S:
                del self._evidence[incarnation]

    def is_leaving(self, incarnation):
        """Return whether an incarnation is confirmed or inferred to be leaving."""
        return incarnation in self._confirmed or incarnation in self._inferred

    def is_confirmed(self, incarnation):
        """Return whether the platform listed an incarnation as leaving."""
        return incarnation in self._confirmed

    def list_inferred(self):
        """Return the expiry time of each inference, by incarnation."""
        return dict(self._inferred)

    def list_leaving(self):
        """Return all incarnations that are confirmed or inferred to be leaving."""
        return frozenset(self._confirmed) | frozenset(self._inferred)
