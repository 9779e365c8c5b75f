"""Selection of the peer for the next gossip exchange."""

import hashlib
from bisect import bisect

VIEW_LIFETIME_S = 60.0
VIEW_OFFSETS = (0, 1, 3, 7, 15, 31)
FAULT_PAUSE_S = 5.0
SAME_REGION_PROBABILITY = 0.5


class PartnerChooser:
    """Chooses exchange partners, mostly in the instance's own failure domain.

    Each instance has a small view of the fleet that changes only every minute, so
    that connections are reused. Within a minute, all instances sort the fleet into
    the same ring and select peers at the same offsets from their own position. Each
    instance is therefore in equally many views, and any two instances are connected
    by few hops.

    Parameters
    ----------
    own : Incarnation
        This instance, which is never chosen.
    home : Home
        Region and failure domain of this instance.
    cross_domain : float
        Probability of choosing a partner in another failure domain.
    random : random.Random
        Random number generator for the choice.
    """

    def __init__(self, own, home, cross_domain, random):
        self._own = own
        self._home = home
        self._cross_domain = cross_domain
        self._random = random
        self._view_key = None
        self._same_domain = []
        self._same_region = []
        self._other_regions = []
        self._paused = {}

    def choose(self, peers, now, wall_now):
        """Choose a partner.

        Parameters
        ----------
        peers : tuple of PeerRecord
            Entry instances in the latest list of the platform.
        now : float
            Monotonic time in seconds.
        wall_now : float
            Wall-clock time in seconds since the epoch; its minute determines the order
            of the ring.

        Returns
        -------
        PeerRecord or None
            None if there is no other instance.
        """
        self._refresh_view(peers, now, wall_now)
        for group in self._order_groups():
            usable = [p for p in group if self._paused.get(p.address, now) <= now]
            if usable:
                return self._random.choice(usable)
        everyone = self._same_domain + self._same_region + self._other_regions
        return self._random.choice(everyone) if everyone else None

    def _order_groups(self):
        other_domains = [self._other_regions, self._same_region]
        if self._random.random() < SAME_REGION_PROBABILITY:
            other_domains.reverse()
        if self._random.random() < self._cross_domain:
            return [*other_domains, self._same_domain]
        return [self._same_domain, *other_domains]

    def record_fault(self, peer, now):
        """Exclude a peer for `FAULT_PAUSE_S` because it did not answer."""
        self._paused[peer.address] = now + FAULT_PAUSE_S

    def _refresh_view(self, peers, now, wall_now):
        epoch = int(wall_now // VIEW_LIFETIME_S)
        key = (epoch, peers)
        if key == self._view_key:
            return
        self._view_key = key
        self._paused = {a: ends for a, ends in self._paused.items() if ends > now}
        others = [p for p in peers if p.incarnation != self._own and not p.leaving]
        same_domain = [p for p in others if self._is_same_domain(p)]
        other_domains = [p for p in others if not self._is_same_domain(p)]
        region = self._home.region
        self._same_domain = self._select_view(same_domain, epoch)
        self._same_region = self._select_view(
            [p for p in other_domains if p.region == region], epoch
        )
        self._other_regions = self._select_view(
            [p for p in other_domains if p.region != region], epoch
        )

    def _is_same_domain(self, peer):
        return peer.failure_domain == self._home.failure_domain

    def _select_view(self, peers, epoch):
        """Return the peers at `VIEW_OFFSETS` after this instance's ring position."""
        if not peers:
            return []
        ring = sorted(peers, key=lambda peer: _ring_position(peer.incarnation, epoch))
        own = _ring_position(self._own, epoch)
        start = bisect(
            ring, own, key=lambda peer: _ring_position(peer.incarnation, epoch)
        )
        indexes = {(start + offset) % len(ring) for offset in VIEW_OFFSETS}
        return [ring[index] for index in sorted(indexes)]


def _ring_position(incarnation, epoch):
    """Return an instance's ring position, which changes with each epoch."""
    name = f"{incarnation}/{epoch}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()
