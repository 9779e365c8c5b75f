"""Selects the instances that report evidence about released versions.

On a large fleet a sample of the instances gathers enough evidence, and the number
of facts sent to all instances stays small. The instances need not agree on the
selection: while their lists of live instances differ, a few more or fewer report.
"""

import hashlib

REPORTERS_PER_ARM = 8
# Reports that all instances together send per second; each instance receives them all.
FLEET_REPORTS_PER_S = 8.0
REPORTS_BURST = 10.0


class ReporterSelection:
    """Selects the reporting instances of each arm by rendezvous hashing."""

    def __init__(self):
        self._live = None
        self._chosen = {}

    def includes(self, origin, arm, live):
        """Return whether an instance reports evidence about an arm.

        Parameters
        ----------
        origin : Incarnation
            The instance.
        arm : Arm
            The arm.
        live : frozenset of Incarnation or None
            Instances listed as live; None if no list is known.
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
    """Token bucket for this instance's part of the fleet's report rate.

    Attributes
    ----------
    tokens : float
        Reports that this instance may send now.
    """

    def __init__(self):
        self.tokens = REPORTS_BURST
        self._updated = float("-inf")

    def refill(self, now, instances):
        """Add the tokens earned since the last call.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        instances : int
            Number of live instances, which share the rate equally.
        """
        rate = FLEET_REPORTS_PER_S / max(1, instances)
        earned = (now - self._updated) * rate
        self.tokens = min(REPORTS_BURST, self.tokens + earned)
        self._updated = now

    def take(self):
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def _score(arm, name):
    return hashlib.blake2b(f"{arm.to_key()} {name}".encode(), digest_size=8).digest()
