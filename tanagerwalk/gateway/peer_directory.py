"""Looks up the other instances of the fleet, their addresses and their order."""

from ..decisions.rendezvous import find_rank


class PeerDirectory:
    """Answers questions about the other instances.

    Parameters
    ----------
    incarnation : str
        Id of this instance, new at every start.

    Attributes
    ----------
    membership : MembershipController or None
        Knows the other instances. Set once it has been created, as what it depends on
        refers to the directory.
    """

    def __init__(self, incarnation):
        self._incarnation = incarnation
        self.membership = None

    def get_peers(self):
        """Return the Peer of each other instance, by incarnation."""
        return self.membership.peers

    def get_address(self, peer_id):
        """Return the `IP:PORT` at which another instance serves its peers, or None."""
        peer = self.get_peers().get(peer_id)
        if peer is None or not peer.changes_port:
            return None
        return f"{peer.address[0]}:{peer.changes_port}"

    def find_rank(self, name):
        """Return how many instances come before this one for a name."""
        return find_rank(name.encode(), self._incarnation, self.get_peers())
