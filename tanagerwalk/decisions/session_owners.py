"""Which instances keep the records of a session while a release is rolled out.

Rendezvous hashing names the owners, so that all instances name the same ones without
talk. Sessions are grouped into buckets. A change of the membership ranks only those
members anew that it may concern.
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
        self._members = {own_id}
        self._owners = {}
        self.has_earlier_versions = False

    def set_peers(self, peers):
        """Replace the known instances.

        Parameters
        ----------
        peers : dict of str to Peer
            The other instances, by incarnation.
        """
        # Instances of an earlier version keep no records for others.
        members = {peer_id for peer_id, peer in peers.items() if peer.owns_sessions}
        self.has_earlier_versions = len(members) < len(peers)
        members.add(self._own_id)
        joined = members - self._members
        self._members = members
        for bucket, owners in list(self._owners.items()):
            if members.issuperset(owners):
                self._owners[bucket] = _rank(bucket, [*owners, *joined])
            else:
                del self._owners[bucket]

    def list(self, session):
        """Return the owners of a session, given by hash, in rendezvous order."""
        bucket = session % BUCKETS
        if bucket not in self._owners:
            self._owners[bucket] = _rank(bucket, self._members)
        return self._owners[bucket]


def _rank(bucket, members):
    key = b"session bucket %d" % bucket
    return heapq.nlargest(
        OWNERS_PER_SESSION, members, lambda member: hash_member(key, member)
    )
