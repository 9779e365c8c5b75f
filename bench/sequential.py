"""Compares sequential tests that halt a version: false alarms and detection delay.

Run it as `python -m bench.sequential`. Ratings are independent and beta-distributed
around the version's mean; each run has its own seed.
"""

import math
import random
import statistics

from tanagerwalk.decisions.sequential import (
    INITIAL_LOG_WEALTH,
    add_wealths,
    bet_below,
    mix_wealths,
)

RUNS = 300
RATINGS = 1000
RATINGS_BEFORE_CHANGE = 600
EPOCH = 20
EPOCHS = 12
ALPHA = 0.01
QUALITY_FLOOR = 0.9
BETA_CONCENTRATION = 25.0
DECAY = 0.8
MIN_RATINGS = 5
MIXTURE_VARIANCE = 0.04


class Betting:
    """A betting test with fixed stakes over all ratings."""

    limit = -math.log(ALPHA)

    def __init__(self):
        self.wealth = INITIAL_LOG_WEALTH

    def add(self, rating):
        """Add a rating; return whether the version is halted."""
        self.wealth = add_wealths(self.wealth, bet_below(rating, QUALITY_FLOOR))
        return mix_wealths(self.wealth) >= self.limit


class Windows:
    """A betting test restarted in every epoch, as the router uses it.

    It halts the version once the wealth over the latest k epochs reaches the limit,
    for any k up to EPOCHS.
    """

    limit = math.log(EPOCHS / ALPHA)

    def __init__(self):
        self.epochs = [INITIAL_LOG_WEALTH]
        self.count = 0

    def add(self, rating):
        """Add a rating; return whether the version is halted."""
        if self.count == EPOCH:
            self.epochs = [INITIAL_LOG_WEALTH, *self.epochs[: EPOCHS - 1]]
            self.count = 0
        self.count += 1
        self.epochs[0] = add_wealths(self.epochs[0], bet_below(rating, QUALITY_FLOOR))
        total = INITIAL_LOG_WEALTH
        for wealth in self.epochs:
            total = add_wealths(total, wealth)
            if mix_wealths(total) >= self.limit:
                return True
        return False


class Decay(Betting):
    """A betting test whose log wealth is discounted at the end of every epoch."""

    limit = math.log(EPOCHS / ALPHA)

    def __init__(self):
        super().__init__()
        self.count = 0

    def add(self, rating):
        """Add a rating; return whether the version is halted."""
        self.count += 1
        if self.count % EPOCH == 0:
            self.wealth = tuple(DECAY * wealth for wealth in self.wealth)
        return super().add(rating)


class Mixture:
    """A normal mixture test over the drift.

    It assumes 0.25, the largest variance that a rating from 0 to 1 can have.
    """

    def __init__(self):
        self.count = 0
        self.total = 0.0
        self.squares = 0.0

    def variance(self):
        """Return the assumed variance of a rating."""
        return 0.25

    def add(self, rating):
        """Add a rating; return whether the version is halted."""
        self.count += 1
        self.total += QUALITY_FLOOR - rating
        self.squares += (QUALITY_FLOOR - rating) ** 2
        if self.total <= 0.0 or self.count < MIN_RATINGS:
            return False
        assumed_variance = self.variance()
        scale = assumed_variance + self.count * MIXTURE_VARIANCE
        log_ratio = 0.5 * math.log(assumed_variance / scale)
        log_ratio += MIXTURE_VARIANCE * self.total**2 / (2.0 * assumed_variance * scale)
        return log_ratio >= -math.log(2.0 * ALPHA)


class PlugInMixture(Mixture):
    """The normal mixture test with the sample variance."""

    def variance(self):
        """Return the variance of the ratings so far, at least 1e-4."""
        mean = self.total / self.count
        return max(1e-4, self.squares / self.count - mean * mean)


class RepeatedTest(PlugInMixture):
    """A fixed-sample z-test, repeated after each rating without correction."""

    def add(self, rating):
        """Add a rating; return whether the version is halted."""
        super().add(rating)
        if self.count < MIN_RATINGS:
            return False
        error = math.sqrt(self.variance() / self.count)
        return self.total / self.count > 2.33 * error


TESTS = [Betting, Windows, Decay, Mixture, PlugInMixture, RepeatedTest]


def draw_rating(rng, mean):
    """Return a random rating with the given mean."""
    return rng.betavariate(mean * BETA_CONCENTRATION, (1.0 - mean) * BETA_CONCENTRATION)


def run(test, seed, mean, change_point):
    """Return the number of ratings from the change to the halt, or None.

    The first `change_point` ratings have mean 0.95, later ones `mean`. The result is
    not positive after a false alarm before the change.
    """
    rng = random.Random(seed)
    detector = test()
    for number in range(change_point + RATINGS):
        if detector.add(draw_rating(rng, 0.95 if number < change_point else mean)):
            return number + 1 - change_point
    return None


def main():
    """Print the false-alarm rate or delay and detection rate of each test."""
    print("test            at floor  -0.02    -0.05     -0.3   turn-0.05  turn-0.3")
    cases = [
        (QUALITY_FLOOR, 0),
        (QUALITY_FLOOR - 0.02, 0),
        (QUALITY_FLOOR - 0.05, 0),
        (QUALITY_FLOOR - 0.3, 0),
        (QUALITY_FLOOR - 0.05, RATINGS_BEFORE_CHANGE),
        (QUALITY_FLOOR - 0.3, RATINGS_BEFORE_CHANGE),
    ]
    for test in TESTS:
        cells = []
        for mean, change_point in cases:
            delays = [run(test, seed, mean, change_point) for seed in range(RUNS)]
            halted = [end for end in delays if end is not None]
            if mean == QUALITY_FLOOR:
                cells.append(f"{len(halted) / RUNS:8.3f}")
                continue
            median_delay = statistics.median(halted) if halted else float("nan")
            cells.append(f"{median_delay:5.0f}/{len(halted) / RUNS:4.2f}")
        print(f"{test.__name__:15}", *cells, flush=True)


if __name__ == "__main__":
    main()
