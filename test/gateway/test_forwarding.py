"""Retry budget of an instance when the instance count or the bounds change."""

import dataclasses
import random

import pytest

from tanagerwalk.gateway.forwarding import ForwardFilter
from tanagerwalk.gateway.settings import Bounds

BOUNDS = Bounds(retry_ratio=0.0, retry_window=10.0, retry_slack=12.0)


def count_retries(forward, now=0.0):
    budget = forward._get_retry_budget("drafts")
    count = 0
    while budget.allows(now):
        budget.record_retry(now)
        count += 1
    return count


@pytest.mark.parametrize(("before", "after", "more"), [(1, 6, 0), (6, 1, 10)])
def test_retry_slack_follows_instance_count(before, after, more):
    """An instance that knew no peers at startup kept the slack of all instances."""
    instances = before
    forward = ForwardFilter(None, BOUNDS, lambda: instances, random.Random(1))
    assert count_retries(forward) == 12 // before
    instances = after
    assert count_retries(forward) == more


def test_retries_stay_counted_when_bounds_change():
    """Each reload of the settings used to reset the retry budget."""
    forward = ForwardFilter(None, BOUNDS, lambda: 3, random.Random(1))
    assert count_retries(forward) == 4
    forward.apply_bounds(dataclasses.replace(BOUNDS, retry_slack=15.0))
    assert count_retries(forward) == 1
