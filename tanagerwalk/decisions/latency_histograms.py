"""Latency histograms of two releases, and a rank test between them.

Counts in logarithmic buckets can be added over instances and sent in a few bytes. A
rank test compares them without a baseline that each instance would first have to learn,
and a few very slow answers of either release don't decide it.
"""

import math
from dataclasses import dataclass, field

# Buckets of a factor of two; the first one ends at MIN_LATENCY_S.
BUCKETS_PER_OCTAVE = 4
MIN_LATENCY_S = 0.0005
MAX_BUCKET = 80


def find_bucket(seconds):
    """Return the number of the bucket that holds a latency in seconds."""
    if seconds <= MIN_LATENCY_S:
        return 0
    octaves = math.log2(seconds / MIN_LATENCY_S)
    return min(MAX_BUCKET, 1 + int(octaves * BUCKETS_PER_OCTAVE))


@dataclass(slots=True)
class LatencyHistogram:
    """Number of answers by bucket.

    Parameters
    ----------
    counts : dict of int to int
        Counts of the buckets that are not empty.
    """

    counts: dict[int, int] = field(default_factory=dict)

    @property
    def total(self):
        """Number of answers."""
        return sum(self.counts.values())

    def record(self, seconds):
        """Count one answer."""
        bucket = find_bucket(seconds)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1

    def add(self, other):
        """Add a histogram of other answers."""
        for bucket, count in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count

    def raise_to(self, other):
        """Raise the counts to those of another histogram of the same answers."""
        for bucket, count in other.counts.items():
            self.counts[bucket] = max(self.counts.get(bucket, 0), count)

    def subtract(self, earlier):
        """Return the histogram of the answers since an earlier state of this one."""
        counts = {
            bucket: count - earlier.counts.get(bucket, 0)
            for bucket, count in self.counts.items()
        }
        return LatencyHistogram({b: count for b, count in counts.items() if count > 0})


def compute_rank_score(pairs, ratio):
    """Return how much slower a target is than a base slowed down by a ratio.

    A van Elteren test: the Wilcoxon rank sums of the pairs, combined with weights that
    allow for their sizes. Under no difference the score is about standard normal;
    positive if the target is slower.

    Parameters
    ----------
    pairs : iterable of (LatencyHistogram, LatencyHistogram)
        Target and base of answers that are alike, such as those of one route and model.
    ratio : float
        Factor by which the base is slowed down before the comparison.

    Returns
    -------
    float
        0 without data.
    """
    shift = round(BUCKETS_PER_OCTAVE * math.log2(ratio))
    difference = 0.0
    variance = 0.0
    for target, base in pairs:
        counts = {bucket + shift: count for bucket, count in base.counts.items()}
        excess, spread = _sum_ranks(target.counts, counts)
        weight = 1.0 / (target.total + base.total + 1.0)
        difference += weight * excess
        variance += weight * weight * spread
    return difference / math.sqrt(variance) if variance > 0.0 else 0.0


def _sum_ranks(target, base):
    """Return the rank sum of the target above its mean, and the variance."""
    n, m = sum(target.values()), sum(base.values())
    if not n or not m:
        return 0.0, 0.0
    size = n + m
    rank_sum = 0.0
    ties = 0
    before = 0
    for bucket in sorted(target.keys() | base.keys()):
        own = target.get(bucket, 0)
        tied = own + base.get(bucket, 0)
        rank_sum += own * (before + (tied + 1) / 2.0)
        ties += tied**3 - tied
        before += tied
    variance = n * m / 12.0 * (size + 1.0 - ties / (size * (size - 1.0)))
    return rank_sum - n * (size + 1.0) / 2.0, variance
