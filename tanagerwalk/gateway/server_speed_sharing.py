"""Exchange of what answers show of the servers' speeds with the other instances."""

import math

from ..decisions.server_speed_samples import NO_SAMPLES
from .server_speed_messages import decode_speed

# Lasting speeds change rarely, so they are told less often than loads.
TELL_PERIOD_S = 1.0


class SpeedSharing:
    """Chooses what a round of messages tells, and takes in what others tell.

    Parameters
    ----------
    speeds : ServerSpeeds
        Learns from the answers that this instance receives.
    """

    def __init__(self, speeds):
        self._speeds = speeds
        self._is_due = False
        self._told_at = -math.inf

    def begin_round(self, now):
        """Decide whether the messages of a round tell of speeds."""
        self._is_due = now - self._told_at >= TELL_PERIOD_S
        if self._is_due:
            self._told_at = now

    def list_totals(self, sources, now):
        """Return SpeedSamples by `hash_life` for a round; empty if it tells none.

        Parameters
        ----------
        sources : collection of Scope
            Scopes of the reports that are added to what this instance has seen.
        now : float
            Monotonic time in seconds.
        """
        if not self._is_due:
            return {}
        totals = self._speeds.shared.sum_all(sources, now)
        for life, own in self._speeds.list_own(now).items():
            totals[life] = totals.get(life, NO_SAMPLES).add(own)
        return totals

    def set_own_reported(self, samples):
        """Record the own SpeedSamples that the sums of a relay contain."""
        if self._is_due:
            self._speeds.shared.set_own_reported(samples)

    def set_role(self, role, peers):
        """Adapt to the way in which messages are exchanged."""
        self._speeds.shared.set_role(role, peers)

    def receive(self, source, message, now):
        """Take in the speeds in a LoadMessage, which are those of a ReportSource."""
        samples = dict(map(decode_speed, message.speeds))
        self._speeds.shared.update(
            source, message.sender, message.sequence, samples, now
        )

    def expire_reports(self, now):
        """Remove the reports that have expired."""
        self._speeds.shared.expire_reports(now)
