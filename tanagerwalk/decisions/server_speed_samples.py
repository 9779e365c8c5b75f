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
    duration_weight : float
        Weight of the answers whose duration was measured.
    log_duration_sum : float
        Sum of the logarithms of their durations, each relative to the usual duration
        of such an answer.
    report_weight : float
        Weight of the answers that reported a slowdown.
    log_slowdown_sum : float
        Sum of the logarithms of these slowdowns.
    """

    duration_weight: float = 0.0
    log_duration_sum: float = 0.0
    report_weight: float = 0.0
    log_slowdown_sum: float = 0.0

    def add(self, other):
        """Return the samples of both."""
        return SpeedSamples(
            self.duration_weight + other.duration_weight,
            self.log_duration_sum + other.log_duration_sum,
            self.report_weight + other.report_weight,
            self.log_slowdown_sum + other.log_slowdown_sum,
        )

    def subtract(self, part):
        """Return the samples without a part of them, which may be a little newer."""
        return SpeedSamples(
            max(0.0, self.duration_weight - part.duration_weight),
            self.log_duration_sum - part.log_duration_sum,
            max(0.0, self.report_weight - part.report_weight),
            self.log_slowdown_sum - part.log_slowdown_sum,
        )

    def age(self, seconds):
        """Return the samples with the weight that they have `seconds` later."""
        factor = math.exp(-seconds / MEMORY_S)
        return SpeedSamples(
            self.duration_weight * factor,
            self.log_duration_sum * factor,
            self.report_weight * factor,
            self.log_slowdown_sum * factor,
        )

    @property
    def weight(self):
        """Weight of all answers."""
        return self.duration_weight + self.report_weight


NO_SAMPLES = SpeedSamples()
