"""Datagrams that are replayed, reordered or of an earlier version."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.replay_window import (
    MAX_REMEMBERED,
    MAX_SENDERS,
    ReplayWindow,
)


def encode(number):
    return number.to_bytes(8, "big", signed=True)


@given(st.lists(st.integers(0, MAX_REMEMBERED // 2 - 1), max_size=60))
def test_each_datagram_is_accepted_once_in_any_order(numbers):
    window = ReplayWindow()
    accepted = [n for n in numbers if window.accept("a.1", n, encode(n))]
    assert accepted == list(dict.fromkeys(numbers))


@given(st.lists(st.integers(-(2**63), 2**63 - 1), max_size=60))
def test_no_number_is_accepted_twice(numbers):
    window = ReplayWindow()
    accepted = [n for n in numbers * 2 if window.accept("a.1", n, encode(n))]
    assert len(accepted) == len(set(accepted))


def test_nothing_is_accepted_again_after_many_datagrams():
    window = ReplayWindow()
    numbers = range(10 * MAX_REMEMBERED)
    assert all(window.accept("a.1", n, encode(n)) for n in numbers)
    assert not any(window.accept("a.1", n, encode(n)) for n in numbers)


def test_late_datagrams_are_accepted_within_the_window():
    window = ReplayWindow()
    late = set(range(0, 10 * MAX_REMEMBERED, 100))
    for number in range(10 * MAX_REMEMBERED):
        if number not in late:
            assert window.accept("a.1", number, encode(number))
        delayed = number - MAX_REMEMBERED // 4
        if delayed in late:
            assert window.accept("a.1", delayed, encode(delayed))


def test_datagrams_of_one_number_are_told_apart():
    window = ReplayWindow()
    digests = [encode(n) for n in range(3 * MAX_REMEMBERED)]
    assert all(window.accept("a.1", 7, digest) for digest in digests)
    assert not window.accept("a.1", 7, digests[-1])
    assert not window.accept("a.1", 6 - MAX_REMEMBERED, b"older")


def test_senders_do_not_affect_each_other_and_are_bounded():
    window = ReplayWindow()
    for number in range(MAX_SENDERS + 10):
        assert window.accept(f"a.{number}", 1, b"x")
    assert not window.accept(f"a.{MAX_SENDERS}", 1, b"x")
    assert len(window._received) == MAX_SENDERS
