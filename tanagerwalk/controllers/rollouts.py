"""Rates answers and passes ratings, errors and durations to the rollout tracker."""

import asyncio
from dataclasses import dataclass

from ..decisions.exposure import RECLAIM_AFTER_S, Exposure
from ..decisions.reporters import ReporterSelection
from ..ids import ClassName, VersionName
from ..outcomes import UnratedReason, VersionState

GATE_POLL_INTERVAL_S = 0.2
# With a single worker, the latency of the rating service would limit the rate.
RATING_WORKERS = 8


@dataclass(frozen=True, slots=True)
class RatingTask:
    """An answer that is queued for rating.

    Parameters
    ----------
    work_class : ClassName
        The class of work of the request.
    version : VersionName
        The version that produced the answer.
    payload : dict
        The payload of the request.
    text : str
        The text of the answer.
    exposure : Exposure or None
        The unit of a candidate's exposure budget that the answer occupies.
    answered_at : float
        Monotonic time of the answer, in seconds.
    """

    work_class: ClassName
    version: VersionName
    payload: dict
    text: str
    exposure: Exposure | None
    answered_at: float

    @property
    def key(self):
        """Class of work and version."""
        return (self.work_class, self.version)


class RolloutController:
    """Passes ratings and outcomes of attempts to the rollout tracker.

    Parameters
    ----------
    tracker : RolloutTracker
        Holds evidence, exposure and halts.
    configuration : ConfigurationState
        The declaration in force.
    ratings : RatingsClient
        Rates answers.
    rating_gate : RatingGate
        Limits the rate of ratings and tracks the health of the rating service.
    settings : RolloutSettings
        Shares and bounds.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Chooses the answers to rate.
    list_live : callable
        Returns the incarnations of live instances, or None.
    on_halt : callable
        Called with the Arm and the Halt of each version found to be bad.
    """

    def __init__(
        self,
        tracker,
        configuration,
        ratings,
        rating_gate,
        settings,
        metrics,
        clock,
        random,
        list_live,
        on_halt,
    ):
        self.tracker = tracker
        self.rating_gate = rating_gate
        self._configuration = configuration
        self._ratings = ratings
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._list_live = list_live
        self._on_halt = on_halt
        self._reporter_selection = ReporterSelection()
        self._rating_queue = asyncio.Queue(settings.rating_queue)

    def _sync_tracker(self):
        self.tracker.configure(self._configuration.declaration)

    def is_halted(self, key, allowed=None):
        """Return whether a version is halted for a class of work and not spared.

        Parameters
        ----------
        key : tuple of ClassName and VersionName
            Class of work and version.
        allowed : frozenset of VersionName or None
            Versions of the client account; None for all declared versions.
        """
        self._sync_tracker()
        return self.tracker.is_halted(key, allowed)

    def acquire_exposure(self, key):
        """Acquire a unit of a candidate's budget; return an Exposure or None."""
        self._sync_tracker()
        if self._configuration.is_stale(self._clock()):
            return None
        return self.tracker.start_exposure(key, self._clock())

    def holds_required_exposure(self, context):
        """Return whether a request may run as far as exposure is concerned.

        A request to a candidate needs a valid unit of its budget and a declaration
        that is not stale; requests to other versions need neither.

        Parameters
        ----------
        context : RequestContext
            The request; its version is already chosen.
        """
        version = self._configuration.declaration.versions.get(context.version)
        if version is None or version.state is not VersionState.CANDIDATE:
            return True
        if self._configuration.is_stale(self._clock()):
            return False
        exposure = context.exposure
        return exposure is not None and exposure.is_valid(self._clock())

    def record_error(self, key):
        """Record an attempt that failed because of its version."""
        self._sync_tracker()
        if self.tracker.get_arm(key) is not None:
            self.tracker.record_error(key)
            self._report_new_halts()

    def record_answer(self, key, tokens, seconds):
        """Record a complete answer and the duration of its attempt in seconds."""
        self._sync_tracker()
        if self.tracker.get_arm(key) is not None:
            self.tracker.record_answer(key, tokens, seconds)
            self._report_new_halts()

    def merge_report(self, origin, report):
        """Merge the evidence report of a peer."""
        self._sync_tracker()
        self.tracker.merge(origin, report)
        self._report_new_halts()

    def _report_new_halts(self):
        for arm, halt in self.tracker.find_new_halts().items():
            self._on_halt(arm, halt)

    def report_status(self):
        """Return the halts and trials as JSON objects for the status page."""
        self._sync_tracker()
        return [
            {
                "work_class": state.arm.work_class,
                "version": state.arm.version,
                "halted": state.halt.cause.value if state.halt else None,
                "mean": state.halt.mean if state.halt else None,
                "spared": state.spared,
                "ratings": state.ratings,
                "share": state.share,
                "units": state.units,
            }
            for state in self.tracker.list_states()
        ]

    def sample(self, context, answer):
        """Queue an answer for rating: every candidate's, and a sample of the others.

        Parameters
        ----------
        context : RequestContext
            The request; its exposure ends with the rating.
        answer : Answer
            The answer to rate.
        """
        self._sync_tracker()
        key = (context.work_class.name, answer.version)
        task = _make_task(context, answer, self._clock())
        if self.tracker.get_arm(key) is None:
            self._drop_task(task, UnratedReason.NOT_DECLARED)
            return
        if context.exposure is None and not self._is_sampled(key):
            return
        try:
            self._rating_queue.put_nowait(task)
        except asyncio.QueueFull:
            self._drop_task(task, UnratedReason.QUEUE_FULL)

    def _is_sampled(self, key):
        arm = self.tracker.get_arm(key)
        if not self._reporter_selection.includes(
            self.tracker.origin, arm, self._list_live()
        ):
            return False
        if self._random.random() < self._settings.rating_share:
            return True
        return self.tracker.wants_rating(key)

    def _drop_task(self, task, reason):
        self._metrics.dropped_ratings.labels(reason.value).inc()
        if task.exposure is not None:
            task.exposure.mark_lost(self._clock())

    async def rate_now(self, context, answer):
        """Rate an answer immediately while its caller waits.

        Returns
        -------
        float or None
            The rating, or None if the rating service is unavailable.
        """
        if not self.rating_gate.start(self._clock(), urgent=True):
            return None
        return await self._rate(_make_task(context, answer, self._clock()))

    async def _rate(self, task):
        started = self._clock()
        result = await self._ratings.rate(
            task.work_class, task.version, task.payload, task.text
        )
        now = self._clock()
        if result.is_error():
            self.rating_gate.record_fault(now, result.error.retry_after)
            self._metrics.platform_faults.labels("ratings").inc()
            return None
        self.rating_gate.record_rating(now - started)
        self._sync_tracker()
        if self.tracker.get_arm(task.key) is not None:
            self.tracker.record_rating(task.key, result.ok)
            self._report_new_halts()
        return result.ok

    async def run(self):
        """Rate queued answers until cancelled."""
        async with asyncio.TaskGroup() as workers:
            for _ in range(RATING_WORKERS):
                workers.create_task(self._process_queue())

    async def _process_queue(self):
        while True:
            task = await self._rating_queue.get()
            await self._process_task(task)

    async def _process_task(self, task):
        # Only an answer that occupies a unit of a candidate's budget waits for the
        # rate limit; a sample of a released version is dropped instead.
        urgent = task.exposure is not None
        while not self.rating_gate.start(self._clock(), urgent):
            if not urgent or self._clock() - task.answered_at > RECLAIM_AFTER_S:
                self._drop_task(task, UnratedReason.RATE_LIMIT)
                return
            await asyncio.sleep(GATE_POLL_INTERVAL_S)
        rating = await self._rate(task)
        if rating is None:
            self._drop_task(task, UnratedReason.SERVICE_FAILED)
        elif task.exposure is not None:
            task.exposure.end()


def _make_task(context, answer, now):
    return RatingTask(
        context.work_class.name,
        answer.version,
        context.payload,
        answer.content.decode(),
        context.exposure,
        now,
    )
