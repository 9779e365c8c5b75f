"""Spreads halts and evidence to peers, and keeps halts in the key-value service."""

import structlog

from ..decisions.deputies import Deputies, StatementBudget
from ..decisions.evidence import (
    EPOCHS_OPEN,
    Arm,
    Counts,
    decode_report,
    encode_report,
)
from ..decisions.facts import Topic
from ..decisions.halts import decode_halt, encode_halt
from .loop import run_periodically

log = structlog.get_logger(__name__)

HALTS_PREFIX = "tanagerwalk/halts/"
HALT_LIFETIME_S = 86400.0


class HaltController:
    """Makes halts last and evidence shared.

    Parameters
    ----------
    book : RolloutBook
        Takes halts and holds the evidence.
    store : KeyValueClient
        Keeps the halts.
    facts : FactTable
        Carries halts and evidence between instances.
    settings : RolloutSettings
        Intervals.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the epoch; numbers the epochs of evidence.
    random : random.Random
        Source of jitter.
    list_live : callable
        Returns the incarnations of live instances, or None.
    """

    def __init__(
        self,
        book,
        store,
        facts,
        settings,
        metrics,
        clock,
        wall_clock,
        random,
        list_live,
    ):
        self._book = book
        self._rollouts = None
        self._store = store
        self._facts = facts
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = random
        self._list_live = list_live
        self._deputies = Deputies()
        self._budget = StatementBudget()
        self._stated = {}
        # Whether the store was asked for halts, so that a fresh instance does not
        # serve before; while the store is out, peers are all there is to ask.
        self.asked = False
        facts.subscribe(Topic.HALT, self._take_fact)
        facts.subscribe(Topic.RATINGS, self._take_report)

    def follow(self, rollouts):
        """Give the evidence of peers to `rollouts`."""
        self._rollouts = rollouts

    def halt(self, arm, halt):
        """Stop a version that this instance found to be bad.

        It is stopped here at once, whatever peers and store do.
        """
        if not self._take(arm, halt):
            return
        self._metrics.halts.labels(halt.cause.value).inc()
        log.warning(
            "version halted",
            work_class=arm.work_class,
            version=arm.version,
            cause=halt.cause.value,
            mean=round(halt.mean, 3),
        )
        self._facts.state(
            Topic.HALT, arm.to_key(), encode_halt(halt), self._clock(), HALT_LIFETIME_S
        )

    def _take(self, arm, halt):
        is_new = self._book.take_halt(arm, halt)
        self._metrics.halted.set(len(self._book.halts))
        return is_new

    def _take_fact(self, fact):
        self._take_encoded(fact.key, fact.value)

    def _take_encoded(self, key, value):
        halt = decode_halt(value)
        try:
            arm = Arm.from_key(key)
        except ValueError:
            halt = None
        if halt is None:
            log.error("halt is malformed", key=key)
            return
        self._take(arm, halt)

    def _take_report(self, fact):
        report = decode_report(fact.key, fact.value)
        if report is None or self._rollouts is None:
            return
        self._rollouts.take_report(fact.origin, report)

    async def run(self):
        """Share evidence until cancelled."""
        await run_periodically(self.share, self._settings.share_interval, self._random)

    async def run_store(self):
        """Read and write the store's halts until cancelled."""
        await run_periodically(self.poll, self._settings.halts_interval, self._random)

    async def share(self):
        """State the evidence that has grown most, within the fleet's rate."""
        epoch = int(self._wall_clock() // self._settings.epoch)
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
        self._facts.state(Topic.RATINGS, key, value, self._clock(), lifetime)
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

    async def poll(self):
        """Read the halts of the store, and write those that it lacks.

        Halts learned from peers are written too: the instance that found them may
        have died before it could.
        """
        result = await self._store.list(HALTS_PREFIX)
        if result.is_error():
            self.asked = True
            self._metrics.platform_faults.labels("keyvalue").inc()
            return
        kept = {entry.key.removeprefix(HALTS_PREFIX): entry for entry in result.ok}
        for key, entry in kept.items():
            self._take_encoded(key, entry.value)
        self.asked = True
        for arm, halt in list(self._book.halts.items()):
            if arm.to_key() not in kept:
                await self._keep(arm, halt)

    async def _keep(self, arm, halt):
        written = await self._store.create(
            HALTS_PREFIX + arm.to_key(), encode_halt(halt)
        )
        # The next poll sees whether a write with a lost answer took effect.
        if written.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
