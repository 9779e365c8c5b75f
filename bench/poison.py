"""Counts the crashes that a poison request causes: `python -m bench.poison`.

A poison request crashes the backend server that runs it. The caller resends it, each
time to a randomly chosen one of nine entry instances. When an instance blames the
request for a crash, the other instances learn of it after a delay.
"""

import bench.lateness as lateness

RESEND_INTERVALS_S = (0.1, 0.5, 2.0, 5.0)
BLAME_DELAYS_S = (0.1, 0.5, 2.0)
LOAD = 0.6


def count_crashes(resend_interval, blame_delay, seed):
    """Return the number of server crashes in one run."""
    lateness.RESEND_INTERVAL_S = resend_interval
    lateness.BLAME_DELAY_S = blame_delay
    run = lateness.Simulation("tanagerwalk", "poison", LOAD, seed)
    return sum(engine.crashes for engine in run.engines.values())


def main():
    """Print the highest crash count of all seeds for each pair of intervals."""
    print(
        "resend after",
        *(f"blame after {blame_delay} s" for blame_delay in BLAME_DELAYS_S),
    )
    for resend_interval in RESEND_INTERVALS_S:
        crashes = [
            max(
                count_crashes(resend_interval, blame_delay, seed)
                for seed in lateness.SEEDS
            )
            for blame_delay in BLAME_DELAYS_S
        ]
        print(f"{resend_interval:>10} s", *(f"{number:>17}" for number in crashes))


if __name__ == "__main__":
    main()
