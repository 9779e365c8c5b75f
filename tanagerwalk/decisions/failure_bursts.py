"""Bursts of failures that strike both releases of a roll-out.

Failures that one cause brings about, such as a link that is cut or a service that
others depend on, come within a second or so. They prove less about a release than as
many that are independent. Such a cause strikes the base release too, so the answers of
both are left out while the base fails unusually often. In seconds in which the base
gets few requests or none, the target is compared with itself, and one burst of at most
two seconds is left out.
"""

from collections import deque
from dataclasses import dataclass

from .significance import is_tail_below
from .tallies import SideCount, Tally

PERIOD_S = 1.0
# By then an instance that joins a running roll-out has the counts of the others.
LATE_START_S = 1.0
# Number of periods that are kept; bursts in earlier ones are no longer left out.
MAX_PERIODS = 120
MIN_BAD_IN_BURST = 2
# A base with fewer answers than this share of the target's can't show a burst.
MIN_BASE_SHARE = 0.1
# A burst may last from one period into the next one.
PERIODS_OF_BURST = 2
# A release that turns bad without a base is halted for more bad answers all the same.
MAX_BAD_WITHOUT_BASE = 25
# Significance level at which the base fails more often in a period than in others.
BURST_SIGNIFICANCE_LEVEL = 0.05


@dataclass(frozen=True, slots=True)
class Period:
    """Answers of both releases in one period of PERIOD_S.

    Parameters
    ----------
    number : int
        Monotonic time of the period, in periods.
    answers : Tally
        Answers by route and server.
    base : SideCount
        Sum of the base's answers.
    """

    number: int
    answers: Tally
    base: SideCount

    @property
    def is_without_base(self):
        """Whether the base had too few answers to compare the target with."""
        return self.base.answers < MIN_BASE_SHARE * self.answers.sum_target().answers

    @property
    def base_rate(self):
        """Share of the base's answers that were bad."""
        return self.base.bad / self.base.answers if self.base.answers else 0.0


class FailureHistory:
    """Answers of both releases of a roll-out by period.

    Parameters
    ----------
    is_late : bool
        Whether the roll-out was running when this instance began to record. When the
        others' answers came is unknown then, so the target's among them don't count.
    """

    def __init__(self, is_late=False):
        self._is_late = is_late
        self._periods = deque(maxlen=MAX_PERIODS)
        self._newest = None
        self._started_at = None
        self._uncounted = Tally()

    def record(self, tally, now, own=None):
        """Record the newest Tally of all answers, which must not change afterwards.

        Parameters
        ----------
        tally : Tally
            All answers so far.
        now : float
            Monotonic time in seconds.
        own : Tally or None
            The answers that this instance counted itself; None for no such answers.
        """
        if self._started_at is None:
            self._started_at = now
        if self._is_late and now - self._started_at < LATE_START_S:
            self._uncounted = tally.subtract_answers(own or Tally())
            # The base may get no more requests to compare with.
            self._uncounted.base.clear()
        elif self._newest is not None:
            self._add(int(now // PERIOD_S), tally.find_answers_since(self._newest))
        self._newest = tally

    def _add(self, number, answers):
        if self._periods and self._periods[-1].number == number:
            self._periods[-1].answers.add(answers)
            self._periods[-1].base.add(answers.sum_base())
        else:
            self._periods.append(Period(number, answers, answers.sum_base()))

    def remove_bursts(self, tally):
        """Return a Tally without the answers in bursts and those before a late start.

        Parameters
        ----------
        tally : Tally
            All answers so far.
        """
        tally = tally.subtract_answers(self._uncounted)
        bursts = self._list_bursts(tally.sum_base())
        bursts += self._find_burst_without_base()
        # A period may be in both lists.
        distinct = {period.number: period for period in bursts}
        for period in distinct.values():
            tally = tally.subtract_answers(period.answers)
        return tally

    def _find_burst_without_base(self):
        """Return successive periods in which the target failed more than in others.

        It is compared with itself while the base has too few answers.

        Returns
        -------
        list of Period
            Empty if there is no burst.
        """
        periods = [period for period in self._periods if period.is_without_base]
        spans = [
            _list_span(periods[start : start + PERIODS_OF_BURST])
            for start in range(len(periods))
        ]
        worst = max(spans, key=_rank_span, default=[])
        count = _sum_targets(worst)
        if count.bad > MAX_BAD_WITHOUT_BASE:
            return []
        others = _sum_targets(periods).subtract(count)
        # Bonferroni correction: of all spans, the worst was taken.
        level = BURST_SIGNIFICANCE_LEVEL / max(1, len(spans))
        return worst if _is_burst(count, others, level) else []

    def _list_bursts(self, base):
        """Return the periods in which the base failed more often than otherwise.

        Parameters
        ----------
        base : SideCount
            All answers of the base.
        """
        bursts = []
        others = base
        periods = sorted(self._periods, key=lambda each: each.base_rate, reverse=True)
        for period in periods:
            others = others.subtract(period.base)
            if not _is_burst(period.base, others):
                break
            bursts.append(period)
        return bursts


def _sum_targets(periods):
    total = SideCount()
    for period in periods:
        total.add(period.answers.sum_target())
    return total


def _list_span(periods):
    """Return those of some periods that follow the first one without a gap."""
    first = periods[0].number
    return [
        period
        for offset, period in enumerate(periods)
        if period.number == first + offset
    ]


def _rank_span(periods):
    """Return the sort key of successive periods, highest for the worst ones."""
    count = _sum_targets(periods)
    return count.bad, -count.answers


def _is_burst(count, others, level=BURST_SIGNIFICANCE_LEVEL):
    """Return whether a SideCount has significantly more failures than the others."""
    if count.bad < MIN_BAD_IN_BURST:
        return False
    rate = (others.bad + 0.5) / (others.answers + 1.0)
    return is_tail_below(level, count.bad, count.answers, rate)
