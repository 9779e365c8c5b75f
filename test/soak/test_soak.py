"""A short soak with fixed seeds; each seed that once failed is kept with its cause."""

import pytest

from soak.run import run_soak

SEEDS = [
    1,
    # A reload signal (SIGHUP) during startup ended the process.
    4071846403,
]


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_faults(seed, tmp_path):
    report = await run_soak(seed, 4.0, tmp_path, timed=False)
    assert not report.violations, report.summary
