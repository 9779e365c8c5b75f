"""Cascades with failing steps and ratings: answers, refusals and run states."""

from types import SimpleNamespace

import pytest
from expression import Error, Ok

from tanagerwalk.decisions.evidence import Counts
from tanagerwalk.decisions.ratings import PAUSE_S, RatingGate
from tanagerwalk.declarations import ClientAccount, parse_declaration
from tanagerwalk.filters.cascade import CascadeRunner
from tanagerwalk.messages import Answer, Plan, RequestContext, Sink, Usage
from tanagerwalk.metrics import Metrics
from tanagerwalk.outcomes import Refusal, RefusalReason, RunState

TEXT = """
[class plan]
quality = 0.9
lateness = 10 s
patience = 30 s
[version cheap]
state = released
cost = 0.1
evaluated = plan:{cheap}
[version strong]
state = released
cost = 1
evaluated = plan:0.97
"""
WITHDRAWN = Refusal(RefusalReason.VERSION_WITHDRAWN, "")
NO_SERVER = Refusal(RefusalReason.NO_BACKEND_SERVER, "")
FULL = Refusal(RefusalReason.QUEUE_FULL, "")
FAILED = Refusal(RefusalReason.BACKEND_FAILED, "", RunState.UNKNOWN)
GOOD, POOR, BAD, UNRATED = 0.95, 0.8, 0.3, None


class FakeRollouts:
    """Returns a fixed rating after advancing the clock by a fixed time."""

    def __init__(self, rating, clock, seconds):
        self.rating_gate = RatingGate(10.0, 10.0)
        self.tracker = SimpleNamespace(sum_evidence=lambda _class, _version: Counts())
        self.rating = rating
        self.clock = clock
        self.seconds = seconds
        self.sampled = []

    async def rate_now(self, _context, _answer):
        self.clock.now += self.seconds
        return self.rating

    def sample(self, _context, answer):
        self.sampled.append(answer.version)


class TextSink(Sink):
    """Records the text that the caller would receive."""

    def __init__(self):
        self.text = ""

    async def write(self, text):
        self.text += text


class CascadeHarness:
    """Runs a CascadeRunner on versions with scripted outcomes."""

    def __init__(self, rating, script, cheap=0.6, seconds=0.0, idempotent=True):
        self.now = 0.0
        self.script = script
        self.executed_steps = []
        declaration = parse_declaration(TEXT.format(cheap=cheap)).ok
        self.rollouts = FakeRollouts(rating, self, seconds)
        self.sink = TextSink()
        self.context = RequestContext("r1", {}, "", "plan", sink=self.sink)
        self.context.work_class = declaration.classes["plan"]
        if not idempotent:
            text = TEXT.format(cheap=cheap).replace(
                "[class plan]", "[class plan]\nidempotent = no"
            )
            self.context.work_class = parse_declaration(text).ok.classes["plan"]
        self.context.account = ClientAccount("desk", "", frozenset(), frozenset())
        self.context.plan = Plan(("cheap", "strong"))
        self.context.deadline = 30.0
        self.runner = CascadeRunner(
            SimpleNamespace(declaration=declaration),
            self.rollouts,
            SimpleNamespace(estimate=lambda _class, _version, _lateness: 5.0),
            0.0,
            Metrics(),
            lambda: self.now,
        )

    async def proceed(self, context):
        version = context.version
        self.executed_steps.append(version)
        outcome = self.script.get(version)
        if outcome is not None:
            return Error(outcome)
        await context.sink.write(version)
        context.generated.append(version)
        usage = Usage(completion_tokens=1000)
        return Ok(Answer(200, version.encode(), version=version, usage=usage))

    async def run(self):
        return await self.runner.run(self.context, self.proceed)


CASES = [
    ("accepted", GOOD, {}, {}, ["cheap"], "cheap"),
    ("rejected", POOR, {}, {}, ["cheap", "strong"], "strong"),
    ("unrated", UNRATED, {}, {}, ["cheap", "strong"], "strong"),
    ("unrated, known good", UNRATED, {}, {"cheap": 0.99}, ["cheap"], "cheap"),
    ("cheap withdrawn", GOOD, {"cheap": WITHDRAWN}, {}, ["cheap", "strong"], "strong"),
    ("cheap unserved", GOOD, {"cheap": NO_SERVER}, {}, ["cheap", "strong"], "strong"),
    ("cheap failed", GOOD, {"cheap": FAILED}, {}, ["cheap", "strong"], "strong"),
    ("queue full", GOOD, {"cheap": FULL}, {}, ["cheap"], RefusalReason.QUEUE_FULL),
    (
        "may not run twice",
        GOOD,
        {"cheap": FAILED},
        {"idempotent": False},
        ["cheap"],
        RefusalReason.BACKEND_FAILED,
    ),
    (
        "strong gone, cheap poor",
        POOR,
        {"strong": NO_SERVER},
        {},
        ["cheap", "strong"],
        "cheap",
    ),
    (
        "strong gone, cheap bad",
        BAD,
        {"strong": NO_SERVER},
        {},
        ["cheap", "strong"],
        RefusalReason.NO_BACKEND_SERVER,
    ),
    ("rating slow, cheap poor", POOR, {}, {"seconds": 26.0}, ["cheap"], "cheap"),
    (
        "rating slow, cheap bad",
        BAD,
        {},
        {"seconds": 26.0},
        ["cheap"],
        RefusalReason.QUALITY_UNREACHABLE,
    ),
    (
        "rating slow and lost",
        UNRATED,
        {},
        {"seconds": 26.0},
        ["cheap"],
        RefusalReason.QUALITY_UNREACHABLE,
    ),
]


@pytest.mark.parametrize(
    ("name", "rating", "script", "options", "expected_steps", "expected"), CASES
)
async def test_cascade_outcome(name, rating, script, options, expected_steps, expected):
    harness = CascadeHarness(rating, script, **options)
    result = await harness.run()
    assert harness.executed_steps == expected_steps
    if result.is_ok():
        assert result.ok.version == harness.sink.text == expected
        return
    assert result.error.reason is expected
    assert harness.sink.text == ""
    finished = "cheap" not in script
    assert (result.error.run_state is RunState.RAN) == finished


async def test_step_that_no_longer_fits_is_skipped():
    harness = CascadeHarness(GOOD, {})
    harness.now = 24.0
    assert (await harness.run()).ok.version == "strong"
    assert harness.executed_steps == ["strong"]


async def test_both_steps_are_charged_and_only_the_last_is_sampled():
    harness = CascadeHarness(POOR, {})
    await harness.run()
    assert harness.context.cost == pytest.approx(1.1)
    assert harness.rollouts.sampled == ["strong"]
    assert harness.context.sent


def test_rating_gate_pauses_while_the_service_is_out():
    gate = RatingGate(rate=10.0, burst=10.0)
    for _ in range(3):
        assert gate.start(0.0, urgent=True)
        gate.record_fault(0.0, None)
    assert not gate.is_available(PAUSE_S / 2)
    assert gate.start(PAUSE_S, urgent=True)
    gate.record_fault(PAUSE_S, None)
    assert not gate.is_available(PAUSE_S + 1.0)


def test_samples_leave_room_to_urgent_ratings():
    gate = RatingGate(rate=0.0, burst=4.0)
    taken = [gate.start(0.0, urgent=False) for _ in range(4)]
    assert taken == [True, True, True, False]
    assert gate.start(0.0, urgent=True)
    assert not gate.start(0.0, urgent=True)
