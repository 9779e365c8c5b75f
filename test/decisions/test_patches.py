"""Patches between declaration texts."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.patches import apply_patch, make_patch

TEXTS = st.text(alphabet="ab\n", max_size=30)


@given(TEXTS, TEXTS)
def test_patch_turns_old_text_into_new(old, new):
    assert apply_patch(old, make_patch(old, new)).ok == new


@given(TEXTS, TEXTS, TEXTS)
def test_patch_of_another_text_is_refused_or_gives_the_new_text(old, new, other):
    result = apply_patch(other, make_patch(old, new))
    assert result.is_error() or result.ok == new


def test_patch_of_a_small_change_in_a_large_text_is_small():
    old = "".join(f"[account {n}]\nversions = a b\n" for n in range(1000))
    new = old.replace("[account 500]\nversions = a b", "[account 500]\nversions = a")
    assert len(msgspec.json.encode(make_patch(old, new))) < 200


@pytest.mark.parametrize(
    "fault",
    [{"base": "0"}, {"result": "0"}, {"prefix": 99}, {"suffix": 99}, {"middle": "z"}],
)
def test_corrupted_patch_is_refused(fault):
    patch = msgspec.structs.replace(make_patch("abc", "abd"), **fault)
    assert apply_patch("abc", patch).is_error()
