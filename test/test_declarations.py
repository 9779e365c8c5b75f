"""Parsing of declarations and the messages for invalid ones."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.declarations import parse_declaration
from tanagerwalk.outcomes import VersionState

VALID = """
[class label]
quality = 0.7
lateness = 300 ms
[account desk]
key_sha256 = ab
classes = label
versions = m1
[version m1]
state = released
cost = 0.1
evaluated = label:0.9
"""

PROBLEMS = [
    ("versions = m1", "versions = m2", 'account "desk" names unknown version "m2"'),
    ("classes = label", "classes = x", 'account "desk" names unknown class "x"'),
    ("evaluated = label", "evaluated = x", 'version "m1" names unknown class "x"'),
    ("300 ms", "300", 'lateness = "300" is not a duration such as "300 ms"'),
    ("quality = 0.7", "quality = 7", "quality = 7 is not between 0 and 1"),
    ("released", "new", 'state = "new" is not one of'),
    ("cost = 0.1", "weight = 0.1", 'has unknown key "weight"'),
    ("cost = 0.1", "weight = 0.1", 'lacks key "cost"'),
    ("[version m1]", "[versions m1]", "unknown section [versions m1]"),
    ("[class label]", "class", "declaration is not INI"),
]


def test_valid_declaration_is_parsed():
    declaration = parse_declaration(VALID).ok
    assert declaration.classes["label"].lateness == 0.3
    assert declaration.versions["m1"].state is VersionState.RELEASED
    assert declaration.client_accounts["desk"].versions == {"m1"}


@pytest.mark.parametrize(("old", "new", "message"), PROBLEMS)
def test_problem_is_reported(old, new, message):
    problems = parse_declaration(VALID.replace(old, new, 1)).error
    assert any(message in problem for problem in problems)


# Guards against numbers that raised out of the parser: inf and nan have no integer.
@pytest.mark.parametrize("number", ["inf", "nan", "-inf", "1e999", "-1", "\u00b2"])
@pytest.mark.parametrize("key", ["exposure", "cost", "tokens", "quality"])
def test_number_without_a_finite_value_is_a_problem(key, number):
    section = "class label" if key in ("tokens", "quality") else "version m1"
    kept = [line for line in VALID.splitlines() if not line.startswith(key)]
    kept.insert(kept.index(f"[{section}]") + 1, f"{key} = {number}")
    problems = parse_declaration("\n".join(kept)).error
    assert any(f"[{section}] {key}" in problem for problem in problems)


@pytest.mark.parametrize("rating", ["nan", "inf", "-1", "", "x"])
def test_rating_out_of_range_is_a_problem(rating):
    text = VALID.replace("label:0.9", f"label:{rating}")
    assert any("evaluated" in problem for problem in parse_declaration(text).error)


@pytest.mark.parametrize("key", ["lateness", "patience"])
def test_duration_of_too_many_digits_is_a_problem(key):
    line = f"{key} = {'9' * 400} s\n"
    text = VALID.replace("lateness = 300 ms\n", f"lateness = 300 ms\n{line}")
    if key == "lateness":
        text = VALID.replace("lateness = 300 ms\n", line)
    assert any(key in problem for problem in parse_declaration(text).error)


# Guards against a section that replaces another one unseen.
@pytest.mark.parametrize("title", ["class  label", "class label ", "class\tlabel"])
def test_repeated_section_is_a_problem(title):
    text = f"{VALID}[{title}]\nlateness = 1 s\n"
    (problem,) = parse_declaration(text).error
    assert title.strip() in problem


def write_line(key, value):
    return f"{key} = {value}"


TITLES = st.sampled_from(
    ["[class a]", "[class  a]", "[account a]", "[version a]", "[DEFAULT]", "[x"]
)
KEYS = st.sampled_from(
    ["lateness", "patience", "cost", "tokens", "exposure", "evaluated", "state"]
)
VALUES = st.sampled_from(
    ["", "1 s", "\u0661 s", "nan", "inf", "9" * 5000, "a:nan", "a:0.5", "candidate"]
)


@given(st.lists(TITLES | st.builds(write_line, KEYS, VALUES) | st.text(max_size=20)))
def test_any_text_is_parsed_without_an_exception(lines):
    result = parse_declaration("\n".join(lines))
    if result.is_error():
        assert result.error
        return
    for version in result.ok.versions.values():
        assert math.isfinite(version.cost)
    for work_class in result.ok.classes.values():
        assert math.isfinite(work_class.lateness + work_class.patience)
