"""What the answers of both releases prove about the one that is rolled out."""

import math
from collections import deque
from statistics import NormalDist

from .latency_histograms import compute_rank_score
from .significance import is_tail_below
from .tallies import SideCount

MIN_BAD_ANSWERS = 3
# A lone failure does not tell a failing server from others.
MIN_BAD_OF_FAILING_SERVER = 2
# With fewer bad answers in all, a release isn't bad if some servers gave
# MIN_BAD_ANSWERS or more each and the others are in order.
MIN_BAD_BESIDE_FAILING_SERVER = 8
# The others tell about the release if they gave this share of its answers.
MIN_OTHERS_SHARE = 1 / 3
# Of the servers that answered, so many may fail by themselves (and one more).
MAX_FAILING_SHARE = 0.1
MAX_FAILING_SERVERS = 8
# A server's failures on a route exceed the route's share of them by less than this; a
# release that is bad on a route of few servers has all of its failures there.
MAX_ROUTE_EXCESS = 1.5
SIGNIFICANCE_LEVEL = 0.002
# Significance level at which some servers fail more often than the release's others.
SERVER_SIGNIFICANCE_LEVEL = 0.005
MIN_BASE_RATE = 0.02
# A release that is slower than the base by less than this is not called slow.
SLOW_RATIO = 2**0.5
# Once the base gets no more requests, the load may differ between the two.
SLOW_RATIO_ALONE = 2.0
# Rank scores; the first is tested again and again while answers arrive.
SLOW_SCORE = 3.0
PROOF_SCORE = -1.0
# A single route that looks slower than the base by this much prevents a proof.
DOUBT_SCORE = 1.0
MIN_SLOW_ANSWERS = 4
RECENT_S = 4.0
MIN_PROOF_ANSWERS = 4
STANDARD_NORMAL = NormalDist()


def is_bad_release(tally, slow_ratio=SLOW_RATIO, history=None):
    """Return whether the target release fails more often or is slower than the base.

    All routes are tested together, and each on its own, since a release may be bad on
    one route only. The more routes there are, the more often chance alone makes one of
    them look bad, so the level of the test of one route falls with their number.

    Parameters
    ----------
    tally : Tally
        Answers of both releases.
    slow_ratio : float
        Factor by which the target may be slower than the base.
    history : FailureHistory or None
        The answers by period.
    """
    return is_failing_release(tally, history) or is_slow_release(tally, slow_ratio)


def is_failing_release(tally, history=None):
    """Return whether the target fails more often than the base, on all its servers.

    The failures of one server come together, be it cut off, overloaded or broken, and
    say nothing about the release. Neither do those in a burst that strikes both.

    Parameters
    ----------
    tally : Tally
        Answers of both releases.
    history : FailureHistory or None
        The answers by period.
    """
    if not _fails_beyond_servers(tally):
        return False
    return history is None or _fails_beyond_servers(history.remove_bursts(tally))


def _fails_beyond_servers(tally):
    """Return whether the target fails also without the few servers that fail most."""
    if not _fails_without(tally, SideCount()):
        return False
    return _fails_without(tally, find_failing_servers(tally))


def _fails_without(tally, failing):
    """Return whether the target fails without the SideCount of some servers."""
    target, base = tally.sum_target(), tally.sum_base()
    if is_significantly_worse(target.subtract(failing), base):
        return True
    routes = len(tally.target.keys() | tally.base.keys())
    # Bonferroni correction.
    level = SIGNIFICANCE_LEVEL / max(1, routes)
    return any(
        is_significantly_worse(
            _subtract_share(count, failing, target),
            tally.base.get(route, SideCount()),
            level,
        )
        for route, count in tally.target.items()
    )


def _subtract_share(count, failing, target):
    """Return the SideCount of a route without its share of some servers' failures.

    Servers are not counted by route. All answers are kept, so that the failures that
    remain count for less rather than more.
    """
    share = min(1.0, MAX_ROUTE_EXCESS * count.answers / max(1, target.answers))
    return count.subtract(SideCount(0, math.ceil(share * failing.bad)))


