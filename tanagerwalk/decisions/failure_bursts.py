"""Bursts of failures that strike both releases of a roll-out.

Failures that one cause brings about, such as a link that is cut or a service that
others depend on, come within a second or so. They prove less about a release than as
many that are independent. Such a cause strikes the base release too, so the answers of
both are left out while the base fails unusually often.
"""

from collections import deque
from dataclasses import dataclass

from .significance import is_tail_below
from .tallies import SideCount, Tally

PERIOD_S = 1.0
# Bursts in earlier periods are no longer left out.
MAX_PERIODS = 120
MIN_BAD_IN_BURST = 2
# Significance level at which the base fails more often in a period than in others.
BURST_SIGNIFICANCE_LEVEL = 0.05


@dataclass(frozen=True, slots=True)
class Period:
    """Answers of both releases in one period, and the sum of those of the base."""

    number: int
    answers: Tally
    base: SideCount

    @property
    def base_rate(self):
        """Share of the base's answers that were bad."""
        return self.base.bad / self.base.answers if self.base.answers else 0.0


class FailureHistory:
    """Answers of both releases of a roll-out by period."""

    def __init__(self):
        self._periods = deque(maxlen=MAX_PERIODS)
        self._newest = None

    def record(self, tally, now):
        """Record the newest Tally of all answers, which must not change afterwards.

        Parameters
        ----------
        tally : Tally
            All answers so far.
        now : float
            Monotonic time in seconds.
        """
        if self._newest is not None:
            self._add(int(now // PERIOD_S), tally.subtract_answers(self._newest))
        self._newest = tally

    def _add(self, number, answers):
        if self._periods and self._periods[-1].number == number:
            self._periods[-1].answers.add(answers)
            self._periods[-1].base.add(answers.sum_base())
        else:
            self._periods.append(Period(number, answers, answers.sum_base()))

    def remove_bursts(self, tally):
        """Return a Tally without the answers in bursts.

        Parameters
        ----------
        tally : Tally
            All answers so far.
        """
        for period in self._list_bursts(tally.sum_base()):
            tally = tally.subtract_answers(period.answers)
        return tally

    def _list_bursts(self, base):
        """Return the periods in which the base failed more often than otherwise.

        Parameters
        ----------
        base : SideCount
            All answers of the base.
        """
        bursts = []
        periods = sorted(self._periods, key=lambda each: each.base_rate, reverse=True)
        for period in periods:
            base = base.subtract(period.base)
            if not _is_burst(period.base, base):
                break
            bursts.append(period)
        return bursts


def _is_burst(count, others):
    """Return whether a SideCount has significantly more failures than the others."""
    if count.bad < MIN_BAD_IN_BURST:
        return False
    rate = (others.bad + 0.5) / (others.answers + 1.0)
    return is_tail_below(BURST_SIGNIFICANCE_LEVEL, count.bad, count.answers, rate)
