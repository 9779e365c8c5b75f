"""Choice of the instances through which a server is reached."""

# Instances that are asked for one connection, one after another.
MAX_PEERS_ASKED = 6
AVOIDANCE_S = 1.0
# How long an instance that reached one server is asked first for others.
PREFERENCE_S = 5.0


class TunnelPeers:
    """Orders the other instances by how likely they reach a server for this one.

    Parameters
    ----------
    failure_domain : FailureDomain
        Where this instance runs.
    random : random.Random
        Spreads the tunnels of several instances over their peers.
    """

    def __init__(self, failure_domain, random):
        self._failure_domain = failure_domain
        self._random = random
        self._avoided_until = {}
        self._last_success = (None, float("-inf"))

    def record_success(self, peer_id, now):
        """Record that a peer opened a connection to a server."""
        self._avoided_until.pop(peer_id, None)
        self._last_success = (peer_id, now)

    def record_failure(self, peer_id, now):
        """Record that a peer did not answer or reaches the server no more than we do.

        It may be cut off itself, so that it is asked last for a moment.
        """
        self._avoided_until[peer_id] = now + AVOIDANCE_S
        if self._last_success[0] == peer_id:
            self._last_success = (None, float("-inf"))

    def rank(self, server_domain, peers, now):
        """Return the peers to ask for a connection to a server, the best first.

        The order takes turns among the failure domains, since all instances of one
        may be cut off together; that of this instance and that of the server come
        first.

        Parameters
        ----------
        server_domain : FailureDomain
            Where the server runs.
        peers : dict of str to Peer
            The other instances, by incarnation.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of str
        """
        self._avoided_until = {
            peer_id: until
            for peer_id, until in self._avoided_until.items()
            if until > now
        }
        able = [peer_id for peer_id, peer in peers.items() if peer.changes_port]
        self._random.shuffle(able)
        turns = self._count_turns(able, peers)

        def sort_key(peer_id):
            domain = peers[peer_id].failure_domain
            near = (self._failure_domain, server_domain)
            distance = near.index(domain) if domain in near else len(near)
            return (
                peer_id in self._avoided_until,
                not self._is_preferred(peer_id, now),
                turns[peer_id],
                distance,
            )

        return sorted(able, key=sort_key)[:MAX_PEERS_ASKED]

    def _count_turns(self, able, peers):
        """Return the position of each peer within its failure domain."""
        counts = {}
        turns = {}
        # Avoided peers take no turn, or the best one of a domain would come late.
        for peer_id in sorted(able, key=lambda peer_id: peer_id in self._avoided_until):
            domain = peers[peer_id].failure_domain
            turns[peer_id] = counts.get(domain, 0)
            counts[domain] = turns[peer_id] + 1
        return turns

    def _is_preferred(self, peer_id, now):
        last_id, succeeded_at = self._last_success
        return peer_id == last_id and now - succeeded_at <= PREFERENCE_S
