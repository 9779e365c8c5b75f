"""The rating queue: every unit of exposure ends or is marked as lost."""

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
from tanagerwalk.decisions.version_rollouts import RolloutTracker
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
TIMEOUT_S = 10.0


class FakeRatingsClient:
    """Returns a rating or a fault, and counts concurrent calls."""

    def __init__(self, result):
        self.result = result
        self.running = self.max_running = 0

    async def rate(self, _work_class, _version, _payload, _text):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await asyncio.sleep(SECONDS_PER_RATING)
        self.running -= 1
        return self.result


def make_controller(result, text="[rollouts]\nrating_queue = 30"):
    configuration = ConfigurationState(30.0)
    configuration.offer(1, TEXT, 0.0)
    return RolloutController(
        RolloutTracker("i1", 0.01),
        configuration,
        FakeRatingsClient(result),
        RatingGate(1000.0, 1000.0),
        parse_settings(text).ok.rollouts,
        Metrics(),
        lambda: 1.0,
        random.Random(1),
        lambda: None,
        on_halt=lambda _arm, _halt: None,
    )


def submit_answer(controller, held, version="new"):
    """Submit one answer of the candidate for rating."""
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
    ("name", "result", "count", "version", "running", "lost"), CASES
)
async def test_every_unit_is_settled(name, result, count, version, running, lost):
    controller = make_controller(result)
    held = HeldUnits(units=50, expires=10.0)
    for _ in range(count):
        submit_answer(controller, held, version)
    worker = asyncio.create_task(controller.run())
    await poll_until(lambda: held.running == running, SECONDS_PER_RATING, TIMEOUT_S)
    worker.cancel()
    assert (held.running, len(held.lost)) == (running, lost)


async def test_slow_ratings_run_side_by_side():
    controller = make_controller(Ok(0.95))
    held = HeldUnits(units=50, expires=10.0)
    for _ in range(10):
        submit_answer(controller, held)
    worker = asyncio.create_task(controller.run())
    await poll_until(lambda: held.running == 0, SECONDS_PER_RATING, TIMEOUT_S)
    worker.cancel()
    assert controller._ratings.max_running > 1
