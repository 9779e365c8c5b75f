"""What a planned stop allows: which requests still begin, and how the last ones end."""

import math

from ..decisions.answer_durations import AnswerDurations
from .endable_blocks import EndableBlock

MS_PER_S = 1000.0


class StopControl:
    """Decides which requests can end before a planned stop, and ends the others.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    durations : AnswerDurations
        How long answers take, by route and service.
    """

    def __init__(self, clock):
        self.durations = AnswerDurations()
        self._clock = clock
        self._ends_at = math.inf
        self._blocks = set()

    def begin(self, ends_at):
        """Begin a stop that ends what still runs at monotonic time `ends_at`."""
        self._ends_at = ends_at

    def has_time(self, request, kind):
        """Return whether an attempt that begins now is likely to end before the stop.

        Parameters
        ----------
        request : GatewayRequest
            The request; its deadline is the worst case.
        kind : hashable
            Kind of its answer, as in `durations`.
        """
        if math.isinf(self._ends_at):
            return True
        now = self._clock()
        return self._estimate(request, kind, now) <= self._ends_at - now

    def _estimate(self, request, kind, now):
        """Return how long an attempt that begins now is likely to take, in seconds."""
        is_strict = not request.route.repeatable
        duration = self.durations.estimate(kind, now, is_strict)
        return min(duration, request.deadline - now)

    def describe(self, request, kind):
        """Return the log fields of `has_time`; none without a stop."""
        if math.isinf(self._ends_at):
            return {}
        now = self._clock()
        return {
            "estimate_ms": round(self._estimate(request, kind, now) * MS_PER_S),
            "stop_ms": round((self._ends_at - now) * MS_PER_S),
        }

    def guard(self):
        """Return a context manager whose block `end_all` ends without an exception."""
        return EndableBlock(self._blocks)

    def end_all(self):
        """End the blocks of all guards.

        Returns
        -------
        int
            Number of blocks.
        """
        blocks = list(self._blocks)
        for block in blocks:
            block.end()
        return len(blocks)
