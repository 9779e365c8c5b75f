"""Command line of the soak test: `PYTHONPATH=.:test python -m soak --seeds 50`."""

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from soak.run import run_soak


def main():
    """Run the seeds one after the other and print the log folder of each failed one."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="number of random seeds")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="fault time per seed"
    )
    options = parser.parse_args()
    seeds = [options.seed]
    if options.seed is None:
        seeds = [random.randrange(1 << 32) for _ in range(options.seeds)]
    failed = [seed for seed in seeds if not _run(seed, options.seconds)]
    print(f"{len(seeds)} seeds, {len(failed)} failed: {failed}")
    sys.exit(bool(failed))


def _run(seed, seconds):
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = asyncio.run(run_soak(seed, seconds, folder))
    print(f"seed {seed}: {report.summary}", flush=True)
    for violation in report.violations:
        print(f"  {violation}; logs in {folder}", flush=True)
    return not report.violations


if __name__ == "__main__":
    main()
