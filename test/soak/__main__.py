"""Runs the soak by hand: `PYTHONPATH=.:test python -m soak --seeds 50`."""

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from soak.run import run_soak


def main():
    """Run seeds one after the other; keep the logs of those that fail."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many fresh seeds")
    parser.add_argument("--seed", type=int, help="this seed only")
    parser.add_argument("--seconds", type=float, default=10.0, help="of faults a seed")
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
