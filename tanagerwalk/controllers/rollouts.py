"""Rates answers and applies what the ratings say to the versions."""

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass

from ..ids import ClassName, VersionName
from ..outcomes import VersionState


@dataclass(frozen=True, slots=True)
class RatingTask:
    """An answer that waits for its rating."""

    work_class: ClassName
    version: VersionName
    threshold: float
    payload: dict
    text: str


class Exposure:
    """One answer of a candidate; it counts only once it was given."""

    def __init__(self):
        self.confirmed = False

    def confirm(self):
        """Note that the answer was given."""
        self.confirmed = True


class RolloutController:
    """Feeds ratings to the roll-out book.

    Parameters
    ----------
    book : RolloutBook
        Evidence and exposure.
    configuration : ConfigurationState
        The declaration in force.
    ratings : RatingsClient
        Rates answers.
    settings : RolloutSettings
        Shares and bounds.
    metrics : Metrics
        Counters.
    random : random.Random
        Chooses the answers to rate.
    """

    def __init__(self, book, configuration, ratings, settings, metrics, random):
        self.book = book
        self._configuration = configuration
        self._ratings = ratings
        self._settings = settings
        self._metrics = metrics
        self._random = random
        self._tasks = asyncio.Queue(settings.rating_queue)
        self.rating_up = True

    def is_halted(self, key):
        """Return whether a version is stopped at a class."""
        return key in self.book.halted

    @contextmanager
    def expose(self, key):
        """Count an answer of a candidate while it is given."""
        self.book.start_exposure(key)
        exposure = Exposure()
        try:
            yield exposure
        finally:
            if not exposure.confirmed:
                self.book.cancel_exposure(key)

    def sample(self, context, answer):
        """Put an answer up for rating: always a candidate's, some of the others."""
        version = self._configuration.declaration.versions.get(answer.version)
        if version is None:
            return
        is_candidate = version.state is VersionState.CANDIDATE
        if not is_candidate and self._random.random() >= self._settings.rating_share:
            return
        task = _make_task(context, answer)
        try:
            self._tasks.put_nowait(task)
        except asyncio.QueueFull:
            self._metrics.dropped_ratings.inc()

    async def rate_now(self, context, answer):
        """Rate an answer while its caller waits.

        Returns
        -------
        float or None
            None if the rating service gave none.
        """
        return await self._rate(_make_task(context, answer))

    async def _rate(self, task):
        result = await self._ratings.rate(
            task.work_class, task.version, task.payload, task.text
        )
        self.rating_up = result.is_ok()
        if result.is_error():
            self._metrics.platform_faults.labels("ratings").inc()
            return None
        key = (task.work_class, task.version)
        self.book.record_rating(key, result.ok, task.threshold)
        return result.ok

    async def run(self):
        """Rate queued answers until cancelled."""
        while True:
            task = await self._tasks.get()
            rating = await self._rate(task)
            if rating is None:
                self._metrics.dropped_ratings.inc()
                continue
            self._end_exposure((task.work_class, task.version))

    def _end_exposure(self, key):
        if self.book.unrated.get(key, 0) > 0:
            self.book.cancel_exposure(key)


def _make_task(context, answer):
    return RatingTask(
        context.work_class.name,
        answer.version,
        context.work_class.quality,
        context.payload,
        answer.content.decode(),
    )
