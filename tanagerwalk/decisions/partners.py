"""Which peer an instance exchanges with next."""

import hashlib

VIEW_LIFETIME_S = 60.0
NEAR_VIEW = 6
FAR_VIEW = 4
FAULT_PAUSE_S = 5.0
SAME_REGION_SHARE = 0.5


class PartnerChooser:
    """Chooses exchange partners, mostly in the own failure domain.

    Each instance has a small view of the fleet that changes every minute, so that
    connections are kept; the views of all instances together connect the fleet.

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

    def choose(self, peers, now):
        """Choose a partner.

        Parameters
        ----------
        peers : tuple of PeerRecord
            The entry instances that the platform listed last.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        PeerRecord or None
            None if there is no other instance.
        """
        self._refresh_view(peers, now)
        cross = self._random.random() < self._cross_domain
        regional = self._random.random() < SAME_REGION_SHARE
        far = (
            [self._region, self._distant] if regional else [self._distant, self._region]
        )
        groups = [*far, self._near] if cross else [self._near, *far]
        for group in groups:
            usable = [p for p in group if self._paused.get(p.address, now) <= now]
            if usable:
                return self._random.choice(usable)
        everyone = self._near + self._region + self._distant
        return self._random.choice(everyone) if everyone else None

    def record_fault(self, peer, now):
        """Leave a peer alone for a while that gave no answer."""
        self._paused[peer.address] = now + FAULT_PAUSE_S

    def _refresh_view(self, peers, now):
        epoch = int(now // VIEW_LIFETIME_S)
        key = (epoch, peers)
        if key == self._view_key:
            return
        self._view_key = key
        self._paused = {a: ends for a, ends in self._paused.items() if ends > now}
        others = [p for p in peers if p.incarnation != self._own and not p.leaving]
        others.sort(key=lambda peer: self._rank(peer, epoch))
        self._near = [p for p in others if self._is_near(p)][:NEAR_VIEW]
        far = [p for p in others if not self._is_near(p)]
        region = self._home.region
        self._region = [p for p in far if p.region == region][:FAR_VIEW]
        self._distant = [p for p in far if p.region != region][:FAR_VIEW]

    def _is_near(self, peer):
        return peer.failure_domain == self._home.failure_domain

    def _rank(self, peer, epoch):
        name = f"{self._own}/{peer.incarnation}/{epoch}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()
