"""The queue of ratings: units of exposure end or are lost, never forgotten."""

import asyncio
import random

import pytest
from expression import Error, Ok

from tanagerwalk.clients.ratings import RatingFailure
from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.controllers.rollouts import RolloutController
from tanagerwalk.decisions.configuration import ConfigurationState
from tanagerwalk.decisions.exposure import Exposure, HeldUnits
from tanagerwalk.decisions.ratings import RatingGate
from tanagerwalk.decisions.rollouts import RolloutTracker
from tanagerwalk.messages import Answer, RequestContext
from tanagerwalk.metrics import Metrics
from tanagerwalk.settings import parse_settings

TEXT = """
[class plan]
quality = 0.9
lateness = 10 s
[version new]
state = candidate
cost = 1
exposure = 50
"""
SECONDS_PER_RATING = 0.01
LIMIT_S = 10.0


class Ratings:
    """Gives a rating or a fault, and counts calls that run at the same time."""

    def __init__(self, result):
        self.result = result
        self.running = self.most = 0

    async def rate(self, _work_class, _version, _payload, _text):
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(SECONDS_PER_RATING)
        self.running -= 1
        return self.result


def make_controller(result, text="[rollouts]\nrating_queue = 30"):
    configuration = ConfigurationState(30.0)
    configuration.offer(1, TEXT, 0.0)
    return RolloutController(
        RolloutTracker("i1", 0.01),
        configuration,
        Ratings(result),
        RatingGate(1000.0, 1000.0),
        parse_settings(text).ok.rollouts,
        Metrics(),
        lambda: 1.0,
        random.Random(1),
        lambda: None,
        on_halt=lambda _arm, _halt: None,
    )


def give(controller, held, version="new"):
    """Give one answer of the candidate."""
    assert held.start(1.0)
    context = RequestContext("r", {}, "", "plan", exposure=Exposure(held))
    context.work_class = controller._configuration.declaration.classes["plan"]
    controller.sample(context, Answer(200, b"text", version=version))


CASES = [
    ("rated", Ok(0.95), 20, "new", 0, 0),
    ("service fails", Error(RatingFailure("out")), 2, "new", 0, 2),
    ("queue is full", Ok(0.95), 33, "new", 0, 3),
    ("version is no longer declared", Ok(0.95), 1, "old", 0, 1),
]


@pytest.mark.parametrize(
    ("name", "result", "given", "version", "running", "lost"), CASES
)
async def test_every_unit_is_settled(name, result, given, version, running, lost):
    controller = make_controller(result)
    held = HeldUnits(units=50, expires=10.0)
    for _ in range(given):
        give(controller, held, version)
    worker = asyncio.create_task(controller.run())
    await poll_until(lambda: held.running == running, SECONDS_PER_RATING, LIMIT_S)
    worker.cancel()
    assert (held.running, len(held.lost)) == (running, lost)


async def test_slow_ratings_run_side_by_side():
    controller = make_controller(Ok(0.95))
    held = HeldUnits(units=50, expires=10.0)
    for _ in range(10):
        give(controller, held)
    worker = asyncio.create_task(controller.run())
    await poll_until(lambda: held.running == 0, SECONDS_PER_RATING, LIMIT_S)
    worker.cancel()
    assert controller._ratings.most > 1
