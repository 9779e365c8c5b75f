"""Which peer an instance exchanges with next."""

import hashlib
from bisect import bisect

VIEW_LIFETIME_S = 60.0
VIEW_OFFSETS = (0, 1, 3, 7, 15, 31)
FAULT_PAUSE_S = 5.0
SAME_REGION_SHARE = 0.5


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
        self._near = []
        self._region = []
        self._distant = []
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
        everyone = self._near + self._region + self._distant
        return self._random.choice(everyone) if everyone else None

    def _order_groups(self):
        far = [self._distant, self._region]
        if self._random.random() < SAME_REGION_SHARE:
            far.reverse()
        if self._random.random() < self._cross_domain:
            return [*far, self._near]
        return [self._near, *far]

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
        near = [p for p in others if self._is_near(p)]
        far = [p for p in others if not self._is_near(p)]
        region = self._home.region
        self._near = self._look_along(near, epoch)
        self._region = self._look_along([p for p in far if p.region == region], epoch)
        self._distant = self._look_along([p for p in far if p.region != region], epoch)

    def _is_near(self, peer):
        return peer.failure_domain == self._home.failure_domain

    def _look_along(self, peers, epoch):
        """Return the peers at the view's offsets behind the own place in the ring."""
        if not peers:
            return []
        ring = sorted(peers, key=lambda peer: _place(peer.incarnation, epoch))
        own = _place(self._own, epoch)
        start = bisect(ring, own, key=lambda peer: _place(peer.incarnation, epoch))
        indexes = {(start + offset) % len(ring) for offset in VIEW_OFFSETS}
        return [ring[index] for index in sorted(indexes)]


def _place(incarnation, epoch):
    """Return an instance's place in the ring, another one in each epoch."""
    name = f"{incarnation}/{epoch}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()
