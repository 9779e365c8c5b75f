"""Evidence: reports merge in any order, and tests rarely raise false alarms."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.decisions.evidence import (
    EPOCHS_KEPT,
    Arm,
    Counts,
    EvidenceReport,
    EvidenceTable,
    decode_report,
    encode_report,
)
from tanagerwalk.decisions.sequential import bet_below, bet_on_events, mix_wealths

ARM = Arm("s", "a/b", "m:1")


def make_reports(ratings):
    own = {}
    for origin, epoch, rating in ratings:
        counts = own.setdefault((origin, epoch), Counts())
        counts.add_rating(rating, 0.5, 0.5)
        counts.add_answer(10, late=False)
        yield origin, EvidenceReport(ARM, epoch, counts.combine(Counts()))


@given(
    ratings=st.lists(
        st.tuples(st.sampled_from("xyz"), st.integers(0, 2), st.floats(0, 1)),
        max_size=20,
    ),
    data=st.data(),
)
def test_reports_merge_in_any_order_and_number(ratings, data):
    reports = list(make_reports(ratings))
    shuffled = data.draw(st.permutations(reports + reports[:5]))
    table = EvidenceTable()
    for origin, report in shuffled:
        table.merge(origin, decode(report))
    total = table.sum_newest(ARM.work_class, ARM.version, 1000)
    assert total.count == total.answers == len(ratings)
    assert total.total == pytest.approx(sum(rating for _, _, rating in ratings))


def decode(report):
    return decode_report(*encode_report(report))


def test_newest_ratings_count_and_history_stays_bounded():
    table = EvidenceTable()
    for epoch in range(100):
        table.advance(epoch)
        counts = Counts()
        for _ in range(30):
            counts.add_rating(0.9 if epoch < 95 else 0.2, 0.5, 0.5)
        table.merge("x", EvidenceReport(ARM, epoch, counts))
    total = table.sum_newest(ARM.work_class, ARM.version, 100)
    assert total.total / total.count < 0.5
    assert len(table.list_epochs(ARM)) <= EPOCHS_KEPT + 1


def test_evidence_of_rarely_used_classes_is_kept():
    table = EvidenceTable()
    for epoch in range(0, 1000, 20):
        table.advance(epoch)
        counts = Counts()
        counts.add_rating(0.9, 0.5, 0.5)
        table.merge("x", EvidenceReport(ARM, epoch, counts))
    assert table.sum_newest(ARM.work_class, ARM.version, 200).count == 50


FAULTS = ["", "a", "a/b", "a/b/c", "a/b/c/x", "a/b/c/d/1"]


@pytest.mark.parametrize("key", FAULTS)
def test_malformed_report_is_rejected(key):
    assert (
        decode_report(key, encode_report(EvidenceReport(ARM, 1, Counts()))[1]) is None
    )
    assert (
        decode_report(encode_report(EvidenceReport(ARM, 1, Counts()))[0], b"\xc1")
        is None
    )


def test_report_from_a_wrong_clock_is_ignored():
    table = EvidenceTable()
    table.advance(100)
    for epoch in (0, 97, 103, 10**9):
        assert not table.merge(
            "x", EvidenceReport(ARM, epoch, Counts(count=1, attempts=1))
        )


@pytest.mark.parametrize("floor", [0.1, 0.5, 0.9])
@given(ratings=st.lists(st.floats(0, 1), min_size=1, max_size=4))
def test_bets_are_fair_if_the_mean_is_at_the_floor(floor, ratings):
    # For a two-point rating with its mean at the floor, the expected factor by which
    # the wealth grows is 1.
    for rating in ratings:
        low, high = sorted((rating, floor))
        if low >= floor or high <= floor:
            low, high = 0.0, 1.0
        weight = (high - floor) / (high - low)
        for bad, good in zip(
            bet_below(low, floor), bet_below(high, floor), strict=True
        ):
            growth = weight * math.exp(bad) + (1 - weight) * math.exp(good)
            assert growth == pytest.approx(1.0)


def test_false_alarms_stay_within_the_bound():
    rng, alpha, runs = random.Random(7), 0.05, 400
    alarms = {"ratings": 0, "events": 0}
    for _ in range(runs):
        wealth, events = (0.0, 0.0, 0.0), 0
        seen = set()
        for trial in range(1, 300):
            growth = bet_below(float(rng.random() < 0.8), 0.8)
            wealth = tuple(map(float.__add__, wealth, growth))
            events += rng.random() < 0.1
            if mix_wealths(wealth) >= -math.log(alpha):
                seen.add("ratings")
            if mix_wealths(bet_on_events(events, trial, 0.1)) >= -math.log(alpha):
                seen.add("events")
        for name in seen:
            alarms[name] += 1
    assert max(alarms.values()) <= alpha * runs
