"""Which instances keep the records of a session while a release is rolled out.

Rendezvous hashing names the owners, so that all instances name the same ones without
talk. Sessions are grouped into buckets, whose owners are looked up once for each change
of the membership.
"""

import heapq

from .rendezvous import hash_member

OWNERS_PER_SESSION = 2
BUCKETS = 1024


class SessionOwners:
    """Finds the owners of sessions.

    Parameters
    ----------
    own_id : str
        Incarnation of this instance.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self.set_peers({})

    def set_peers(self, peers):
        """Replace the known instances.

        Parameters
        ----------
        peers : dict of str to Peer
            The other instances, by incarnation.
        """
        # Instances of an earlier version keep no records for others.
        owners = [peer_id for peer_id, peer in peers.items() if peer.owns_sessions]
        self._members = [self._own_id, *owners]
        self.has_earlier_versions = len(owners) < len(peers)
        self._owners = {}

    def list(self, session):
        """Return the owners of a session, given by hash, in rendezvous order."""
        bucket = session % BUCKETS
        if bucket not in self._owners:
            self._owners[bucket] = self._rank(bucket)
        return self._owners[bucket]

    def _rank(self, bucket):
        key = b"session bucket %d" % bucket
        return heapq.nlargest(
            OWNERS_PER_SESSION, self._members, lambda member: hash_member(key, member)
        )
