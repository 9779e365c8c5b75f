"""Sums over a recent span of time."""

from tanagerwalk.decisions.recent_sums import RecentSum


def test_recent_sum_is_bounded_without_measuring():
    recent = RecentSum()
    for n in range(10_000):
        recent.add(1.0, 0.5 * n)
    assert len(recent._buckets) < 20
