"""Numbers of the settings of `serve` that no limit can have, and any settings text."""

import math
from dataclasses import fields

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.settings import Settings, parse_settings

ODD_NUMBERS = ["nan", "inf", "-inf", "1e999", "-1", "x", "", "\u00b2"]
ODD_NUMBERS += ["9" * 400, "9" * 5000]
NUMBERS = [
    (section.name, each.name)
    for section in fields(Settings)
    for each in fields(section.type)
    if each.type in (int, float)
]
TITLES = sorted({section for section, _ in NUMBERS} | {"DEFAULT", "odd"})
NAMES = sorted({name for _, name in NUMBERS} | {"id", "odd"})


# Guards against an interval or a limit with which every comparison is false.
@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_odd_number_is_a_problem_in_any_place(number):
    for section, name in NUMBERS:
        result = parse_settings(f"[{section}]\n{name} = {number}\n")
        assert any(name in problem for problem in result.error)


@given(
    st.lists(
        st.text(max_size=30)
        | st.sampled_from(TITLES).map("[{}]".format)
        | st.builds(
            "{} = {}".format, st.sampled_from(NAMES), st.sampled_from(ODD_NUMBERS)
        ),
        max_size=6,
    )
)
def test_any_text_gives_finite_numbers_or_problems(lines):
    result = parse_settings("\n".join(lines))
    if result.is_error():
        assert all(isinstance(problem, str) for problem in result.error)
        return
    numbers = [getattr(getattr(result.ok, s), name) for s, name in NUMBERS]
    assert all(math.isfinite(number) and number >= 0 for number in numbers)
