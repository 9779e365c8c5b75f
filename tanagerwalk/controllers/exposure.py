"""Reserves units of candidates' exposure budgets in the key-value service."""

import structlog

from ..decisions.exposure import (
    AbandonedGrantDetector,
    Grant,
    Ledger,
    decode_ledger,
    encode_ledger,
)
from .loop import run_periodically

log = structlog.get_logger(__name__)

LEDGERS_PREFIX = "tanagerwalk/exposure/"
IDLE_READ_INTERVAL_S = 5.0


class ExposureController:
    """Resizes this instance's grants in the budget ledgers to match its traffic.

    Parameters
    ----------
    tracker : RolloutTracker
        Holds the units granted to this instance.
    configuration : ConfigurationState
        The declaration in force.
    store : KeyValueClient
        Stores the ledgers.
    incarnation : Incarnation
        This instance.
    settings : RolloutSettings
        Intervals.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        tracker,
        configuration,
        store,
        incarnation,
        settings,
        metrics,
        clock,
        random,
    ):
        self._tracker = tracker
        self._configuration = configuration
        self._store = store
        self._incarnation = incarnation
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._abandoned_detectors = {}
        self._next_read_at = {}
        self._is_stopping = False

    async def run(self):
        """Resize the grants periodically until cancelled."""
        await run_periodically(
            self.step, self._settings.exposure_interval, self._random
        )

    async def step(self):
        """Resize every grant once."""
        if self._is_stopping:
            return
        self._tracker.configure(self._configuration.declaration)
        candidates = self._tracker.list_candidates()
        for arm, held in list(self._tracker.held_units.items()):
            lost = held.reclaim_lost(self._clock())
            self._metrics.exposure_lost.inc(lost)
            budget = candidates[arm].exposure if arm in candidates else 0
            await self._resize_grant(arm, held, budget)

    async def release(self):
        """Return the units that no answer occupies, before a planned stop."""
        self._is_stopping = True
        for arm, held in list(self._tracker.held_units.items()):
            await self._resize_grant(arm, held, 0)

    async def _resize_grant(self, arm, held, budget):
        now = self._clock()
        is_idle = held.units == 0 and held.occupied == 0
        if is_idle and now < self._next_read_at.get(arm, now):
            return
        if is_idle and (budget == 0 or not held.was_requested_recently(now)):
            return
        key = LEDGERS_PREFIX + arm.to_key()
        read = await self._store.get(key)
        if read.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
            return
        entry = read.ok
        ledger = Ledger() if entry is None else decode_ledger(entry.value)
        if ledger is None:
            log.error("exposure ledger is malformed", key=key)
            return
        await self._write(arm, held, budget, ledger, entry)
        if held.units == 0:
            self._next_read_at[arm] = now + IDLE_READ_INTERVAL_S * (
                0.5 + self._random.random()
            )

    async def _write(self, arm, held, budget, ledger, entry):
        now = self._clock()
        key = LEDGERS_PREFIX + arm.to_key()
        dropped = self._find_abandoned(arm, ledger, now)
        ledger = ledger.drop(dropped)
        wanted = held.compute_grant_size(ledger, self._incarnation, budget, now)
        recorded = ledger.grants.get(self._incarnation, Grant(0, 0)).units
        if not held.needs_write(wanted, recorded, now):
            return
        held.begin_write(wanted)
        value = encode_ledger(ledger.resize(self._incarnation, wanted))
        if entry is None:
            written = await self._store.create(key, value)
        else:
            written = await self._store.replace(key, value, entry.revision)
        if written.is_error():
            self._metrics.platform_faults.labels("keyvalue").inc()
            return
        if not written.ok.applied:
            return
        held.finish_write(wanted, now)
        if dropped:
            self._metrics.exposure_reclaimed.inc(len(dropped))

    def _find_abandoned(self, arm, ledger, now):
        detector = self._abandoned_detectors.setdefault(arm, AbandonedGrantDetector())
        work_class = self._configuration.declaration.classes.get(arm.work_class)
        longest = work_class.patience if work_class else 0.0
        return detector.find(ledger, longest, now) - {self._incarnation}
