"""Shares evidence about versions with peers under a rate limit of the fleet."""

from ..decisions.evidence import EPOCHS_OPEN, Counts, decode_report, encode_report
from ..decisions.facts import Topic
from ..decisions.reporters import ReporterSelection, ReportRateLimit
from .loop import run_periodically


class EvidenceController:
    """Publishes this instance's evidence and merges the evidence of peers.

    Parameters
    ----------
    rollouts : RolloutController
        Merges the evidence of peers; its tracker holds all evidence.
    facts : FactTable
        Distributes evidence between instances.
    settings : RolloutSettings
        Intervals.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the Unix epoch; determines the evidence epoch.
    random : random.Random
        Source of jitter.
    list_live : callable
        Returns the incarnations of live instances, or None.
    """

    def __init__(self, rollouts, facts, settings, clock, wall_clock, random, list_live):
        self._rollouts = rollouts
        self._tracker = rollouts.tracker
        self._facts = facts
        self._settings = settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = random
        self._list_live = list_live
        self._reporter_selection = ReporterSelection()
        self._rate_limit = ReportRateLimit()
        self._published = {}
        # Set the epoch before the first report of a peer arrives, because reports of
        # distant epochs are dropped.
        self._tracker.evidence.advance(self._compute_epoch())
        facts.subscribe(Topic.RATINGS, self._merge_report_fact)

    def _compute_epoch(self):
        return int(self._wall_clock() // self._settings.epoch)

    def _merge_report_fact(self, fact):
        report = decode_report(fact.key, fact.value)
        if report is not None:
            self._rollouts.merge_report(fact.origin, report)

    async def run(self):
        """Publish evidence periodically until cancelled."""
        await run_periodically(self.share, self._settings.share_interval, self._random)

    async def share(self):
        """Publish due reports by priority, up to the rate limit."""
        epoch = self._compute_epoch()
        self._tracker.evidence.advance(epoch)
        live = self._list_live()
        self._rate_limit.refill(self._clock(), len(live or ()))
        reports = self._tracker.evidence.list_own(self._facts.origin)
        self._published = {
            key: counts
            for key, counts in self._published.items()
            if key[1] > epoch - EPOCHS_OPEN
        }
        for report in sorted(reports, key=self._compute_priority, reverse=True):
            if not self._is_due(report, live):
                continue
            if not self._rate_limit.take():
                return
            self._publish(report)

    def _publish(self, report):
        key, value = encode_report(report)
        lifetime = EPOCHS_OPEN * self._settings.epoch
        self._facts.publish(Topic.RATINGS, key, value, self._clock(), lifetime)
        self._published[(report.arm, report.epoch)] = report.counts

    def _compute_priority(self, report):
        """Return the sort key of a report: candidates first, then by new evidence."""
        published = self._published.get((report.arm, report.epoch), Counts())
        return (
            self._tracker.is_candidate(report.arm),
            report.counts.count
            + report.counts.errors
            - published.count
            - published.errors,
            report.counts.attempts - published.attempts,
        )

    def _is_due(self, report, live):
        published = self._published.get((report.arm, report.epoch), Counts())
        if report.counts == published:
            return False
        if self._tracker.is_candidate(report.arm):
            return True
        return self._reporter_selection.includes(self._facts.origin, report.arm, live)
