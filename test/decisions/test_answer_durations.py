"""What is known of the durations of answers."""

import math

import pytest

from tanagerwalk.decisions.answer_durations import (
    MAX_ANSWERS,
    MAX_KINDS,
    AnswerDurations,
)


def record(durations, kind, seconds):
    durations.end(kind, durations.begin(kind, 0.0), seconds, lasted=True)


@pytest.mark.parametrize("is_strict", [True, False])
def test_nothing_is_known_at_first_nor_from_answers_that_broke(is_strict):
    durations = AnswerDurations()
    assert durations.estimate("a", 0.0, is_strict) == math.inf
    durations.end("a", durations.begin("a", 0.0), 1.0, lasted=False)
    assert durations.estimate("a", 1.0, is_strict) == math.inf


def test_longest_answer_counts_only_for_what_must_not_be_cut():
    durations = AnswerDurations()
    for number in range(MAX_ANSWERS):
        record(durations, "a", 4.0 if number == 0 else 1.0)
    assert durations.estimate("a", 9.0, is_strict=True) > 4.0
    assert durations.estimate("a", 9.0, is_strict=False) == 1.0


def test_old_answers_are_forgotten():
    durations = AnswerDurations()
    record(durations, "a", 4.0)
    for _ in range(MAX_ANSWERS):
        record(durations, "a", 1.0)
    assert durations.estimate("a", 9.0, is_strict=True) < 2.0


def test_answers_that_are_due_longer_than_any_known_one_count():
    durations = AnswerDurations()
    record(durations, "a", 1.0)
    token = durations.begin("a", 10.0)
    assert durations.estimate("a", 10.5, is_strict=True) < 2.0
    assert durations.estimate("a", 13.0, is_strict=True) > 2 * 3.0
    assert durations.estimate("a", 13.0, is_strict=False) == 3.0
    durations.end("a", token, 13.0, lasted=False)
    assert durations.estimate("a", 14.0, is_strict=True) < 2.0


def test_number_of_kinds_is_bounded():
    """Guards against memory that grows with every manifest."""
    durations = AnswerDurations()
    token = durations.begin(0, 0.0)
    for kind in range(1, MAX_KINDS + 1):
        record(durations, kind, 1.0)
    durations.end(0, token, 1.0, lasted=True)
    assert durations.estimate(0, 2.0, is_strict=False) == math.inf
    assert durations.estimate(MAX_KINDS, 2.0, is_strict=False) == 1.0


def test_quick_answers_that_are_due_a_little_longer_stay_quick():
    """Guards against refusals in a stop because of some milliseconds."""
    durations = AnswerDurations()
    record(durations, "a", 0.001)
    durations.begin("a", 10.0)
    assert durations.estimate("a", 10.02, is_strict=True) < 0.5