def find_failing_servers(tally):
    """Return the SideCount of the few servers that the target's failures come from.

    They gave most of its bad answers, and fail significantly more often than its other
    servers, which don't fail more often than the base. It is empty if there are none.
    """
    target, base = tally.sum_target(), tally.sum_base()
    counts = tally.target_servers.values()
    servers = sorted(counts, key=lambda count: count.bad, reverse=True)
    failing = SideCount()
    limit = compute_failing_limit(len(servers))
    for number, server in enumerate(servers[:limit], start=1):
        if server.bad < MIN_BAD_OF_FAILING_SERVER:
            break
        failing.add(server)
        others = target.subtract(failing)
        if others.answers < MIN_OTHERS_SHARE * target.answers:
            break
        if 2 * failing.bad <= target.bad or is_significantly_worse(others, base):
            continue
        if server.bad >= MIN_BAD_ANSWERS and target.bad < MIN_BAD_BESIDE_FAILING_SERVER:
            return failing
        # Bonferroni correction: of all sets of `number` servers, the worst was taken.
        level = SERVER_SIGNIFICANCE_LEVEL / math.comb(len(servers), number)
        if is_significantly_worse(failing, others, level):
            return failing
    return SideCount()


def compute_failing_limit(servers):
    """Return how many of some servers may fail by themselves."""
    return min(MAX_FAILING_SERVERS, 1 + math.ceil(MAX_FAILING_SHARE * servers))


def is_significantly_worse(target, base, level=SIGNIFICANCE_LEVEL):
    """Return whether the target release fails significantly more often than the base.

    One-sided binomial test against the failure rate of the base release, which is
    taken to be MIN_BASE_RATE at least.

    Parameters
    ----------
    target, base : SideCount
        Answer counts of the two releases.
    level : float
        Probability of the failures at which they are significant.
    """
    bad = min(target.bad, target.answers)
    if bad < MIN_BAD_ANSWERS:
        return False
    rate = max(MIN_BASE_RATE, (base.bad + 0.5) / (base.answers + 1.0))
    return is_tail_below(level, bad, target.answers, min(rate, 0.99))


def is_slow_release(tally, ratio):
    """Return whether the target is slower than the base by more than a ratio.

    Parameters
    ----------
    tally : Tally
        Answers of both releases.
    ratio : float
        Factor by which the target may be slower.
    """
    # A route without answers of the base can't be compared.
    groups = [
        pairs
        for pairs in tally.list_latency_pairs().values()
        if any(base.total for _, base in pairs)
    ]
    if _is_slower([pair for pairs in groups for pair in pairs], ratio):
        return True
    score = find_slow_score(len(groups))
    return any(_is_slower(pairs, ratio, score) for pairs in groups)


def find_slow_score(routes):
    """Return the rank score from which a release is slow on one of some routes.

    The level falls with the square root of the number of routes only: the base is
    slowed down before the comparison, so a good release rarely scores above zero.

    Parameters
    ----------
    routes : int
        Number of routes that are tested.
    """
    chance = STANDARD_NORMAL.cdf(-SLOW_SCORE) / math.sqrt(max(1, routes))
    return -STANDARD_NORMAL.inv_cdf(chance)


def _is_slower(pairs, ratio, score=SLOW_SCORE):
    if _count_targets(pairs) < MIN_SLOW_ANSWERS:
        return False
    return compute_rank_score(pairs, ratio) >= score


def is_proved_fast(tally):
    """Return whether the target has proved to be hardly slower than the base.

    Without answers of the base there is nothing to compare with, and nobody whom a
    slow release would harm.
    """
    by_route = tally.list_latency_pairs()
    pairs = [pair for pairs in by_route.values() for pair in pairs]
    if not any(base.total for _, base in pairs):
        return True
    if _count_targets(pairs) < MIN_PROOF_ANSWERS:
        return False
    if compute_rank_score(pairs, SLOW_RATIO) > PROOF_SCORE:
        return False
    return all(
        compute_rank_score(pairs, SLOW_RATIO) < DOUBT_SCORE
        for pairs in by_route.values()
    )


def _count_targets(pairs):
    return sum(target.total for target, base in pairs if base.total)


class RecentLatencies:
    """Finds the latencies of the last seconds, for a release that turns slow late."""

    def __init__(self):
        self._earlier = deque()

    def find(self, tally, now, is_alone):
        """Record the newest Tally, and return that of the last RECENT_S.

        Parameters
        ----------
        tally : Tally
            All answers so far.
        now : float
            Monotonic time in seconds.
        is_alone : bool
            Whether the base gets no more requests.

        Returns
        -------
        Tally
        """
        self._earlier.append((now, tally))
        while len(self._earlier) > 1 and now - self._earlier[1][0] >= RECENT_S:
            self._earlier.popleft()
        return tally.list_recent_latencies(self._earlier[0][1], keep_base=is_alone)
