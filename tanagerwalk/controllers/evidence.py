"""Shares evidence about versions with peers, within the fleet's rate."""

from ..decisions.evidence import EPOCHS_OPEN, Counts, decode_report, encode_report
from ..decisions.facts import Topic
from ..decisions.reporters import ReporterSelection, ReportRateLimit
from .loop import run_periodically


class EvidenceController:
    """States this instance's evidence and takes that of peers.

    Parameters
    ----------
    rollouts : RolloutController
        Takes the evidence of peers; its book holds the evidence.
    facts : FactTable
        Carries evidence between instances.
    settings : RolloutSettings
        Intervals.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the epoch; numbers the epochs of evidence.
    random : random.Random
        Source of jitter.
    list_live : callable
        Returns the incarnations of live instances, or None.
    """

    def __init__(self, rollouts, facts, settings, clock, wall_clock, random, list_live):
        self._rollouts = rollouts
        self._book = rollouts.book
        self._facts = facts
        self._settings = settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = random
        self._list_live = list_live
        self._deputies = ReporterSelection()
        self._budget = ReportRateLimit()
        self._stated = {}
        # Before the first report of a peer comes: one of a far epoch is dropped.
        self._book.evidence.advance(self._find_epoch())
        facts.subscribe(Topic.RATINGS, self._take_report)

    def _find_epoch(self):
        return int(self._wall_clock() // self._settings.epoch)

    def _take_report(self, fact):
        report = decode_report(fact.key, fact.value)
        if report is not None:
            self._rollouts.take_report(fact.origin, report)

    async def run(self):
        """Share evidence until cancelled."""
        await run_periodically(self.share, self._settings.share_interval, self._random)

    async def share(self):
        """State the evidence that has grown most, within the fleet's rate."""
        epoch = self._find_epoch()
        self._book.evidence.advance(epoch)
        live = self._list_live()
        self._budget.refill(self._clock(), len(live or ()))
        reports = self._book.evidence.list_own(self._facts.origin)
        self._stated = {
            key: counts
            for key, counts in self._stated.items()
            if key[1] > epoch - EPOCHS_OPEN
        }
        for report in sorted(reports, key=self._measure_news, reverse=True):
            if not self._is_due(report, live):
                continue
            if not self._budget.take():
                return
            self._state(report)

    def _state(self, report):
        key, value = encode_report(report)
        lifetime = EPOCHS_OPEN * self._settings.epoch
        self._facts.publish(Topic.RATINGS, key, value, self._clock(), lifetime)
        self._stated[(report.arm, report.epoch)] = report.counts

    def _measure_news(self, report):
        stated = self._stated.get((report.arm, report.epoch), Counts())
        return (
            self._book.is_on_trial(report.arm),
            report.counts.count + report.counts.errors - stated.count - stated.errors,
            report.counts.attempts - stated.attempts,
        )

    def _is_due(self, report, live):
        stated = self._stated.get((report.arm, report.epoch), Counts())
        if report.counts == stated:
            return False
        if self._book.is_on_trial(report.arm):
            return True
        return self._deputies.includes(self._facts.origin, report.arm, live)
