"""A short soak with fixed seeds; each seed that once failed is kept with its cause."""

import asyncio

import pytest

from soak.fleet import Fleet
from soak.run import run_soak

pytestmark = pytest.mark.serial

SEEDS = [
    1,
    # A reload signal (SIGHUP) during startup ended the process.
    4071846403,
]


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_faults(seed, tmp_path):
    report = await run_soak(seed, 4.0, tmp_path, timed=False)
    assert not report.violations, report.summary


async def test_other_test_runs_cannot_reach_a_server(tmp_path):
    """A store poll of another run at a reused port arrived without an attempt id."""
    fleet = Fleet(tmp_path)
    await fleet.store.start()
    await fleet.add_server("desk")
    _, _, port = fleet.servers["desk-0"].address.rpartition(":")
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", int(port))
    await fleet.stop()
