"""Counts the servers that one poison request crashes: `python -m bench.poison`.

Its caller sends it again, each time to another of nine entry instances; blame
reaches the other instances after some time.
"""

import bench.lateness as lateness

RESEND_INTERVALS_S = (0.1, 0.5, 2.0, 5.0)
BLAME_DELAYS_S = (0.1, 0.5, 2.0)
LOAD = 0.6


def count_crashes(resend, blame_delay, seed):
    """Return the crashes of one run."""
    lateness.RESEND_INTERVAL_S = resend
    lateness.BLAME_DELAY_S = blame_delay
    run = lateness.Simulation("tanagerwalk", "poison", LOAD, seed)
    return sum(engine.crashes for engine in run.engines.values())


def main():
    """Print the most crashes over the seeds for each pair of times."""
    print(
        "resend after",
        *(f"blame after {blame_delay} s" for blame_delay in BLAME_DELAYS_S),
    )
    for resend in RESEND_INTERVALS_S:
        crashes = [
            max(count_crashes(resend, blame_delay, seed) for seed in lateness.SEEDS)
            for blame_delay in BLAME_DELAYS_S
        ]
        print(f"{resend:>10} s", *(f"{number:>17}" for number in crashes))


if __name__ == "__main__":
    main()
