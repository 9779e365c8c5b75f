"""Limits that servers name on the requests of all instances together.

A limit is shared by so many instances, the first ones in a rendezvous order, that each
sends about one request per PART_INTERVAL_S; in a small fleet by all. The intervals of
the instances begin at random times, and a request that isn't sent soon after its
interval began is not sent later, so that an idle fleet doesn't send all at once.
"""

import math
from collections import Counter
from dataclasses import dataclass

from .rendezvous import find_rank

# A server that names less is asked from time to time, to hear when its need has ended.
MIN_RATE_PER_S = 0.1
UNUSED_LIFETIME_S = 0.5
# More instances with a smaller part each could send at the same time by chance.
PART_INTERVAL_S = 4.5
NEWS_LIFETIME_S = 3.0
ENDED_LIFETIME_S = 30.0
MAX_NEWS = 60


@dataclass(frozen=True, slots=True)
class LimitNews:
    """What an instance tells the others of a server's limit.

    Parameters
    ----------
    rate : float or None
        Requests per second of the fleet; None if the server names no limit any more.
    heard_ago : float
        Seconds since the server said so.
    """

    rate: float | None
    heard_ago: float


@dataclass(frozen=True, slots=True)
class LimitQueue:
    """How servers with limits take the requests of this instance.

    Parameters
    ----------
    wait : float
        Seconds until the next request may be sent; infinite if none ever is.
    rate : float
        Requests per second from then on.
    """

    wait: float
    rate: float

    def estimate_wait(self, waiting):
        """Return the seconds until a request is sent that has others before it."""
        if self.rate <= 0.0:
            return math.inf
        return self.wait + waiting / self.rate


@dataclass(slots=True)
class _Limit:
    rate: float | None
    heard_at: float
    # When the next request of this instance may be sent.
    next_at: float


class ServerLimits:
    """The limits by `hash_life` of their servers, and the own part of each.

    Parameters
    ----------
    random : random.Random
        Spreads the requests of the instances over time.

    Attributes
    ----------
    waiting : Counter of ServiceName
        Requests of this instance that wait for a server with a limit.
    """

    def __init__(self, random):
        self._random = random
        self._limits = {}
        self._own_id = ""
        self._peer_ids = ()
        self._ranks = {}
        self.waiting = Counter()

    def set_members(self, own_id, peer_ids):
        """Replace the instances that share the limits, given by their incarnations."""
        self._own_id = own_id
        self._peer_ids = tuple(peer_ids)
        self._ranks.clear()

    @property
    def is_empty(self):
        """Whether no server has a limit."""
        return not self._limits

    def record(self, life, rate, now):
        """Record what an answer of a server says.

        Parameters
        ----------
        life : int
            `hash_life` of the server.
        rate : float or None
            Requests per second that it takes; None if it names no limit.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether this was not known.
        """
        if rate is None and life not in self._limits:
            return False
        return self.merge(life, LimitNews(rate, 0.0), now)

    def merge(self, life, news, now):
        """Merge the LimitNews of another instance; return whether it was not known."""
        heard_at = now - news.heard_ago
        known = self._limits.get(life)
        if known is None:
            known = self._limits[life] = _Limit(None, -math.inf, now)
        if heard_at <= known.heard_at:
            return False
        is_news = known.rate != news.rate
        if known.rate is None and news.rate is not None:
            interval = self._find_interval(news.rate)
            known.next_at = now + interval * self._random.random()
        known.rate = news.rate
        known.heard_at = heard_at
        return is_news

    def list_news(self, now):
        """Return the newest LimitNews by `hash_life`, and drop what is outdated."""
        self._limits = {
            life: limit
            for life, limit in self._limits.items()
            if limit.rate is not None or now - limit.heard_at <= ENDED_LIFETIME_S
        }
        recent = [
            (limit.heard_at, life)
            for life, limit in self._limits.items()
            if now - limit.heard_at <= NEWS_LIFETIME_S
        ]
        newest = sorted(recent, reverse=True)[:MAX_NEWS]
        return {
            life: LimitNews(self._limits[life].rate, now - heard_at)
            for heard_at, life in newest
        }

    def forget(self, life):
        """Forget the limit of a server that has ended."""
        self._limits.pop(life, None)
        self._ranks.pop(life, None)

    def has_limit(self, life):
        """Return whether a server has named a limit and not ended it."""
        limit = self._limits.get(life)
        return limit is not None and limit.rate is not None

    def find_wait(self, life, now):
        """Return the seconds until this instance may send a request to a server.

        Infinite if it has no part of the server's limit.
        """
        if not self.has_limit(life):
            return 0.0
        limit = self._limits[life]
        if not self._has_part(life, limit.rate):
            return math.inf
        self._skip_unused(limit, now)
        return max(0.0, limit.next_at - now)

    def record_sent(self, life, now):
        """Count a request that is sent to a server."""
        if not self.has_limit(life):
            return
        limit = self._limits[life]
        self._skip_unused(limit, now)
        limit.next_at += self._find_interval(limit.rate)

    def find_rate(self, life):
        """Return the requests per second of this instance's part of a limit."""
        limit = self._limits[life]
        if not self._has_part(life, limit.rate):
            return 0.0
        return 1.0 / self._find_interval(limit.rate)

    def _count_parts(self, rate):
        parts = math.ceil(PART_INTERVAL_S * max(MIN_RATE_PER_S, rate))
        return min(1 + len(self._peer_ids), parts)

    def _has_part(self, life, rate):
        rank = self._ranks.get(life)
        if rank is None:
            rank = find_rank(b"%d" % life, self._own_id, self._peer_ids)
            self._ranks[life] = rank
        return rank < self._count_parts(rate)

    def _find_interval(self, rate):
        return self._count_parts(rate) / max(MIN_RATE_PER_S, rate)

    def _skip_unused(self, limit, now):
        unused = now - UNUSED_LIFETIME_S - limit.next_at
        if unused <= 0.0:
            return
        interval = self._find_interval(limit.rate)
        limit.next_at += interval * math.ceil(unused / interval)


def parse_limit(value):
    """Return the limit that the text of a number names.

    Returns
    -------
    float or None
        None if it is not a finite number, or negative.
    """
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None
