"""What answers tell about the lasting speed of a backend server."""

import math
from dataclasses import dataclass

# After this time the weight of an answer has fallen to 1 / e.
MEMORY_S = 6.0


@dataclass(frozen=True, slots=True)
class SpeedSamples:
    """Weighted sums over the answers of a backend server; recent ones weigh more.

    Parameters
    ----------
    durations : float
        Weight of the answers whose duration was measured.
    log_duration : float
        Sum of the logarithms of their durations, each relative to the usual duration
        of such an answer.
    reports : float
        Weight of the answers that reported a slowdown.
    log_slowdown : float
        Sum of the logarithms of these slowdowns.
    """

    durations: float = 0.0
    log_duration: float = 0.0
    reports: float = 0.0
    log_slowdown: float = 0.0

    def add(self, other):
        """Return the samples of both."""
        return SpeedSamples(
            self.durations + other.durations,
            self.log_duration + other.log_duration,
            self.reports + other.reports,
            self.log_slowdown + other.log_slowdown,
        )

    def subtract(self, part):
        """Return the samples without a part of them, which may be a little newer."""
        return SpeedSamples(
            max(0.0, self.durations - part.durations),
            self.log_duration - part.log_duration,
            max(0.0, self.reports - part.reports),
            self.log_slowdown - part.log_slowdown,
        )

    def age(self, seconds):
        """Return the samples with the weight that they have `seconds` later."""
        factor = math.exp(-seconds / MEMORY_S)
        return SpeedSamples(
            self.durations * factor,
            self.log_duration * factor,
            self.reports * factor,
            self.log_slowdown * factor,
        )

    @property
    def weight(self):
        """Weight of all answers."""
        return self.durations + self.reports


NO_SAMPLES = SpeedSamples()
