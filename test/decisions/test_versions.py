"""Choice of plans: invariants for arbitrary inputs, and a table of cases."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.evidence import Counts
from tanagerwalk.decisions.versions import PlanInputs, choose_plan, find_next_step
from tanagerwalk.declarations import parse_declaration
from tanagerwalk.outcomes import RefusalReason, VersionState

TEXT = """
[class plan]
quality = 0.8
lateness = 10 s
tokens = 1000
[account desk]
key_sha256 = ab
classes = plan
versions = cheap middle strong new
[version cheap]
state = released
cost = 0.1
evaluated = plan:0.7
[version middle]
state = released
cost = 0.5
evaluated = plan:0.9
[version strong]
state = released
cost = 1
evaluated = plan:0.97
[version new]
state = candidate
cost = 0.3
evaluated = plan:0.9
exposure = 4
[version foreign]
state = released
cost = 0.01
"""
DECLARATION = parse_declaration(TEXT).ok
WORK_CLASS = DECLARATION.classes["plan"]
ACCOUNT = DECLARATION.client_accounts["desk"]
NAMES = tuple(DECLARATION.versions)
names = st.frozensets(st.sampled_from(NAMES))


def make_inputs(**changes):
    inputs = PlanInputs(frozenset(NAMES), lambda _version: 1.0)
    return replace(inputs, **changes)


def choose(declaration=DECLARATION, work_class=WORK_CLASS, **changes):
    return choose_plan(declaration, ACCOUNT, work_class, make_inputs(**changes))


def rated(rating, count=500):
    return Counts(
        count=count,
        total=rating * count,
        squares=rating * rating * count,
        accepted=count if rating >= WORK_CLASS.quality else 0,
        accepted_total=rating * count if rating >= WORK_CLASS.quality else 0.0,
    )


@st.composite
def declarations(draw):
    versions = {
        name: replace(version, state=draw(st.sampled_from(VersionState)))
        for name, version in DECLARATION.versions.items()
    }
    return replace(DECLARATION, versions=versions)


@given(
    declaration=declarations(),
    available=names,
    halted=names,
    excluded=names,
    exposed=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1)),
    draw=st.floats(0, 1),
    ratings=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1)),
    time_left=st.floats(0, 20),
    cascades=st.booleans(),
    idempotent=st.booleans(),
)
def test_plan_holds_only_versions_that_may_serve(
    declaration, ratings, idempotent, **changes
):
    counts = {name: rated(rating) for name, rating in ratings.items()}
    changes["evidence"] = lambda name: counts.get(name, Counts())
    work_class = replace(WORK_CLASS, idempotent=idempotent)
    result = choose(declaration, work_class, **changes)
    assert result == choose(declaration, work_class, **changes)
    if result.is_error():
        assert result.error.reason is RefusalReason.NO_ALLOWED_VERSION
        return
    plan = result.ok
    for name in plan.steps:
        state = declaration.versions[name].state
        assert name in ACCOUNT.versions & changes["available"]
        assert name not in changes["halted"] | changes["excluded"]
        assert state in (VersionState.RELEASED, VersionState.CANDIDATE)
        if state is VersionState.CANDIDATE:
            assert plan.steps == (plan.candidate,)
            assert name in changes["exposed"]
    if len(plan.steps) > 1:
        assert idempotent
        assert changes["cascades"]


@given(ratings=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1)))
def test_no_plan_that_meets_the_target_is_cheaper(ratings):
    counts = {name: rated(rating) for name, rating in ratings.items()}
    plan = choose(evidence=lambda name: counts.get(name, Counts())).ok
    for name in ("cheap", "middle", "strong"):
        single = choose(
            evidence=lambda name: counts.get(name, Counts()),
            available=frozenset([name]),
        ).ok
        if single.quality >= WORK_CLASS.quality:
            assert plan.quality >= WORK_CLASS.quality
            assert plan.cost <= single.cost


CASES = [
    ("cheapest good one", {"cascades": False}, ("middle",)),
    (
        "late one is passed over",
        {"durations": {"middle": 30.0}, "time_left": 10.0},
        ("strong",),
    ),
    ("bad ratings", {"evidence": {"middle": rated(0.5)}}, ("strong",)),
    ("good ratings", {"evidence": {"cheap": rated(0.9)}}, ("cheap",)),
    ("cascade", {"evidence": {"cheap": rated(0.9, 40)}}, ("cheap", "middle")),
    ("cascade is late", {"time_left": 1.5, "available": ["cheap", "strong"]}, None),
    ("candidate's share", {"exposed": {"new": 0.1}, "draw": 0.05}, ("new",)),
    ("others' share", {"exposed": {"new": 0.1}, "draw": 0.2}, ("middle",)),
    ("spent candidate", {"draw": 0.0}, ("middle",)),
    ("only a candidate", {"available": ["new"], "exposed": {"new": 0.1}}, ("new",)),
]


@pytest.mark.parametrize(("name", "changes", "steps"), CASES)
def test_case_is_planned(name, changes, steps):
    changes = dict(changes)
    durations = changes.get("durations", {})
    evidence = changes.get("evidence", {})
    changes["durations"] = lambda version: durations.get(version, 1.0)
    changes["evidence"] = lambda version: evidence.get(version, Counts())
    changes["available"] = frozenset(changes.get("available", NAMES))
    if name not in ("cascade", "cascade is late"):
        changes["cascades"] = False
    if name == "cascade":
        changes["available"] = frozenset(["cheap", "middle"])
    assert choose(**changes).ok.steps == (steps or ("strong",))


def test_observed_tokens_decide_the_cost():
    long_answers = Counts(answers=1000, attempts=1000, tokens=1_000_000)
    short_answers = Counts(answers=1000, attempts=1000, tokens=100_000)
    counts = {"middle": long_answers, "strong": short_answers}
    plan = choose(evidence=lambda n: counts.get(n, Counts()), cascades=False).ok
    assert plan.steps == ("strong",)


STEPS = [(0, 9.0, 0), (0, 4.2, 0), (0, 4.0, 1), (1, 3.0, 1), (0, 2.9, None)]


@pytest.mark.parametrize(("index", "time_left", "expected"), STEPS)
def test_next_step_is_the_first_that_fits_in_time(index, time_left, expected):
    durations = {"cheap": 1.0, "strong": 3.0}
    step = find_next_step(
        ("cheap", "strong"), index, time_left, durations.__getitem__, 0.1
    )
    assert step == expected


@pytest.mark.parametrize(("idempotent", "steps"), [(True, 2), (False, 1)])
def test_non_idempotent_class_gets_no_cascade(idempotent, steps):
    counts = {"cheap": rated(0.9, 40)}
    plan = choose(
        work_class=replace(WORK_CLASS, idempotent=idempotent),
        available=frozenset(["cheap", "middle"]),
        evidence=lambda name: counts.get(name, Counts()),
    ).ok
    assert len(plan.steps) == steps
