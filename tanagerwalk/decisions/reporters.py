"""Which instances gather the evidence about released versions.

On a large fleet a sample of the instances sees enough; so the facts that all
instances must learn stay few. The choice needs no agreement: where two lists of
live instances differ for a while, a few more or fewer instances gather.
"""

import hashlib

REPORTERS_PER_ARM = 8
# Statements of evidence a second on the whole fleet; each instance receives all.
FLEET_REPORTS_PER_S = 8.0
REPORTS_BURST = 10.0


class ReporterSelection:
    """Chooses the instances for each arm by rendezvous hashing."""

    def __init__(self):
        self._live = None
        self._chosen = {}

    def includes(self, origin, arm, live):
        """Return whether an instance gathers evidence about an arm.

        Parameters
        ----------
        origin : Incarnation
            The instance.
        arm : Arm
            The arm.
        live : frozenset of Incarnation or None
            Instances that are listed as live; None if no list is known.
        """
        if live is None or len(live) <= REPORTERS_PER_ARM:
            return True
        if live != self._live:
            self._live = live
            self._chosen = {}
        if arm not in self._chosen:
            ranked = sorted(live, key=lambda name: _score(arm, name))
            self._chosen[arm] = frozenset(ranked[:REPORTERS_PER_ARM])
        return origin in self._chosen[arm]


class ReportRateLimit:
    """Keeps the statements of the whole fleet within a rate.

    Attributes
    ----------
    tokens : float
        Statements that this instance may make now.
    """

    def __init__(self):
        self.tokens = REPORTS_BURST
        self._updated = float("-inf")

    def refill(self, now, instances):
        """Earn this instance's part of the fleet's rate.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        instances : int
            Live instances.
        """
        rate = FLEET_REPORTS_PER_S / max(1, instances)
        earned = (now - self._updated) * rate
        self.tokens = min(REPORTS_BURST, self.tokens + earned)
        self._updated = now

    def take(self):
        """Take one statement; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def _score(arm, name):
    return hashlib.blake2b(f"{arm.to_key()} {name}".encode(), digest_size=8).digest()
