"""Choice of the instance that watches the store for its failure domain.

Each call to the store has a price, so in a large failure domain only the first
instance of an order watches it, and the others ask it for changes. Nobody is elected:
an instance that finds the first one unreachable goes on to the next, and watches the
store itself once it is the first of those left.

The store sends each change whole, and the watcher passes it on to its whole failure
domain. On a narrow link that holds up the requests of clients, so the widest links come
first, and a rendezvous order decides among equal ones.
"""

from .peers import rank_domains

# Below this size, instances that only ask would save few calls.
MIN_DOMAIN_SIZE = 6
SUSPICION_S = 4.0
WATCHERS_KEY = b"store watchers"


class WatcherSelection:
    """Tells which instances watch the store, as this instance sees the fleet.

    Parameters
    ----------
    own_id : str
        Incarnation of this instance.
    failure_domain : FailureDomain
        Where this instance runs.
    link_rate : float
        What the link of its machine carries in Mbit/s, 0 if that is not known.
    """

    def __init__(self, own_id, failure_domain, link_rate=0.0):
        self._own_id = own_id
        self._link_rate = link_rate
        self._failure_domain = failure_domain
        self._domains = {}
        self._suspected_until = {}
        self.set_peers({})

    def set_peers(self, peers):
        """Replace the known instances.

        Parameters
        ----------
        peers : dict of str to Peer
            The other instances, by incarnation.
        """
        link_rates = {peer_id: peer.link_rate for peer_id, peer in peers.items()}
        link_rates[self._own_id] = self._link_rate
        domains = rank_domains(WATCHERS_KEY, self._own_id, self._failure_domain, peers)
        self._domains = {
            domain: sorted(members, key=link_rates.__getitem__, reverse=True)
            for domain, members in domains.items()
        }
        self._suspected_until = {
            peer_id: until
            for peer_id, until in self._suspected_until.items()
            if peer_id in peers
        }

    def suspect(self, peer_id, now):
        """Leave out an instance for SUSPICION_S, because it did not answer."""
        self._suspected_until[peer_id] = now + SUSPICION_S

    @property
    def is_shared(self):
        """Whether the failure domain is large enough to share the watching."""
        return len(self._domains[self._failure_domain]) >= MIN_DOMAIN_SIZE

    def count_watchers(self):
        """Return the approximate number of instances of the fleet that watch."""
        return sum(
            1 if len(members) >= MIN_DOMAIN_SIZE else len(members)
            for members in self._domains.values()
        )

    def is_watcher(self, now):
        """Return whether this instance has to watch the store itself."""
        if not self.is_shared:
            return True
        return self._find_watcher(self._failure_domain, now) == self._own_id

    def list_sources(self, now, random):
        """Return the instances to ask for changes, in order.

        The watcher of the own failure domain comes first. One of another domain
        follows, since the own one may have lost the store.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        random : random.Random
            Chooses the other domain.
        """
        if self.is_watcher(now):
            return []
        sources = [self._find_watcher(self._failure_domain, now)]
        others = [d for d in self._domains if d != self._failure_domain]
        if others:
            remote = self._find_watcher(random.choice(others), now)
            sources += [] if remote is None else [remote]
        return sources

    def _find_watcher(self, domain, now):
        """Return the first instance of a domain that is not suspected, or None."""
        for member in self._domains[domain]:
            if self._suspected_until.get(member, now) <= now:
                return member
        return None
