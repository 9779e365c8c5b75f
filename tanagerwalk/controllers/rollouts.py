"""Rates answers and feeds what was seen of the versions to the roll-out book."""

import asyncio
from dataclasses import dataclass

from ..decisions.exposure import RECOVERY_S, Exposure
from ..decisions.reporters import ReporterSelection
from ..ids import ClassName, VersionName
from ..outcomes import UnratedReason, VersionState

GATE_POLL_S = 0.2
# One rating at a time would bound the rate by the service's latency.
RATING_WORKERS = 8


@dataclass(frozen=True, slots=True)
class RatingTask:
    """An answer that waits for its rating.

    Parameters
    ----------
    work_class : ClassName
        Its class of work.
    version : VersionName
        The version that answered.
    payload : dict
        The request.
    text : str
        The answer.
    exposure : Exposure or None
        The unit of a candidate's budget that it holds.
    given : float
        Monotonic time when it was given, in seconds.
    """

    work_class: ClassName
    version: VersionName
    payload: dict
    text: str
    exposure: Exposure | None
    given: float

    @property
    def key(self):
        """The version at its class."""
        return (self.work_class, self.version)


class RolloutController:
    """Feeds ratings and attempts to the roll-out book.

    Parameters
    ----------
    book : RolloutTracker
        Evidence, exposure and halts.
    configuration : ConfigurationState
        The declaration in force.
    ratings : RatingsClient
        Rates answers.
    gate : RatingGate
        Rate and health of the rating service.
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
        Called with the Arm and the Halt of each version that shows to be bad.
    """

    def __init__(
        self,
        book,
        configuration,
        ratings,
        gate,
        settings,
        metrics,
        clock,
        random,
        list_live,
        on_halt,
    ):
        self.book = book
        self.gate = gate
        self._configuration = configuration
        self._ratings = ratings
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._list_live = list_live
        self._on_halt = on_halt
        self._deputies = ReporterSelection()
        self._tasks = asyncio.Queue(settings.rating_queue)

    def _sync(self):
        self.book.configure(self._configuration.declaration)

    def is_halted(self, key, allowed=None):
        """Return whether a version gets no work of a class.

        Parameters
        ----------
        key : tuple of ClassName and VersionName
            The version at its class.
        allowed : frozenset of VersionName or None
            Versions of the client account; None for all that are declared.
        """
        self._sync()
        return self.book.is_halted(key, allowed)

    def expose(self, key):
        """Take a unit of a candidate's budget; return an Exposure or None."""
        self._sync()
        if self._configuration.is_stale(self._clock()):
            return None
        return self.book.start_exposure(key, self._clock())

    def is_exposed(self, context):
        """Return whether a request holds what its candidate needs, if it runs on one.

        Parameters
        ----------
        context : RequestContext
            A request whose version is chosen.
        """
        version = self._configuration.declaration.versions.get(context.version)
        if version is None or version.state is not VersionState.CANDIDATE:
            return True
        if self._configuration.is_stale(self._clock()):
            return False
        exposure = context.exposure
        return exposure is not None and exposure.is_valid(self._clock())

    def record_error(self, key):
        """Note an attempt that failed by the fault of its version."""
        self._sync()
        if self.book.get_arm(key) is not None:
            self.book.record_error(key)
            self._judge()

    def record_answer(self, key, tokens, seconds):
        """Note a whole answer and the time that its attempt took, in seconds."""
        self._sync()
        if self.book.get_arm(key) is not None:
            self.book.record_answer(key, tokens, seconds)
            self._judge()

    def take_report(self, origin, report):
        """Take the counts of a peer."""
        self._sync()
        self.book.merge(origin, report)
        self._judge()

    def _judge(self):
        for arm, halt in self.book.find_new_halts().items():
            self._on_halt(arm, halt)

    def report(self):
        """Return the JSON objects of the status page: halts and trials."""
        self._sync()
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
            for state in self.book.list_states()
        ]

    def sample(self, context, answer):
        """Put an answer up for rating: always a candidate's, some of the others.

        Parameters
        ----------
        context : RequestContext
            The request; the rating settles its exposure.
        answer : Answer
            The answer that was given.
        """
        self._sync()
        key = (context.work_class.name, answer.version)
        task = _make_task(context, answer, self._clock())
        if self.book.get_arm(key) is None:
            self._lose(task, UnratedReason.NOT_DECLARED)
            return
        if context.exposure is None and not self._is_sampled(key):
            return
        try:
            self._tasks.put_nowait(task)
        except asyncio.QueueFull:
            self._lose(task, UnratedReason.QUEUE_FULL)

    def _is_sampled(self, key):
        arm = self.book.get_arm(key)
        if not self._deputies.includes(self.book.origin, arm, self._list_live()):
            return False
        if self._random.random() < self._settings.rating_share:
            return True
        return self.book.wants_rating(key)

    def _lose(self, task, loss):
        self._metrics.dropped_ratings.labels(loss.value).inc()
        if task.exposure is not None:
            task.exposure.mark_lost(self._clock())

    async def rate_now(self, context, answer):
        """Rate an answer while its caller waits.

        Returns
        -------
        float or None
            None if the rating service gave none.
        """
        if not self.gate.start(self._clock(), urgent=True):
            return None
        return await self._rate(_make_task(context, answer, self._clock()))

    async def _rate(self, task):
        started = self._clock()
        result = await self._ratings.rate(
            task.work_class, task.version, task.payload, task.text
        )
        now = self._clock()
        if result.is_error():
            self.gate.record_fault(now, result.error.retry_after)
            self._metrics.platform_faults.labels("ratings").inc()
            return None
        self.gate.record_rating(now - started)
        self._sync()
        if self.book.get_arm(task.key) is not None:
            self.book.record_rating(task.key, result.ok)
            self._judge()
        return result.ok

    async def run(self):
        """Rate queued answers until cancelled."""
        async with asyncio.TaskGroup() as workers:
            for _ in range(RATING_WORKERS):
                workers.create_task(self._work())

    async def _work(self):
        while True:
            task = await self._tasks.get()
            await self._settle(task)

    async def _settle(self, task):
        # A sample of a released version is not worth a wait; a unit of a
        # candidate's budget is.
        urgent = task.exposure is not None
        while not self.gate.start(self._clock(), urgent):
            if not urgent or self._clock() - task.given > RECOVERY_S:
                self._lose(task, UnratedReason.RATE_LIMIT)
                return
            await asyncio.sleep(GATE_POLL_S)
        rating = await self._rate(task)
        if rating is None:
            self._lose(task, UnratedReason.SERVICE_FAILED)
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
