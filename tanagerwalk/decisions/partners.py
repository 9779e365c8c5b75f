"""Which peer an instance exchanges with next."""

import hashlib
from bisect import bisect

VIEW_LIFETIME_S = 60.0
VIEW_OFFSETS = (0, 1, 3, 7, 15, 31)
FAULT_PAUSE_S = 5.0
SAME_REGION_PROBABILITY = 0.5


class PartnerChooser:
    """Chooses exchange partners, mostly in the own failure domain.

    Each instance has a small view of the fleet that changes every minute, so that
    connections are kept. All instances order the fleet alike in one minute and look
    along that ring at the same offsets, so each is in as many views as the others,
    and few steps connect any two.

    Parameters
    ----------
    own : Incarnation
        This instance, which is never its own partner.
    home : Home
        Where this instance stands.
    cross_domain : float
        Chance that the partner is in another failure domain.
    random : random.Random
        Source of choices.
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
            The entry instances that the platform listed last.
        now : float
            Monotonic time in seconds.
        wall_now : float
            Seconds since the epoch; the minute that orders the fleet comes of it.

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
        """Leave a peer alone for a while that gave no answer."""
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
        """Return the peers at the view's offsets behind the own place in the ring."""
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
    """Return an instance's place in the ring, another one in each epoch."""
    name = f"{incarnation}/{epoch}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()
