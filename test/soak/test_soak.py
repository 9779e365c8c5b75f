"""A short seeded soak; every seed that ever failed stays here, with its cause."""

import pytest

from soak.run import run_soak

SEEDS = [
    1,
    # A reload that came while the process started ended it.
    4071846403,
]


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_faults(seed, tmp_path):
    report = await run_soak(seed, 4.0, tmp_path, timed=False)
    assert not report.violations, report.summary
